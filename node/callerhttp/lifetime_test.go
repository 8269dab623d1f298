package callerhttp

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	"auburnladder.example/node/budget"
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

// http10 sends a GET request of HTTP/1.0 on a new connection and returns the connection.
func (r *rig) http10(path string) *caller {
	c := r.dial()
	c.send("GET " + path + " HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive\r\n\r\n")
	return c
}

// Guards against a node that holds answers without end in its memory, for callers that don't know chunked encoding.
func TestResponsesOfUnknownLengthAreBounded(t *testing.T) {
	const room = 256 << 10
	responses := budget.New("test_responses", room)
	limited := func(cfg *Config) { cfg.Responses = responses }
	Convey("A caller with HTTP/1.0 gets", t, func() {
		r := newRig(t, limited)
		Convey("a long answer whole, to the end of its connection", func() {
			c := r.http10("/flood/1")
			resp, err := http.ReadResponse(c.br, nil)
			So(err, ShouldBeNil)
			So(resp.ContentLength, ShouldEqual, -1)
			So(resp.TransferEncoding, ShouldBeEmpty)
			So(responses.Used(), ShouldBeLessThanOrEqualTo, room)
			received, err := io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
			So(received, ShouldEqual, floodBytes)
			c.Close()
		})
		Convey("a connection that is reset if a long answer breaks off, so that it does not look complete", func() {
			held, _ := responses, responses.Reserve(room)
			c := r.http10("/cut/1")
			resp, err := http.ReadResponse(c.br, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			So(err, ShouldNotBeNil)
			So(strings.Contains(err.Error(), syscall.ECONNRESET.Error()), ShouldBeTrue)
			held.Release(room)
			c.Close()
		})
		Convey("what lies behind a long answer unanswered and not run", func() {
			c := r.dial()
			c.send("GET /flood/1 HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive\r\n\r\nGET /now/2 HTTP/1.0\r\nHost: a.example\r\n\r\n")
			resp, err := http.ReadResponse(c.br, nil)
			So(err, ShouldBeNil)
			received, _ := io.Copy(io.Discard, resp.Body)
			So(received, ShouldEqual, floodBytes)
			c.Close()
			So(r.hasStarted("/now/2"), ShouldBeFalse)
		})
		r.close()
		So(responses.Used(), ShouldEqual, 0)
	})
}
