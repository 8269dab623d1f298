package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/core/transit"
	"auburnladder.example/core/verdict"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/proxy/egress"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// sealedHeaders are customHeaders of a deployment whose servers seal their responses.
var sealedHeaders = wirenames.Headers{RequestID: "X-Id", Deadline: "X-Left", Seal: "X-Seal", NotExecuted: "X-Not-Executed"}

// sealMark is a part of each response of rawBackend that nobody but its caller may see.
const sealMark = "seal-of-the-server"

// rawBackend is a backend server whose responses begin with what head returns for the n-th request,
// counted from 1.
type rawBackend struct {
	listener net.Listener
	head     func(n int64) string
	requests atomic.Int64
	// closed counts the connections that the node closed.
	closed atomic.Int64
	tasks  conc.WaitGroup
}

func newRawBackend(head func(n int64) string) *rawBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b := &rawBackend{listener: l, head: head}
	b.tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b.tasks.Go(func() { b.serve(conn) })
		}
	})
	return b
}

func (b *rawBackend) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			b.closed.Add(1)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprintf(conn, "%sContent-Length: 5\r\nX-Id: %s\r\nX-Seal: %s\r\n\r\n", b.head(b.requests.Add(1)), req.Header.Get("X-Id"), sealMark)
		if req.Method != http.MethodHead {
			_, _ = io.WriteString(conn, "hello")
		}
	}
}

// egressFleet is an ingress with real nodes of servers; all of them send to one backend.
func egressFleet(t *testing.T, nodes int, backend *rawBackend) (f *fleet, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	var handlers []handler
	egresses := make([]*egress.Egress, nodes)
	for i := range nodes {
		handlers = append(handlers, func(_ *link, call *peerpb.Call, st *session.Stream) {
			egresses[i].ServeCall(ctx, peers.Peer{VM: "vm9", Service: "programma", Transit: new(transit.Estimator)}, call, st)
		})
	}
	f = newPublishedFleet(t, handlers...)
	f.ingress.Headers = sealedHeaders
	for i := range nodes {
		vm := fmt.Sprintf("vm%d", i)
		st := state.New(state.Identity{VM: vm, Service: "programma", Domain: "a", Region: "r1"})
		st.Install(f.ingress.State.Snapshot(), time.Now())
		st.ReplaceVMs(&vmlist.List{Revision: 1, VMs: []vmlist.VM{{ID: vm, Service: "programma", Domain: "a", Region: "r1", Slots: 4}}})
		addr := netip.MustParseAddrPort(backend.listener.Addr().String())
		e := egress.New(st, addr, egress.DefaultConfig(), zerolog.Nop())
		e.Headers, e.AdmitByVMList = sealedHeaders, true
		egresses[i] = e
		tasks.Go(func() { e.Run(ctx) })
	}
	return f, func() {
		f.close()
		cancel()
		tasks.Wait()
		backend.listener.Close()
		backend.tasks.Wait()
	}
}

// malformedHeads are the beginnings of responses that no caller may get.
var malformedHeads = []string{
	"HTTP/1.1 000 X\r\n",
	"HTTP/2.7 200 OK\r\n",
	"HTTP/1.1 600 X\r\n",
	"HTTP/1.1 099 X\r\n",
	"HTTP/1.1 101 X\r\n",
	"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 999 X\r\n",
	"HTTP/1.1 20 X\r\n",
	"HTTP/1.1 2000 X\r\n",
	"HTTP/1.1 -20 X\r\n",
	"HTTP/1.1 200OK\r\n",
	"HTTP/1.1\r\n",
	"HTTP/3 200 OK\r\n",
	"http/1.1 200 OK\r\n",
	"ICY 200 OK\r\n",
	"\x00\x01\x02\r\n",
	"\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n",
	strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000) + "HTTP/1.1 200 OK\r\n",
	strings.Repeat("x", 100_000) + "\r\n",
	"HTTP/1.1 200 OK\r\nX Bad: y\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad : y\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad\t: y\r\n",
	"HTTP/1.1 200 OK\r\nX\tBad: y\r\n",
	"HTTP/1.1 200 OK\r\n X-Bad: y\r\n",
	"HTTP/1.1 200 OK\r\nX-Good: y\r\n X-Bad: y\r\n",
	"HTTP/1.1 200 OK\r\nX-Good: y\r\n\tX-Bad: y\r\n",
	"HTTP/1.1 200 OK\r\nX\x00Bad: y\r\n",
	"HTTP/1.1 200 OK\r\nX\x01Bad: y\r\n",
	"HTTP/1.1 200 OK\r\nX\x7fBad: y\r\n",
	"HTTP/1.1 200 OK\r\nX\rBad: y\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad\r: y\r\n",
	"HTTP/1.1 200 OK\r\nX-B\xc3\xa4d: y\r\n",
	"HTTP/1.1 200 OK\r\n: y\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad: y\x01\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad: y\ry\r\n",
	"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nContent Length: 2\r\n",
	"HTTP/1.1 200 O\x01K\r\n",
	"HTTP/1.1 404 Not Found\r\nX Bad: y\r\n",
	"HTTP/1.1 500 X\r\nX Bad: y\r\n",
	"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX Bad: y\r\n",
	"HTTP/1.1 100 Continue\r\nX Bad: y\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 103 Early Hints\r\nX-Bad : y\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// Guards against a response of a faulty server that arrives with status 200 and its seal, and against
// a 502 that quotes what the server sent.
func TestMalformedResponses(t *testing.T) {
	for _, head := range malformedHeads {
		name := fmt.Sprintf("%.60q", head)
		first := func(n int64) string {
			if n > 1 {
				return "HTTP/1.1 200 OK\r\n"
			}
			return head
		}
		Convey("A request that isn't idempotent gets 502 and runs once: "+name, t, func() {
			b := newRawBackend(first)
			f, stop := egressFleet(t, 2, b)
			checkMalformed(f, http.MethodPost, "/book/1")
			So(b.requests.Load(), ShouldEqual, 1)
			for end := time.Now().Add(waitTimeout); b.closed.Load() < 1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(b.closed.Load(), ShouldEqual, 1)
			stop()
		})
		Convey("An idempotent request is repeated: "+name, t, func() {
			b := newRawBackend(first)
			f, stop := egressFleet(t, 2, b)
			resp, err := f.send(http.MethodGet, "/read/1", "", "X-Id: a", "X-Left: 10000")
			So(err, ShouldBeNil)
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(string(body), ShouldEqual, "hello")
			So(resp.Header.Get("X-Seal"), ShouldEqual, sealMark)
			So(b.requests.Load(), ShouldEqual, 2)
			stop()
		})
		Convey("An idempotent request gets 502 if all responses are malformed: "+name, t, func() {
			b := newRawBackend(func(int64) string { return head })
			f, stop := egressFleet(t, 2, b)
			checkMalformed(f, http.MethodGet, "/read/1")
			So(b.requests.Load(), ShouldEqual, 2)
			stop()
		})
	}
}

// checkMalformed sends a request that gets a malformed response.
func checkMalformed(f *fleet, method, path string) {
	resp, err := f.send(method, path, "", "X-Id: a", "X-Left: 10000")
	So(err, ShouldBeNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
	So(resp.Header.Get(verdict.Header), ShouldEqual, verdict.MayHaveRun.String())
	So(resp.Header.Get("X-Seal"), ShouldBeEmpty)
	for _, quoted := range []string{"seal", "HTTP/", "http/", "ICY", "200", "000", "Content-Length", "xxx"} {
		So(string(body), ShouldNotContainSubstring, quoted)
	}
}

// Guards against the refusal of status lines that are valid.
func TestValidStatusLines(t *testing.T) {
	for _, c := range []struct {
		method, head string
		status       int
	}{
		{"GET", "HTTP/1.1 200 OK\r\n", 200},
		{"GET", "HTTP/1.1 200\r\n", 200},
		{"GET", "HTTP/1.1 200 \r\n", 200},
		{"GET", "HTTP/1.0 200 OK\r\n", 200},
		{"GET", "HTTP/1.1 299 Reason of several words\r\n", 299},
		{"GET", "HTTP/1.1 404 Not Found\r\n", 404},
		{"GET", "HTTP/1.1 599 X\r\n", 599},
		{"GET", "HTTP/1.1 204 No Content\r\n", 204},
		{"GET", "HTTP/1.1 304 Not Modified\r\n", 304},
		{"HEAD", "HTTP/1.1 200 OK\r\n", 200},
		{"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", 200},
		{"GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n", 201},
	} {
		Convey(fmt.Sprintf("A response to %s arrives with its status: %q", c.method, c.head), t, func() {
			b := newRawBackend(func(int64) string { return c.head })
			f, stop := egressFleet(t, 1, b)
			resp, err := f.send(c.method, "/read/1", "", "X-Id: a", "X-Left: 10000")
			So(err, ShouldBeNil)
			resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, c.status)
			So(resp.Header.Get("X-Seal"), ShouldEqual, sealMark)
			stop()
		})
	}
}
