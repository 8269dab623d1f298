package ingress

import (
	"fmt"
	"net"
	"testing"
	"time"

	"auburnladder.example/node/callerhttp"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against attempts for a caller that left before the reading goroutine got to notice it.
func TestAttemptForACallerThatLeft(t *testing.T) {
	Convey("No further server gets the request of a caller that left while reading was paused", t, func() {
		var caller net.Conn
		refuse := func(_ *link, call *peerpb.Call, st *session.Stream) {
			caller.Close()
			time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
			_ = st.Send(&peerpb.Reply{
				Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_NOT_RUN, Refusal: peerpb.Refusal_REFUSAL_OVERLOAD, RetryAfterMs: 1,
			})
		}
		f := newPublishedFleet(t, refuse, refuse, refuse)
		cfg := callerhttp.DefaultConfig()
		cfg.MaxPipelined = 1 // pauses reading while a request runs
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv := f.ingress.NewServer(cfg)
		f.tasks.Go(func() { _ = srv.Serve(l) })
		caller, err = net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		fmt.Fprint(caller, "GET /read/1 HTTP/1.1\r\nHost: programma.example\r\nX-Id: a\r\n\r\n")
		calls := func() int {
			n := 0
			for _, p := range f.peers {
				n += p.callCount()
			}
			return n
		}
		waitFor(t, "end of the request", func() bool { return calls() > 0 && f.ingress.Active() == 0 })
		So(calls(), ShouldEqual, 1)
		f.shutdown(srv)
		f.close()
	})
}
