package session

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"auburnladder.example/wire/frame"
	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// slowConn writes at a given number of bytes a second.
type slowConn struct {
	net.Conn
	rate int
}

func (c *slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.rate))
	return c.Conn.Write(p)
}

const (
	// linkRate is in bytes a second.
	linkRate    = 600_000
	idleTimeout = 2 * time.Second
)

// exchangeOverSlowLink lets a peer answer a request with a body of some size over a link of linkRate.
func exchangeOverSlowLink(size, limit int, timeout time.Duration) (sendErr, recvErr error) {
	near, far := net.Pipe()
	client, err := Client(near, DefaultConfig())
	So(err, ShouldBeNil)
	server, err := Server(&slowConn{Conn: far, rate: linkRate}, DefaultConfig())
	So(err, ShouldBeNil)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		st, err := server.Accept()
		if err != nil {
			return
		}
		defer st.Close()
		if sendErr = st.Recv(&peerpb.Request{}); sendErr == nil {
			sendErr = st.SendLarge(&peerpb.Body{Data: make([]byte, size)}, limit, idleTimeout)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var got peerpb.Body
	recvErr = client.ExchangeLarge(ctx, &peerpb.Request{}, &got, limit, idleTimeout)
	if recvErr == nil {
		So(got.GetData(), ShouldHaveLength, size)
	}
	client.Close()
	server.Close()
	tasks.Wait()
	return sendErr, recvErr
}

// Guards against a copy that never arrives because its size takes longer than the timeouts of small
// messages.
func TestLargeMessageOnASlowLink(t *testing.T) {
	const size = linkRate * int(idleTimeout/time.Second) * 2
	Convey("A message arrives whose transfer takes twice as long as the other end may take for a part", t, func() {
		sendErr, recvErr := exchangeOverSlowLink(size, size+16, time.Minute)
		So(sendErr, ShouldBeNil)
		So(recvErr, ShouldBeNil)
	})
	Convey("One above the limit, or after the end of the context, does not arrive", t, func() {
		sendErr, recvErr := exchangeOverSlowLink(size, size-1, time.Minute)
		So(errors.Is(sendErr, frame.ErrTooLarge), ShouldBeTrue)
		So(recvErr, ShouldNotBeNil)
		_, recvErr = exchangeOverSlowLink(size, size+16, idleTimeout/10)
		So(recvErr, ShouldNotBeNil)
	})
}

// Guards against a node that waits for ever for a peer that takes or sends nothing.
func TestLargeMessageWithoutProgress(t *testing.T) {
	Convey("Given a peer that neither sends an answer nor reads", t, func() {
		near, far := net.Pipe()
		client, err := Client(near, DefaultConfig())
		So(err, ShouldBeNil)
		server, err := Server(far, DefaultConfig())
		So(err, ShouldBeNil)
		defer server.Close()
		defer client.Close()
		const idle = 20 * time.Millisecond
		Convey("The node that asks it gives up", func() {
			err := client.ExchangeLarge(context.Background(), &peerpb.Request{}, &peerpb.Body{}, frame.MaxBytes, idle)
			So(errors.Is(err, ErrTimeout), ShouldBeTrue)
		})
		Convey("The node that sends to it gives up once the window is full", func() {
			st, err := client.OpenStream()
			So(err, ShouldBeNil)
			defer st.Close()
			err = st.SendLarge(&peerpb.Body{Data: make([]byte, 1<<20)}, frame.MaxBytes, idle)
			So(errors.Is(err, ErrTimeout), ShouldBeTrue)
		})
	})
}
