package egress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/wire/peerpb"
)

// Guards against 'not run' for a request that runs, because an earlier refusal arrives once more without an ID.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		answer  = "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	)
	// second returns a rig on whose second request the server sends the given bytes.
	second := func(text string) *egressRig {
		var server *rawServer
		server = newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body)
			if server.requests.Load() == 1 {
				fmt.Fprintf(conn, refusal, "X-Id: a\r\n")
				return true
			}
			_, _ = io.WriteString(conn, text)
			return text == "" || text[len(text)-1] == 'k'
		})
		rig := newVMListRig(server, nil)
		So(rig.do(rig.callWithID("a")).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
		return rig
	}
	for name, id := range map[string]string{"with its ID": "X-Id: a\r\n", "without an ID": ""} {
		repeated := fmt.Sprintf(refusal, id)
		Convey("The answer behind a repeated refusal "+name+" is delivered", t, func() {
			rig := second(repeated + answer)
			reply := rig.do(rig.callWithID("b"))
			So(reply.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(string(reply.body), ShouldEqual, "ok")
			So(rig.server.conns.Load(), ShouldEqual, 1)
			rig.close()
		})
		Convey("After a repeated refusal "+name+" and the end of the connection the request may have run", t, func() {
			rig := second(repeated)
			So(rig.do(rig.callWithID("b")).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
			rig.close()
		})
	}
	Convey("The first response on a connection may be a refusal without an ID", t, func() {
		rig := newVMListRig(newRawServer(respondRaw(fmt.Sprintf(refusal, ""))), nil)
		So(rig.do(rig.callWithID("a")).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
		rig.close()
	})
}

// Guards against a response that breaks off, at any byte, and is delivered as a whole one.
func TestResponseCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n"
	for name, text := range map[string]string{
		"with a length":              head + "Content-Length: 5\r\n\r\nhello",
		"in chunks":                  head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"behind an interim response": "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
		"without a body":             "HTTP/1.1 204 No Content\r\nX-Id: a\r\nX-Seal: s\r\n\r\n",
	} {
		Convey("A response "+name+" is whole only if its last byte arrived", t, func() {
			for cut := range len(text) {
				rig := newVMListRig(newRawServer(respondRaw(text[:cut])), nil)
				reply := rig.do(rig.callWithID("a"))
				if reply.GetVerdict() == peerpb.Verdict_VERDICT_RAN {
					So(fmt.Sprint(cut, reply.aborted), ShouldEqual, fmt.Sprint(cut, true))
				}
				rig.close()
			}
			rig := newVMListRig(newRawServer(respondRaw(text)), nil)
			reply := rig.do(rig.callWithID("a"))
			So(reply.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(reply.aborted, ShouldBeFalse)
			rig.close()
		})
	}
	Convey("A response that ends with its connection is not whole if its head was cut", t, func() {
		const text = head + "Connection: close\r\n\r\n"
		for cut := range len(text) {
			rig := newVMListRig(newRawServer(respondRaw(text[:cut])), nil)
			So(fmt.Sprint(cut, rig.do(rig.callWithID("a")).GetVerdict()), ShouldEqual, fmt.Sprint(cut, peerpb.Verdict_VERDICT_MAY_HAVE_RUN))
			rig.close()
		}
	})
}
