package egress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// announcing returns a handler that responds at once, with the given header lines.
func announcing(lines string) func(net.Conn, *bufio.Reader, *http.Request) bool {
	return func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%sContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"), lines)
		return true
	}
}

// Guards against a backend server that gets more requests than the limit it announced.
func TestServerGetsMoreThanItsAnnouncedLimit(t *testing.T) {
	const perSecond, overshoot, burst = 20, 1.5, 5
	Convey("The server gets at most one and a half times what its limit allows, and 5 requests", t, func() {
		r := newVMListRig(newRawServer(announcing(fmt.Sprintf("X-Limit: %d\r\n", perSecond))), nil)
		defer r.close()
		began := time.Now()
		for i := 0; time.Since(began) < time.Second; i++ {
			call := r.callWithID(fmt.Sprint(i))
			call.RemainingUs = uint64((200 * time.Millisecond).Microseconds())
			r.do(call)
		}
		allowed := overshoot*perSecond*time.Since(began).Seconds() + burst
		So(float64(r.server.requests.Load()), ShouldBeLessThanOrEqualTo, allowed)
	})
}
