package callerhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// leakOptions ignores the clock of fasthttp, which runs for the life of the process.
var leakOptions = []goleak.Option{goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1")}

// Guards against pipelined requests that run one after the other: a request behind a slow one
// then reaches a server only when the slow one is answered.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	Convey("Requests behind a slow one run at once, and all responses come in order", t, func() {
		r := newRig(t)
		c := r.dial()
		c.get("/hold/1", "/now/2", "/stream/3", "/hold/4", "/now/5")
		r.waitFor("start of the last request", func() bool { return r.hasStarted("/now/5") })
		So(r.hasStarted("/hold/4"), ShouldBeTrue)
		So(r.server.Waiting(), ShouldEqual, 4)
		r.release("/hold/4")
		r.release("/hold/1")
		So(c.mustRead().body, ShouldEqual, "/hold/1")
		So(c.mustRead().body, ShouldEqual, "/now/2")
		So(len(c.mustRead().body), ShouldEqual, 100_000)
		So(c.mustRead().body, ShouldEqual, "/hold/4")
		So(c.mustRead().body, ShouldEqual, "/now/5")
		c.get("/now/6")
		So(c.mustRead().body, ShouldEqual, "/now/6")
		c.Close()
		r.close()
		goleak.VerifyNone(t, leakOptions...)
	})
}

// Guards against a second run of a request that is not idempotent. A caller sends again what
// lies behind a response that closed the connection, so nothing of that may have run.
func TestRequestsThatAreNotIdempotentWait(t *testing.T) {
	Convey("A POST starts once all earlier responses are complete, and what is behind it waits until it has run", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send(request("GET", "/hold/1", "") + request("POST", "/hold/2", "body") + request("GET", "/now/3", ""))
		r.waitFor("reading of all requests", func() bool { return r.server.Waiting() == 2 })
		So(r.hasStarted("/hold/2"), ShouldBeFalse)
		r.release("/hold/1")
		So(c.mustRead().body, ShouldEqual, "/hold/1")
		r.waitFor("start of the POST", func() bool { return r.hasStarted("/hold/2") })
		So(r.hasStarted("/now/3"), ShouldBeFalse)
		r.release("/hold/2")
		So(c.mustRead().body, ShouldEqual, "/hold/2")
		So(c.mustRead().body, ShouldEqual, "/now/3")
		c.Close()
		r.close()
	})
	Convey("A POST that was read before a stop is answered in its turn, and nothing before it closes the connection", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send(request("GET", "/hold/1", "") + request("POST", "/now/2", "body") + request("GET", "/now/3", ""))
		r.waitFor("reading of all requests", func() bool { return r.server.Waiting() == 2 })
		r.stopping.Store(true)
		So(r.hasStarted("/now/2"), ShouldBeFalse)
		r.release("/hold/1")
		So(c.mustRead(), ShouldResemble, answer{status: http.StatusOK, body: "/hold/1"})
		So(c.mustRead(), ShouldResemble, answer{status: http.StatusOK, body: "/now/2"})
		So(c.mustRead(), ShouldResemble, answer{status: http.StatusOK, body: "/now/3", closes: true})
		_, err := c.br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		c.Close()
		r.close()
	})
	Convey("A POST behind a request that asks to close the connection does not run", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send(request("GET", "/hold/1", "", "Connection: close") + request("POST", "/now/2", "body"))
		r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
		r.release("/hold/1")
		So(c.mustRead(), ShouldResemble, answer{status: http.StatusOK, body: "/hold/1", closes: true})
		_, err := c.read()
		So(err, ShouldNotBeNil)
		c.Close()
		r.close()
		So(r.hasStarted("/now/2"), ShouldBeFalse)
	})
	Convey("A POST whose deadline passes while it waits is refused then, without running, and its response comes in its turn", t, func() {
		r := newRig(t)
		r.timeout = 50 * time.Millisecond
		c := r.dial()
		c.send(request("GET", "/hold/1", "") + request("POST", "/now/2", ""))
		r.waitFor("refusal of the POST", func() bool { return r.wasLate("/now/2") })
		r.release("/hold/1")
		So(c.mustRead().body, ShouldEqual, "/hold/1")
		So(c.mustRead().status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.hasStarted("/now/2"), ShouldBeFalse)
		c.Close()
		r.close()
	})
}

// Guards against requests that had been passed on to a server and are cut by a planned stop.
func TestStopWithPipelinedRequests(t *testing.T) {
	Convey("When the node stops, what was read is answered, and the last of these responses closes the connection", t, func() {
		r := newRig(t)
		c := r.dial()
		c.get("/hold/1", "/hold/2", "/hold/3")
		r.waitFor("start of all", func() bool { return r.hasStarted("/hold/3") })
		r.stopping.Store(true)
		r.release("/hold/1")
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/hold/1"})
		c.get("/now/4")
		r.waitFor("start of the fourth", func() bool { return r.hasStarted("/now/4") })
		r.release("/hold/3")
		r.release("/hold/2")
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/hold/2"})
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/hold/3"})
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/now/4", closes: true})
		// The last response was written: this request is not read.
		c.get("/now/5")
		_, err := c.br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(r.hasStarted("/now/5"), ShouldBeFalse)
		c.Close()
		r.close()
	})
	Convey("Shutdown closes idle connections and waits for those with a request", t, func() {
		r := newRig(t)
		idle, busy := r.dial(), r.dial()
		idle.get("/now/0")
		So(idle.mustRead().status, ShouldEqual, 200)
		busy.get("/hold/1")
		r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
		done := make(chan struct{})
		r.tasks.Go(func() {
			r.shutdown()
			close(done)
		})
		_, err := idle.br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(done, ShouldBeEmpty)
		r.release("/hold/1")
		So(busy.mustRead(), ShouldResemble, answer{status: 200, body: "/hold/1", closes: true})
		idle.Close()
		busy.Close()
		<-done
		r.tasks.Wait()
	})
	Convey("A connection that was just accepted gets a response to its first request although the server stops", t, func() {
		r := newRig(t)
		c := r.dial()
		r.waitFor("the connection", func() bool {
			r.server.mu.Lock()
			defer r.server.mu.Unlock()
			return len(r.server.conns) == 1
		})
		r.tasks.Go(r.shutdown)
		r.waitFor("shutdown", r.server.closing.Load)
		c.get("/now/1")
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/now/1", closes: true})
		c.Close()
		r.tasks.Wait()
	})
	Convey("Shutdown cuts what is left at its deadline and says so", t, func() {
		r := newRig(t)
		c := r.dial()
		c.get("/hold/1")
		r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		So(r.server.Shutdown(ctx), ShouldNotBeNil)
		_, err := c.read()
		So(err, ShouldNotBeNil)
		c.Close()
		r.tasks.Wait()
	})
}

// shutdown shuts the server down without waiting for the rig's own tasks.
func (r *rig) shutdown() {
	if err := r.server.Shutdown(context.Background()); err != nil {
		r.t.Error(err)
	}
}

// Guards against work for a caller that left. A caller that closes with bytes unread at the
// node showed as an open connection before.
func TestCallerThatLeaves(t *testing.T) {
	Convey("All requests of the connection are cancelled", t, func() {
		r := newRig(t)
		c := r.dial()
		c.get("/hold/1", "/hold/2", "/hold/3")
		r.waitFor("start of all", func() bool { return r.hasStarted("/hold/3") })
		c.Close()
		for _, p := range []string{"/hold/1", "/hold/2", "/hold/3"} {
			r.waitFor("cancellation of "+p, func() bool { return r.hasLeft(p) })
		}
		r.close()
	})
	Convey("Also when reading is paused and unread requests lie before the end", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.MaxPipelined = 2; cfg.MaxHeaderBytes = 256 })
		c := r.dial()
		c.get("/hold/1", "/hold/2", "/hold/3", "/hold/4", "/hold/5", "/hold/6", "/hold/7", "/hold/8")
		r.waitFor("start of two", func() bool { return r.hasStarted("/hold/2") })
		So(r.hasStarted("/hold/3"), ShouldBeFalse)
		c.Close()
		r.waitFor("cancellation", func() bool { return r.hasLeft("/hold/1") && r.hasLeft("/hold/2") })
		r.close()
		So(r.hasStarted("/hold/3"), ShouldBeFalse)
	})
	Convey("Also while the last response is in progress", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send(request("GET", "/hold/1", "", "Connection: close"))
		r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
		c.Close()
		r.waitFor("cancellation", func() bool { return r.hasLeft("/hold/1") })
		r.close()
	})
	Convey("A caller that does not read its response is cut off at the end of its request, and its other requests are cancelled", t, func() {
		r := newRig(t)
		r.timeout = time.Second
		c := r.dial()
		watch := lifetimetest.Start()
		c.get("/flood/1", "/hold/2")
		r.waitFor("cancellation", func() bool { return r.hasLeft("/hold/2") })
		So(watch.Late(r.timeout), ShouldEqual, 0)
		c.Close()
		r.close()
	})
}

// Guards against unlimited memory for a caller that never stops sending.
func TestPipelineIsBounded(t *testing.T) {
	Convey("No more than MaxPipelined requests of a connection are read, and none is lost", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.MaxPipelined = 2; cfg.MaxHeaderBytes = 256 })
		c := r.dial()
		c.get("/hold/1", "/now/2", "/now/3", "/now/4")
		r.waitFor("start of two", func() bool { return r.hasStarted("/now/2") })
		pausedAt := time.Now()
		time.Sleep(20 * time.Millisecond)
		So(r.hasStarted("/now/3"), ShouldBeFalse)
		r.release("/hold/1")
		for _, want := range []string{"/hold/1", "/now/2", "/now/3", "/now/4"} {
			So(c.mustRead().body, ShouldEqual, want)
		}
		// Its time counts from when it was there, not from when it was read.
		r.mu.Lock()
		So(r.arrived["/now/4"], ShouldHappenOnOrBefore, pausedAt)
		r.mu.Unlock()
		c.Close()
		r.close()
	})
	Convey("When many requests wait on all connections, further connections serve one at a time", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.MaxWaiting = 1 })
		first, second := r.dial(), r.dial()
		first.get("/hold/1", "/now/2")
		r.waitFor("a waiting request", func() bool { return r.server.Waiting() == 1 })
		second.get("/hold/3", "/now/4")
		r.waitFor("start", func() bool { return r.hasStarted("/hold/3") })
		time.Sleep(20 * time.Millisecond)
		So(r.hasStarted("/now/4"), ShouldBeFalse)
		r.release("/hold/3")
		So(second.mustRead().body, ShouldEqual, "/hold/3")
		So(second.mustRead().body, ShouldEqual, "/now/4")
		r.release("/hold/1")
		first.Close()
		second.Close()
		r.close()
	})
	Convey("Requests with bodies count by their size", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.MaxPipelinedBytes = 1000; cfg.MaxHeaderBytes = 256 })
		c := r.dial()
		body := strings.Repeat("b", 900)
		r.tasks.Go(func() {
			c.send(request("GET", "/hold/1", body) + request("GET", "/now/2", body) + request("GET", "/now/3", body))
		})
		r.waitFor("start of the second", func() bool { return r.hasStarted("/now/2") })
		time.Sleep(20 * time.Millisecond)
		So(r.hasStarted("/now/3"), ShouldBeFalse)
		r.release("/hold/1")
		for _, want := range []string{"/hold/1", "/now/2", "/now/3"} {
			So(c.mustRead().body, ShouldEqual, want)
		}
		c.Close()
		r.close()
	})
	Convey("Connections above the limit are refused", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.MaxConnections = 1 })
		first := r.dial()
		first.get("/now/1")
		So(first.mustRead().status, ShouldEqual, 200)
		second := r.dial()
		So(second.mustRead(), ShouldResemble, answer{status: 503, closes: true})
		first.Close()
		second.Close()
		r.close()
	})
}

// Guards against responses that shift when a request between others is faulty, and against
// requests that run although the caller cannot get their response.
func TestFaultyRequestInTheMiddle(t *testing.T) {
	faults := map[string]string{
		"malformed":      "BAD\r\n\r\n",
		"oversized head": "GET /now/2 HTTP/1.1\r\nHost: a.example\r\nX-Long: " + strings.Repeat("x", 32<<10) + "\r\n\r\n",
		"oversized body": "POST /now/2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 99999\r\n\r\n",
		"bad chunk":      "POST /now/2 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n",
		"bad target":     "GET /now\x01/2 HTTP/1.1\r\nHost: a.example\r\n\r\n",
	}
	Convey("Earlier requests are answered in order, the faulty one is rejected, and nothing behind it runs", t, func() {
		for name, fault := range faults {
			r := newRig(t)
			c := r.dial()
			text := request("GET", "/hold/1", "") + fault + request("GET", "/now/3", "")
			r.tasks.Go(func() { _, _ = io.WriteString(c, text) })
			r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
			r.release("/hold/1")
			SoMsg(name, c.mustRead().body, ShouldEqual, "/hold/1")
			rejected := c.mustRead()
			SoMsg(name, rejected.status, ShouldEqual, 400)
			SoMsg(name, rejected.closes, ShouldBeTrue)
			_, err := c.read()
			SoMsg(name, err, ShouldNotBeNil)
			c.Close()
			r.close()
			SoMsg(name, r.hasStarted("/now/3"), ShouldBeFalse)
			SoMsg(name, r.hasStarted("/now/2"), ShouldBeFalse)
		}
	})
	Convey("A body that breaks off cuts the connection, also for what is behind it", t, func() {
		r := newRig(t)
		c := r.dial()
		c.get("/cut/1", "/now/2")
		_, err := c.read()
		So(err, ShouldNotBeNil)
		_, err = c.read()
		So(err, ShouldNotBeNil)
		c.Close()
		r.close()
	})
	Convey("Bytes without end that are no request are read only until the connection is closed", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.LingerTimeout = 50 * time.Millisecond })
		c := r.dial()
		junk := strings.Repeat("x", 64<<10)
		var err error
		for err == nil {
			_, err = io.WriteString(c, junk)
		}
		So(err, ShouldNotBeNil)
		c.Close()
		r.close()
	})
}

// Guards against what RFC 9112 asks of each connection: interim responses in order, HTTP/1.0,
// the caller's own Connection: close, chunked bodies.
func TestConnectionRules(t *testing.T) {
	Convey("An interim response comes after the earlier responses", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send(request("GET", "/hold/1", "") + "POST /now/2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
		time.Sleep(20 * time.Millisecond)
		r.release("/hold/1")
		So(c.mustRead().body, ShouldEqual, "/hold/1")
		interim, err := http.ReadResponse(c.br, nil)
		So(err, ShouldBeNil)
		So(interim.StatusCode, ShouldEqual, 100)
		c.send("body")
		So(c.mustRead().body, ShouldEqual, "/now/2")
		c.Close()
		r.close()
	})
	Convey("After a request with Connection: close nothing is read", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send(request("GET", "/now/1", "", "Connection: close") + request("GET", "/now/2", ""))
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/now/1", closes: true})
		_, err := c.br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		c.Close()
		r.close()
		So(r.hasStarted("/now/2"), ShouldBeFalse)
	})
	Convey("A caller with HTTP/1.0 gets a length instead of chunks", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send("GET /stream/1 HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive\r\n\r\n")
		resp, err := http.ReadResponse(c.br, nil)
		So(err, ShouldBeNil)
		So(resp.ContentLength, ShouldEqual, 100_000)
		So(resp.TransferEncoding, ShouldBeEmpty)
		body, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(len(body), ShouldEqual, 100_000)
		c.send("GET /now/2 HTTP/1.0\r\nHost: a.example\r\n\r\n")
		So(c.mustRead(), ShouldResemble, answer{status: 200, body: "/now/2", closes: true})
		c.Close()
		r.close()
	})
	Convey("Chunked requests and HEAD keep the order", t, func() {
		r := newRig(t)
		c := r.dial()
		c.send("POST /now/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" +
			"HEAD /now/2 HTTP/1.1\r\nHost: a.example\r\n\r\n" + request("GET", "/now/3", ""))
		So(c.mustRead().body, ShouldEqual, "/now/1")
		head, err := http.ReadResponse(c.br, &http.Request{Method: "HEAD"})
		So(err, ShouldBeNil)
		So(head.ContentLength, ShouldEqual, len("/now/2"))
		So(c.mustRead().body, ShouldEqual, "/now/3")
		c.Close()
		r.close()
	})
	Convey("An idle connection is closed, one with a request in progress is not", t, func() {
		r := newRig(t, func(cfg *Config) { cfg.IdleTimeout = 30 * time.Millisecond })
		c := r.dial()
		c.get("/hold/1")
		r.waitFor("start", func() bool { return r.hasStarted("/hold/1") })
		time.Sleep(100 * time.Millisecond)
		r.release("/hold/1")
		So(c.mustRead().body, ShouldEqual, "/hold/1")
		_, err := c.br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		c.Close()
		r.close()
	})
}

// Guards against a final response that is lost because unread requests behind it make the
// close a reset.
func TestLastResponseIsDelivered(t *testing.T) {
	Convey("A caller that sends on and reads late gets the last response whole", t, func() {
		r := newRig(t)
		c := r.dial()
		// A small receive buffer: when the response is written, most of it lies at the node.
		So(c.Conn.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
		// More than the node's read buffer holds, so that bytes stay unread there.
		r.tasks.Go(func() {
			_, _ = io.WriteString(c, request("GET", "/stream/1", "", "Connection: close")+strings.Repeat(request("GET", "/now/2", ""), 2000))
		})
		time.Sleep(50 * time.Millisecond)
		So(len(c.mustRead().body), ShouldEqual, 100_000)
		c.Close()
		r.close()
	})
	Convey("A listener that is closed ends Serve without an error", t, func() {
		s := New(DefaultConfig(), &rig{})
		So(s.Shutdown(context.Background()), ShouldBeNil)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(s.Serve(l), ShouldBeNil)
	})
}

// Guards against a response to a connection that was accepted while the server stops, on which no
// request is waiting: its client takes that for a broken connection after a request may have run.
func TestConnectionAcceptedWhileStopping(t *testing.T) {
	Convey("A connection that is accepted while the server stops is reset", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		client, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer client.Close()
		accepted, err := l.Accept()
		So(err, ShouldBeNil)
		s := New(DefaultConfig(), &rig{})
		So(s.Shutdown(context.Background()), ShouldBeNil)
		s.start(accepted)
		_, err = client.Read(make([]byte, 1))
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}
