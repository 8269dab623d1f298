package egress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
)

// A call may be delayed on its way from the peer, for example in socket buffers. Its
// remaining time must be reduced by the delay, and it must not run if its deadline has
// passed or its caller has disconnected.
func TestLateCalls(t *testing.T) {
	Convey("Given a session on which one call arrived without delay", t, func() {
		deadlines := make(chan string, 50)
		r := newVMListRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			id := req.Header.Get("X-Id")
			deadlines <- req.Header.Get("X-Left")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok")
			return true
		}), nil)
		defer r.close()
		send := func(id string, delay, remaining time.Duration) *peerpb.Call {
			call := r.callWithID(id)
			call.RemainingUs = uint64(remaining.Microseconds())
			call.SentUs = (r.boot() - delay).Microseconds()
			return call
		}
		So(string(r.do(send("usual", 0, testTimeout)).body), ShouldEqual, "ok")
		<-deadlines

		Convey("a delayed call has that much less time at the server", func() {
			const delay = 7 * time.Second
			So(string(r.do(send("late", delay, testTimeout)).body), ShouldEqual, "ok")
			var ms int
			_, err := fmt.Sscan(<-deadlines, &ms)
			So(err, ShouldBeNil)
			// The first call, which is the reference, may itself have been delayed a little.
			So(ms, ShouldBeBetween, 0, int((testTimeout - delay + transitDelayThreshold).Milliseconds()))
		})
		Convey("a call that arrives after its deadline does not reach the server", func() {
			a := r.do(send("expired", 2*testTimeout, testTimeout))
			So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
			So(a.GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_DEADLINE)
			So(r.server.requests.Load(), ShouldEqual, 1)
		})
		Convey("a call whose stream ended before it was served does not reach the server", func() {
			gate := make(chan struct{})
			r.gate.Store(&gate)
			for i := range 20 {
				r.open(send(fmt.Sprint("ended", i), time.Second, testTimeout)).Close()
			}
			last := send("usual again", 0, testTimeout)
			st := r.open(last)
			// Messages of a session arrive in order: when the last call has arrived, the
			// streams before it have ended.
			waitUntil(func() bool { return r.arrived.Load() == 22 })
			close(gate)
			readReply(st, last)
			st.Close()
			waitUntil(func() bool { return r.egress.Active() == 0 })
			So(r.server.requests.Load(), ShouldEqual, 2)
		})
	})
}
