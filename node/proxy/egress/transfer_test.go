package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
)

// answerLong returns a server whose answers are n bytes long.
func answerLong(n int) func(net.Conn, *bufio.Reader, *http.Request) bool {
	text := "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: " + strconv.Itoa(n) + "\r\n"
	body := strings.Repeat("x", n)
	return func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
		_, err := io.WriteString(conn, text+"X-Id: "+req.Header.Get("X-Id")+"\r\n\r\n"+body)
		return err == nil
	}
}

func TestAnswersOnASlowLink(t *testing.T) {
	Convey("Given long answers that the caller's node receives slowly", t, func() {
		const size = 150 << 10
		r := newListedRig(newRawServer(answerLong(size)), func(vm *vmlist.VM) { vm.Slots = 8 })
		defer r.close()
		So(size, ShouldBeGreaterThan, r.egress.cfg.Transfer.MinBytes)
		var calls []*peerpb.Call
		var streams []*session.Stream
		So(len(r.do(r.listedCall("first")).body), ShouldEqual, size)
		for i := range 2 {
			calls = append(calls, r.listedCall(strconv.Itoa(i)))
			streams = append(streams, r.open(calls[i]))
		}

		Convey("the server is free long before the answers have arrived", func() {
			waitUntil(func() bool { return r.server.requests.Load() == 3 })
			waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
			waitUntil(func() bool { return r.egress.window.Sending() == 2 })
			So(r.egress.Active(), ShouldEqual, 2)
			So(r.egress.Load().GetQueued(), ShouldEqual, 2)
			for i, st := range streams {
				So(len(readSlowly(st, calls[i]).body), ShouldEqual, size)
			}

			Convey("and a call whose answer could not pass the link in time is refused at once", func() {
				for i := range 2 {
					calls[i] = r.listedCall("more" + strconv.Itoa(i))
					streams[i] = r.open(calls[i])
				}
				waitUntil(func() bool { return r.egress.window.Sending() == 2 })
				hasty := r.listedCall("hasty")
				hasty.ObjectiveUs = 1000
				a := r.do(hasty)
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
				So(a.GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_OVERLOAD)
				So(r.server.requests.Load(), ShouldEqual, 5)
				for i := range 2 {
					So(len(readSlowly(streams[i], calls[i]).body), ShouldEqual, size)
				}
			})
		})
	})
}

// readSlowly reads an answer as over a link of 6 Mbit/s.
func readSlowly(st *session.Stream, call *peerpb.Call) egressAnswer {
	return readAnswerEvery(st, call, 20*time.Millisecond)
}
