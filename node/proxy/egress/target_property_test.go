package egress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/wire/peerpb"
)

// Guards against a call whose target the backend server gets in other bytes than the call has.
func TestTargetReachesTheServerAsCalled(t *testing.T) {
	Convey("Whatever a target consists of, the server gets it, the method and the host unchanged", t, func() {
		lines := make(chan string, 1)
		server := newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			lines <- fmt.Sprintf("%s %s at %s", req.Method, req.RequestURI, req.Host)
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			return true
		})
		r := newEgressRig(server)
		rapid.Check(t, func(rt *rapid.T) {
			// Go's reader of requests refuses invalid escapes, so there are none.
			piece := rapid.SampledFrom([]string{"/", "/", "a", "%2F", "%2f", "..", ".", "%2e", "\\", "%00", ";", "*", "+", "(", "é", "://", "@", "?", "="})
			call := r.call()
			call.Uri = rapid.SampledFrom([]string{"", "http://tickets.test"}).Draw(rt, "form") + "/seats/" + strings.Join(rapid.SliceOfN(piece, 0, 8).Draw(rt, "rest"), "")
			call.Method = rapid.SampledFrom([]string{"GET", "POST", "HEAD"}).Draw(rt, "method")
			call.Host = "tickets.test"
			if a := r.do(call); a.GetVerdict() != peerpb.Verdict_VERDICT_RAN {
				rt.Fatalf("%q: %s", call.Uri, a.GetDetail())
			}
			if got, want := <-lines, fmt.Sprintf("%s %s at %s", call.Method, call.Uri, call.Host); got != want {
				rt.Fatalf("the server got %q, want %q", got, want)
			}
		})
		r.close()
	})
}
