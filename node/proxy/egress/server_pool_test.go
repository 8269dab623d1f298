package egress

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// Guards against a second connection for a call that arrives while the pool already replaces
// an unresponsive one. It showed as a test that failed now and then (one connection too many):
// the server had accepted the replacement, but the pool did not hold it yet.
func TestReplacementIsNotOpenedTwice(t *testing.T) {
	Convey("A call that arrives while a replacement is being opened waits for it", t, func() {
		s := newRawServer(serveOK)
		pool := newServerPool(s.addr(), DefaultServerConfig(), time.Now)
		pool.setLimit(8)
		unresponsive, err := pool.get(context.Background(), false)
		So(err, ShouldBeNil)
		unresponsive.beginRequest(time.Now())

		dialling, release := make(chan struct{}), make(chan struct{})
		var dials atomic.Int64
		pool.dialer.Control = func(string, string, syscall.RawConn) error {
			if dials.Add(1) == 1 {
				close(dialling)
			}
			<-release
			return nil
		}
		pool.discardUnresponsive(unresponsive)
		<-dialling
		var call conc.WaitGroup
		var got atomic.Pointer[serverConn]
		call.Go(func() {
			if c, err := pool.get(context.Background(), false); err == nil {
				got.Store(c)
			}
		})
		// A pool that opens a second connection dials within this time.
		time.Sleep(20 * time.Millisecond)
		close(release)
		call.Wait()
		pool.dials.Wait()
		So(got.Load(), ShouldNotBeNil)
		So(dials.Load(), ShouldEqual, 1)
		pool.put(got.Load())
		pool.close()
		s.close()
	})
	Convey("A call does not wait beyond its own end", t, func() {
		pool := newServerPool(newRawServer(serveOK).addr(), DefaultServerConfig(), time.Now)
		pool.replacement = make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(pool.awaitIdle(ctx), ShouldBeNil)
	})
}
