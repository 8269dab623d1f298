package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

func TestEgressBrokenAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	big := strings.Repeat("x", 200<<10)
	noHead := map[string]string{
		"nothing":                 "",
		"half a head":             "HTTP/1.1 200 OK\r\nContent-Le",
		"no HTTP":                 "garbage\r\n\r\n",
		"a short small body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
		"an oversized head":       "HTTP/1.1 200 OK\r\nA: " + big + "\r\nContent-Length: 0\r\n\r\n",
		"a malformed length":      "HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nhello",
		"a longer body cut short": "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + big,
		"only an intermediate":    "HTTP/1.1 100 Continue\r\n\r\n",
	}
	Convey("Without a whole head or small body the verdict is may have run", t, func() {
		for name, text := range noHead {
			Convey(name, func() {
				r := newEgressRig(newRawServer(answerRaw(text)))
				a := r.do(r.call())
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
				So(a.GetStatus(), ShouldEqual, 0)
				So(a.GetDetail(), ShouldNotBeEmpty)
				r.close()
				So(r.server.requests.Load(), ShouldEqual, 1)
			})
		}
	})
	aborted := map[string]string{
		"a long body cut short":      "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + big,
		"chunks that end in a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"chunks without the last":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"chunks that are garbage":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"chunks above the limit":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n0\r\n\r\n",
	}
	Convey("An answer that breaks after its head is marked as broken, never short", t, func() {
		for name, text := range aborted {
			Convey(name, func() {
				r := newEgressRig(newRawServer(answerRaw(text)))
				a := r.do(r.call())
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
				So(a.aborted, ShouldBeTrue)
				r.close()
			})
		}
	})
	rejected := map[string]string{
		"no length":       "HTTP/1.1 200 OK\r\n\r\nhello",
		"above the limit": "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n",
	}
	Convey("An answer that can't be passed on whole becomes a 502 that ran", t, func() {
		for name, text := range rejected {
			Convey(name, func() {
				r := newEgressRig(newRawServer(answerRaw(text)))
				a := r.do(r.call())
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
				So(a.GetStatus(), ShouldEqual, 502)
				r.close()
			})
		}
	})
}

func TestEgressConnections(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A server that refuses connections gives not run", t, func() {
		s := newRawServer(serveOK)
		r := newEgressRig(s)
		s.listener.Close()
		a := r.do(r.call())
		So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
		So(a.GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_SERVER_DOWN)
		r.close()
	})
	Convey("A connection that the server closed while idle isn't used", t, func() {
		s := newRawServer(serveOK)
		r := newEgressRig(s)
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		s.closeConns()
		waitUntil(func() bool { return !r.egress.pool.idle[0].usable() })
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		r.close()
		So(s.conns.Load(), ShouldEqual, 2)
	})
	Convey("Data that no request asked for isn't taken for the next answer", t, func() {
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			serveOK(conn, b, req)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		})
		r := newEgressRig(s)
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		waitUntil(func() bool { return r.egress.pool.idle == nil || !r.egress.pool.idle[0].usable() })
		So(string(r.do(r.call()).body), ShouldEqual, "/seats/1 4")
		r.close()
	})
	Convey("A request is written once, also when its connection breaks without an answer", t, func() {
		var broken atomic.Bool
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			return !broken.Load() && serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		broken.Store(true)
		call := r.call()
		call.Idempotent, call.Method = true, "GET"
		So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
		r.close()
		So(s.requests.Load(), ShouldEqual, 2)
	})
	Convey("A hung server ends at the deadline as may have run; silent connections are replaced", t, func() {
		release := make(chan struct{})
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			if req.URL.Path == "/seats/hang" {
				<-release
				return false
			}
			return serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		// Both idle connections went silent together.
		r.egress.adoptServer()
		one, _ := r.egress.pool.get(context.Background(), true)
		two, _ := r.egress.pool.get(context.Background(), true)
		r.egress.pool.put(one)
		r.egress.pool.put(two)
		call := r.call()
		call.Uri, call.RemainingUs = "/seats/hang", 100_000
		a := r.do(call)
		So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
		So(a.GetDetail(), ShouldContainSubstring, "deadline")
		waitUntil(func() bool { return s.conns.Load() == 3 })
		waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		close(release)
		r.close()
		So(s.conns.Load(), ShouldEqual, 3)
	})
	Convey("A connection idle for too long is closed", t, func() {
		r := newEgressRig(newRawServer(serveOK))
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		r.egress.pool.sweep()
		So(r.egress.pool.open, ShouldEqual, 1)
		r.offset.Store(int64(time.Hour))
		r.egress.pool.sweep()
		So(r.egress.pool.open, ShouldEqual, 0)
		r.close()
	})
}

func TestEgressCancellation(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Given a server that works until its connection is closed", t, func() {
		started := make(chan struct{}, 8)
		ended := make(chan struct{}, 8)
		var whole atomic.Bool
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			if req.URL.Path != "/seats/hang" {
				return serveOK(conn, b, req)
			}
			started <- struct{}{}
			_, err := io.ReadAll(req.Body)
			whole.Store(err == nil)
			_, _ = b.ReadByte()
			ended <- struct{}{}
			return false
		})
		r := newEgressRig(s)
		hang := r.call()
		hang.Uri, hang.RemainingUs = "/seats/hang", uint64(time.Hour.Microseconds())
		Convey("the end of the caller's stream closes the connection and frees the slot", func() {
			st := r.open(hang)
			<-started
			So(r.egress.limiter.Load().InFlight, ShouldEqual, 1)
			So(ended, ShouldBeEmpty)
			st.Close()
			So(arrives(ended), ShouldBeTrue)
			So(whole.Load(), ShouldBeTrue)
			waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
			r.close()
		})
		Convey("a body that breaks off never ends at the server", func() {
			hang.More = true
			st := r.open(hang)
			<-started
			So(st.Send(&peerpb.Body{Aborted: true, Last: true, Total: 4}), ShouldBeNil)
			So(readAnswer(st, hang).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
			So(arrives(ended), ShouldBeTrue)
			So(whole.Load(), ShouldBeFalse)
			st.Close()
			r.close()
		})
		Convey("a waiting call that is cancelled never reaches the server", func() {
			first, second := r.open(hang), r.open(withURI(r.call(), "/seats/hang"))
			<-started
			<-started
			waiting := r.open(r.call())
			waitUntil(func() bool { return r.egress.limiter.Load().Queued == 1 })
			waiting.Close()
			waitUntil(func() bool { return r.egress.limiter.Load().Queued == 0 })
			first.Close()
			second.Close()
			r.close()
			So(s.requests.Load(), ShouldEqual, 2)
		})
	})
}

func arrives(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(testWait):
		return false
	}
}

func withURI(call *peerpb.Call, uri string) *peerpb.Call {
	call.Uri = uri
	return call
}

func TestEgressBoundsConcurrency(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Under a burst the server gets its slots' worth and every call an answer", t, func() {
		var working, peak atomic.Int64
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			n := working.Add(1)
			for p := peak.Load(); n > p && !peak.CompareAndSwap(p, n); p = peak.Load() {
			}
			time.Sleep(time.Millisecond)
			working.Add(-1)
			return serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		var ran, overload atomic.Int64
		var callers conc.WaitGroup
		for range 60 {
			call := r.call()
			callers.Go(func() {
				var reply peerpb.Reply
				err := r.peer.Exchange(context.Background(), &peerpb.Request{Kind: &peerpb.Request_Call{Call: call}}, &reply)
				switch {
				case err != nil:
				case reply.GetVerdict() == peerpb.Verdict_VERDICT_RAN:
					ran.Add(1)
				case reply.GetRefusal() == peerpb.Refusal_REFUSAL_OVERLOAD && reply.GetRetryAfterMs() > 0:
					overload.Add(1)
				}
			})
		}
		callers.Wait()
		So(ran.Load()+overload.Load(), ShouldEqual, 60)
		So(s.requests.Load(), ShouldEqual, ran.Load())
		So(peak.Load(), ShouldBeLessThanOrEqualTo, 2)
		r.close()
	})
}

func TestEgressDoesNotSendAfterAPause(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A call that waited in a stopped process isn't sent when it wakes", t, func() {
		release := make(chan struct{})
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			<-release
			return serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		first, second := r.call(), r.call()
		a, b := r.open(first), r.open(second)
		waitUntil(func() bool { return s.requests.Load() == 2 })
		late := r.call()
		late.RemainingUs = uint64(time.Hour.Microseconds())
		waiting := r.open(late)
		waitUntil(func() bool { return r.egress.limiter.Load().Queued == 1 })
		r.offset.Store(int64(time.Minute))
		close(release)
		reply := readAnswer(waiting, late)
		So(reply.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
		So(readAnswer(a, first).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		So(readAnswer(b, second).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		r.close()
		So(s.requests.Load(), ShouldEqual, 2)
	})
}

func TestCountedWrites(t *testing.T) {
	Convey("Only a write of which the kernel took nothing proves that a request was not sent", t, func() {
		c := newServerConn(failingConn{after: 0}, time.Now())
		c.begin(time.Now())
		_, _ = c.bw.Write(make([]byte, 10))
		So(c.bw.Flush(), ShouldNotBeNil)
		So(c.written, ShouldEqual, 0)
		c = newServerConn(failingConn{after: 3}, time.Now())
		c.begin(time.Now())
		_, _ = c.bw.Write(make([]byte, 10))
		So(c.bw.Flush(), ShouldNotBeNil)
		So(c.written, ShouldEqual, 3)
	})
}

// failingConn takes some bytes of a write and fails.
type failingConn struct {
	net.Conn
	after int
}

func (c failingConn) Write([]byte) (int, error) { return c.after, errors.New("broken") }
