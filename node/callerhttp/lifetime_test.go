package callerhttp

import (
	"net/http"
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	. "github.com/smartystreets/goconvey/convey"
)

// shortTimeout is the time of the requests whose end is tested.
const shortTimeout = 300 * time.Millisecond

// Guards against requests that are held for 30 s by a caller that goes silent in the midst of its body.
func TestSilentCallerEndsWithItsRequest(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "POST /now/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\nhalf",
		"in chunks":     "POST /now/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		Convey("A request whose body "+name+" stays incomplete is refused at its deadline and has not run", t, func() {
			r := newRig(t)
			r.timeout = shortTimeout
			c := r.dial()
			watch := lifetimetest.Start()
			c.send(head)
			So(c.mustRead().status, ShouldEqual, http.StatusBadRequest) // the rig's Reject
			So(watch.Late(shortTimeout), ShouldEqual, 0)
			So(r.hasStarted("/now/1"), ShouldBeFalse)
			c.Close()
			r.close()
		})
	}
	Convey("A caller that sends its body slowly but in time is served", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send("POST /now/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		c.send("half")
		So(c.mustRead().body, ShouldEqual, "/now/1")
		c.Close()
		r.close()
	})
}

// Guards against an answer that is dropped because it is ready after the end of its request.
func TestLateAnswerIsDelivered(t *testing.T) {
	Convey("A response that is ready, or whose turn comes, after the end of its request is delivered", t, func() {
		r := newRig(t)
		r.timeout = shortTimeout
		c := r.dial()
		c.get("/hold/1", "/now/2")
		r.waitFor("start", func() bool { return r.hasStarted("/now/2") })
		time.Sleep(shortTimeout + lifetimetest.Bound)
		r.release("/hold/1")
		So(c.mustRead().body, ShouldEqual, "/hold/1")
		So(c.mustRead().body, ShouldEqual, "/now/2")
		c.Close()
		r.close()
	})
}
