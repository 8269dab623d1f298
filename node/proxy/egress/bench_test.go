package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"auburnladder.example/core/workload"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// BenchmarkServer measures sequential calls to a server on loopback: direct HTTP, and
// through a peer session and the egress.
func BenchmarkServer(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		s := newRawServer(serveOK)
		defer s.close()
		client := &fasthttp.HostClient{Addr: s.addr().String()}
		b.ReportAllocs()
		for b.Loop() {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://tickets.test/seats/1")
			req.Header.SetMethod("POST")
			req.SetBodyString("four")
			if err := client.Do(&req, &resp); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("egress", func(b *testing.B) { benchmarkEgress(b, newEgressRig(newRawServer(serveOK))) })
	b.Run("egress-chunked", func(b *testing.B) {
		chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
		benchmarkEgress(b, newEgressRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, chunked)
			return true
		})))
	})
	b.Run("egress-tracking-work", func(b *testing.B) {
		r := newEgressRig(newRawServer(serveOK))
		r.egress.TrackWork(workload.NewEstimator())
		benchmarkEgress(b, r)
	})
}

func benchmarkEgress(b *testing.B, r *egressRig) {
	b.ReportAllocs()
	for b.Loop() {
		st, err := r.peer.Open(&peerpb.Request{Kind: &peerpb.Request_Call{Call: r.call()}})
		if err != nil {
			b.Fatal(err)
		}
		var reply peerpb.Reply
		if err := st.Recv(&reply); err != nil || reply.GetStatus() != fasthttp.StatusOK {
			b.Fatal(err, reply.GetDetail())
		}
		st.Close()
	}
	r.cancel()
	r.peer.Close()
	r.local.Close()
	r.tasks.Wait()
	r.egress.pool.close()
	r.server.close()
}
