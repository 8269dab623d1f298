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

func TestLateCalls(t *testing.T) {
	Convey("Given a session that carried a call in the usual time", t, func() {
		left := make(chan string, 50)
		r := newListedRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			id := req.Header.Get("X-Id")
			left <- req.Header.Get("X-Left")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok")
			return true
		}), nil)
		defer r.close()
		send := func(id string, late, remaining time.Duration) *peerpb.Call {
			call := r.listedCall(id)
			call.RemainingUs = uint64(remaining.Microseconds())
			call.SentUs = (r.boot() - late).Microseconds()
			return call
		}
		So(string(r.do(send("usual", 0, testWait)).body), ShouldEqual, "ok")
		<-left

		Convey("a late one has so much less time at the server", func() {
			const late = 7 * time.Second
			So(string(r.do(send("late", late, testWait)).body), ShouldEqual, "ok")
			var ms int
			_, err := fmt.Sscan(<-left, &ms)
			So(err, ShouldBeNil)
			// The first call may itself have been later than the fastest possible.
			So(ms, ShouldBeBetween, 0, int((testWait - late + lateAfter).Milliseconds()))
		})
		Convey("one that comes after its deadline doesn't reach the server", func() {
			a := r.do(send("expired", 2*testWait, testWait))
			So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
			So(a.GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_DEADLINE)
			So(r.server.requests.Load(), ShouldEqual, 1)
		})
		Convey("one whose end came with it doesn't reach the server", func() {
			gate := make(chan struct{})
			r.gate.Store(&gate)
			for i := range 20 {
				r.open(send(fmt.Sprint("ended", i), time.Second, testWait)).Close()
			}
			last := send("usual again", 0, testWait)
			st := r.open(last)
			// Messages of a session arrive in order: with the last call, the others have ended.
			waitUntil(func() bool { return r.arrived.Load() == 22 })
			close(gate)
			readAnswer(st, last)
			st.Close()
			waitUntil(func() bool { return r.egress.Active() == 0 })
			So(r.server.requests.Load(), ShouldEqual, 2)
		})
	})
}
