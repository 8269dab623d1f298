package session

import (
	"context"
	"net"
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// Guards against requests that are answered long after their deadline, or cut by a stop, because
// their session takes no bytes.
func TestExchangeEndsInTimeOnABlockedConnection(t *testing.T) {
	Convey("An exchange on a connection that takes no bytes ends soon after its context", t, func() {
		near, far := net.Pipe()
		defer far.Close()
		ses, err := Client(near, DefaultConfig())
		So(err, ShouldBeNil)
		defer ses.Close()
		const allowed = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), allowed)
		defer cancel()
		began := time.Now()
		So(ses.Exchange(ctx, &peerpb.Request{}, &peerpb.Body{}), ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, 5*allowed)
	})
}

// blockedSession returns a session whose connection takes no bytes and whose queue is full, and a function
// that ends it.
func blockedSession() (ses *Session, end func()) {
	near, far := net.Pipe()
	cfg := DefaultConfig()
	cfg.WriteTimeout = time.Minute
	ses, err := Client(near, cfg)
	So(err, ShouldBeNil)
	var sender conc.WaitGroup
	sender.Go(func() {
		for {
			st, err := ses.OpenStream()
			if err != nil || st.Send(&peerpb.Body{Data: make([]byte, 32<<10)}) != nil {
				return
			}
		}
	})
	for until := time.Now().Add(10 * time.Second); !ses.Congested() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return ses, func() {
		ses.Close()
		far.Close()
		sender.Wait()
	}
}

// Guards against requests that wait out a time of the session, of 6 s, to send their bodies to a node that reads nothing.
func TestWaitForABlockedConnectionEndsWithItsStream(t *testing.T) {
	const allowed = 100 * time.Millisecond
	Convey("On a session whose connection takes no bytes and whose queue is full", t, func() {
		ses, end := blockedSession()
		defer end()
		So(ses.Congested(), ShouldBeTrue)
		watch := lifetimetest.Start()
		st, err := ses.OpenStream()
		So(err, ShouldBeNil)
		message := &peerpb.Body{Data: make([]byte, 100<<10)}
		Convey("a message waits until the deadline of its stream, and closing the stream does not wait", func() {
			st.SetDeadline(time.Now().Add(allowed))
			So(st.Send(message), ShouldEqual, ErrTimeout)
			st.Close()
			So(watch.Late(allowed), ShouldEqual, 0)
		})
		Convey("a deadline that is set while the message waits takes effect", func() {
			time.AfterFunc(allowed, func() { st.SetDeadline(pastDeadline) })
			So(st.Send(message), ShouldEqual, ErrTimeout)
			So(watch.Late(allowed), ShouldEqual, 0)
		})
		Convey("the end of the session ends the wait", func() {
			time.AfterFunc(allowed, end)
			So(st.Send(message), ShouldNotBeNil)
			So(watch.Late(allowed+closeTimeout), ShouldEqual, 0)
		})
	})
}

// Guards against a stream that is shut out by others of its session once the connection takes bytes again.
func TestStreamsTakeTurnsAfterABlock(t *testing.T) {
	Convey("All messages that waited for the queue arrive whole once the other end reads", t, func() {
		near, far := net.Pipe()
		client, err := Client(near, DefaultConfig())
		So(err, ShouldBeNil)
		gate := &gatedConn{Conn: far, open: make(chan struct{})}
		server, err := Server(gate, DefaultConfig())
		So(err, ShouldBeNil)
		var tasks conc.WaitGroup
		tasks.Go(func() { echoStreams(server) })
		const senders, size = 20, 60 << 10
		errs := make(chan error, senders)
		for range senders {
			tasks.Go(func() {
				st, err := client.OpenStream()
				if err == nil {
					defer st.Close()
					err = st.Send(&peerpb.Body{Data: make([]byte, size)})
				}
				var reply peerpb.Body
				if err == nil {
					err = st.Recv(&reply)
				}
				if err == nil && len(reply.GetData()) != size {
					err = ErrTimeout
				}
				errs <- err
			})
		}
		for until := time.Now().Add(10 * time.Second); !client.Congested() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		congested := client.Congested()
		close(gate.open)
		for range senders {
			So(<-errs, ShouldBeNil)
		}
		So(congested, ShouldBeTrue)
		client.Close()
		server.Close()
		tasks.Wait()
	})
}

// gatedConn reads nothing until open is closed.
type gatedConn struct {
	net.Conn
	open chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.open
	return c.Conn.Read(p)
}
