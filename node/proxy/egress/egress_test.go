package egress

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// A call that fails a check must not reach the server, so that its verdict is "not run"
// and the caller's node may retry it at another server.
func TestEgressRefusesBeforeTheServer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	cases := map[string]struct {
		change func(*egressRig, *peerpb.Call)
		want   peerpb.Refusal
	}{
		"another service":    {func(_ *egressRig, c *peerpb.Call) { c.Service = "shop" }, peerpb.Refusal_REFUSAL_WRONG_SERVICE},
		"leaving":            {func(r *egressRig, _ *peerpb.Call) { r.egress.State.SetLeaving(true) }, peerpb.Refusal_REFUSAL_LEAVING},
		"resynchronising":    {func(r *egressRig, _ *peerpb.Call) { r.egress.State.SetResyncing(true) }, peerpb.Refusal_REFUSAL_STARTING},
		"no such route":      {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/other" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"newer release":      {func(_ *egressRig, c *peerpb.Call) { c.Uri, c.Release.Sequence = "/other", 8 }, peerpb.Refusal_REFUSAL_STARTING},
		"forged caller":      {func(r *egressRig, c *peerpb.Call) { r.peerInfo.VM, c.Caller = "bank-1", "shop" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"unlisted caller":    {func(_ *egressRig, c *peerpb.Call) { c.Host = "shop.test" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"peer's service":     {func(r *egressRig, c *peerpb.Call) { r.peerInfo.Service, c.Caller = "bank", "bank" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"unlisted peer":      {func(r *egressRig, c *peerpb.Call) { r.peerInfo.VM, c.Caller = "shop-2", "shop" }, peerpb.Refusal_REFUSAL_STARTING},
		"no time left":       {func(_ *egressRig, c *peerpb.Call) { c.RemainingUs = 0 }, peerpb.Refusal_REFUSAL_DEADLINE},
		"split header":       {func(_ *egressRig, c *peerpb.Call) { c.Headers = []*peerpb.Header{{Name: "A", Value: "b\r\nC: d"}} }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"encoded slash":      {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/x/..%2F../seats" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"dot segments":       {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/x/../seats/1" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"two hosts":          {func(_ *egressRig, c *peerpb.Call) { c.Uri = "http://shop.test/seats/1" }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"fragment":           {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/seats/1#a" }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"space in a name":    {func(_ *egressRig, c *peerpb.Call) { c.Headers = []*peerpb.Header{{Name: "X A", Value: "b"}} }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"split uri":          {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/seats HTTP/1.1\r\nA: b" }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"method not token":   {func(_ *egressRig, c *peerpb.Call) { c.Method = "PO ST" }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"resumed after 60 s": {func(r *egressRig, _ *peerpb.Call) { r.clockOffset.Store(int64(time.Minute)) }, peerpb.Refusal_REFUSAL_STARTING},
	}
	Convey("A refused call has the verdict not-run and does not reach the server", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				r := newEgressRig(newRawServer(serveOK))
				call := r.call()
				c.change(r, call)
				a := r.do(call)
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
				So(a.GetRefusal(), ShouldEqual, c.want)
				So(a.GetLoad(), ShouldNotBeNil)
				r.close()
				So(r.server.requests.Load(), ShouldEqual, 0)
			})
		}
	})
}

// Responses of every framing must arrive complete, and one that is framed incorrectly
// would break the connection for the next request. A duplicate of a call must not run
// twice.
func TestEgressAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const size = 900 << 10
	big := strings.Repeat("x", size)
	handle := func(conn net.Conn, r *bufio.Reader, req *http.Request) bool {
		switch req.URL.Path {
		case "/seats/big":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, big)
		case "/seats/chunked":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
		case "/seats/shed":
			fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n")
		case "/seats/none":
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		default:
			if req.Method == "HEAD" {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
				return true
			}
			return serveOK(conn, r, req)
		}
		return true
	}
	Convey("Given a server that keeps its connections open", t, func() {
		r := newEgressRig(newRawServer(handle))
		expectRan := func(method, uri string, status int, body string) {
			call := r.call()
			call.Method, call.Uri = method, uri
			a := r.do(call)
			So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(a.GetStatus(), ShouldEqual, status)
			So(string(a.body) == body, ShouldBeTrue)
			So(a.aborted, ShouldBeFalse)
			So(a.GetLoad().GetLimit(), ShouldBeGreaterThan, 0)
		}
		Convey("complete responses of every framing arrive over one connection", func() {
			expectRan("POST", "/seats/1", 200, "/seats/1 4")
			expectRan("GET", "/seats/big", 200, big)
			expectRan("GET", "/seats/chunked", 200, "hello world")
			expectRan("GET", "/seats/none", 204, "")
			expectRan("HEAD", "/seats/1", 200, "")
			expectRan("GET", "/seats/shed", 503, "")
			expectRan("POST", "/seats/2", 200, "/seats/2 4")
			r.close()
			So(r.server.conns.Load(), ShouldEqual, 1)
		})
		Convey("a request body sent in parts reaches the server complete", func() {
			call := r.call()
			call.More = true
			st := r.open(call)
			part := bytes.Repeat([]byte("y"), 100<<10)
			for range 3 {
				So(st.Send(&peerpb.Body{Data: part}), ShouldBeNil)
			}
			So(st.Send(&peerpb.Body{Last: true, Total: uint64(4 + 3*len(part))}), ShouldBeNil)
			So(string(readReply(st, call).body), ShouldEqual, fmt.Sprintf("/seats/1 %d", 4+3*len(part)))
			st.Close()
			r.close()
		})
		Convey("the request target reaches the server as sent", func() {
			r.server.handle = func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.RequestURI), req.RequestURI)
				return true
			}
			for _, uri := range []string{"/seats/a%2Fb//c", "/seats/../%2e?q=../%2F", "http://tickets.test/seats/1"} {
				expectRan("POST", uri, 200, uri)
			}
			r.close()
		})
		Convey("header values reach the server as sent, and none is added", func() {
			var got http.Header
			r.server.handle = func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
				got = req.Header.Clone()
				return serveOK(conn, b, req)
			}
			call := r.call()
			call.Headers = []*peerpb.Header{
				{Name: "Cookie", Value: `a=1;b="2 3"; ;c`},
				{Name: "Cookie", Value: "a=2"},
				{Name: "User-Agent", Value: ""},
				{Name: "X-Request-Id", Value: "7"},
			}
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(got, ShouldResemble, http.Header{
				"Cookie": {`a=1;b="2 3"; ;c`, "a=2"}, "User-Agent": {""}, "X-Request-Id": {"7"}, "Content-Length": {"4"},
			})
			r.close()
		})
		Convey("a duplicate call ID is refused, a retry of an idempotent call is not", func() {
			call := r.call()
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			call.Attempt = 2
			So(r.do(call).GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_DUPLICATE)
			call = r.call()
			call.Idempotent = true
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(r.do(call).GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_DUPLICATE)
			call.Attempt = 2
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			r.close()
			So(r.server.requests.Load(), ShouldEqual, 3)
		})
		Convey("a listed peer may send calls of its own service", func() {
			call := r.call()
			call.Caller = "shop"
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			r.close()
		})
		Convey("hop-by-hop headers and headers reserved for nodes are not forwarded", func() {
			var got http.Header
			r.server.handle = func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
				got = req.Header.Clone()
				return serveOK(conn, b, req)
			}
			call := r.call()
			call.Headers = []*peerpb.Header{
				{Name: "x-auburnladder-caller", Value: "shop"},
				{Name: "transfer-encoding", Value: "chunked"},
				{Name: "connection", Value: "close"},
				{Name: "x-own", Value: "1"},
			}
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(got.Get("X-Own"), ShouldEqual, "1")
			So(got.Get("X-Auburnladder-Caller"), ShouldEqual, "")
			So(got.Get("Connection"), ShouldEqual, "")
			r.close()
		})
	})
}
