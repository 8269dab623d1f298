package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
)

// pipe writes requests on one connection and returns a function that reads the next response.
func (f *fleet) pipe(requests ...string) (conn net.Conn, next func() (status int, body string)) {
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	var text strings.Builder
	for _, r := range requests {
		method, path, _ := strings.Cut(r, " ")
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: programma.example\r\nContent-Length: 0\r\n\r\n", method, path)
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		f.t.Fatal(err)
	}
	br := bufio.NewReader(conn)
	return conn, func() (int, string) {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			f.t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			f.t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
}

// Guards against requests that reach a server only after the one before them on their
// connection has been answered: on a calm day of the users' bench a request waited 1.6 s.
func TestPipelinedCallers(t *testing.T) {
	Convey("Idempotent requests of one connection reach servers at the same time; responses keep the order", t, func() {
		release := make(chan struct{})
		f := newFleet(t, func(_ *link, call *peerpb.Call, st *session.Stream) {
			if call.GetUri() == "/slow" {
				<-release
			}
			_ = st.Send(&peerpb.Reply{Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Body: []byte(call.GetUri())})
		})
		defer f.close()
		releaseAll := sync.OnceFunc(func() { close(release) })
		defer releaseAll()
		conn, next := f.pipe("GET /slow", "GET /second", "GET /third")
		defer conn.Close()
		waitFor(t, "three calls", func() bool { return f.totalCalls() == 3 })
		releaseAll()
		for _, want := range []string{"/slow", "/second", "/third"} {
			status, body := next()
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, want)
		}
	})
	Convey("A request that is not idempotent reaches a server after the earlier ones have been answered", t, func() {
		release := make(chan struct{})
		f := newFleet(t, func(l *link, call *peerpb.Call, st *session.Stream) {
			if call.GetUri() == "/slow" {
				<-release
			}
			replyOK(l, call, st)
		})
		defer f.close()
		releaseAll := sync.OnceFunc(func() { close(release) })
		defer releaseAll()
		conn, next := f.pipe("GET /slow", "POST /book", "GET /third")
		defer conn.Close()
		waitFor(t, "two requests behind the first", func() bool { return f.http.Waiting() == 2 && f.totalCalls() > 0 })
		So(f.totalCalls(), ShouldEqual, 1)
		releaseAll()
		for range 3 {
			status, _ := next()
			So(status, ShouldEqual, 200)
		}
		So(f.totalCalls(), ShouldEqual, 3)
	})
	Convey("A booking that waits beyond its deadline is refused as not run and reaches no server", t, func() {
		release := make(chan struct{})
		f := newFleet(t, func(l *link, call *peerpb.Call, st *session.Stream) {
			<-release
			replyOK(l, call, st)
		})
		defer f.close()
		releaseAll := sync.OnceFunc(func() { close(release) })
		defer releaseAll()
		conn, next := f.pipe("GET /slow", "POST /hasty")
		defer conn.Close()
		waitFor(t, "refusal of the booking", func() bool { return f.ingress.Active() == 1 && f.http.Waiting() == 1 })
		time.Sleep(150 * time.Millisecond)
		releaseAll()
		status, _ := next()
		So(status, ShouldEqual, 200)
		status, body := next()
		So(status, ShouldEqual, 503)
		So(body, ShouldContainSubstring, "not-run")
		So(f.totalCalls(), ShouldEqual, 1)
	})
	Convey("When the caller leaves, every running request of its connection is cancelled", t, func() {
		ended := make(chan struct{}, 3)
		f := newFleet(t, func(l *link, call *peerpb.Call, st *session.Stream) {
			hang(l, call, st)
			ended <- struct{}{}
		})
		defer f.close()
		conn, _ := f.pipe("GET /1", "GET /2", "GET /3")
		waitFor(t, "three calls", func() bool { return f.totalCalls() == 3 })
		conn.Close()
		for range 3 {
			select {
			case <-ended:
			case <-time.After(15 * time.Second):
				t.Fatal("an attempt was not cancelled within 15 s after the caller closed its connection")
			}
		}
	})
	Convey("A caller that leaves while a response is streamed ends the stream", t, func() {
		ended := make(chan struct{})
		f := newFleet(t, func(l *link, call *peerpb.Call, st *session.Stream) {
			sendParts(call, st, nil, "begin")
			hang(l, call, st)
			for st.Recv(&peerpb.Progress{}) == nil {
			}
			close(ended)
		})
		defer f.close()
		conn, _ := f.pipe("GET /1")
		waitFor(t, "the call", func() bool { return f.totalCalls() == 1 })
		conn.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the stream was not ended within 10 s after the caller closed its connection")
		}
	})
}
