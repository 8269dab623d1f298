package session

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// sendOn waits for room on c and writes p, as a stream does.
func sendOn(c *queuedConn, p []byte) error {
	room, err := c.acquire(len(p), &sendDeadline{most: time.Minute})
	if err != nil {
		return err
	}
	defer c.release(room)
	_, err = c.Write(p)
	return err
}

// staysFull waits until c has been full for a while: at first, its socket still takes some bytes from
// time to time.
func staysFull(c *queuedConn) bool {
	const looks = 100
	seen := 0
	for end := time.Now().Add(10 * time.Second); seen < looks && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if seen++; !c.full() {
			seen = 0
		}
	}
	return seen == looks
}

// Guards against bytes that are lost, doubled or reordered between a direct write and the queue.
func TestQueuedBytesKeepTheirOrder(t *testing.T) {
	Convey("All bytes arrive in order whether the other end reads or not, also those queued at Close", t, func() {
		near, far := loopback()
		c := newQueuedConn(near, nil)
		var sent, received []byte
		var reader conc.WaitGroup
		gate := make(chan struct{})
		reader.Go(func() {
			<-gate
			received, _ = io.ReadAll(far)
		})
		open := sync.OnceFunc(func() { close(gate) })
		for i := range 4000 {
			p := bytes.Repeat([]byte{byte(i), byte(i >> 8)}, 1+i%700)
			if len(sent) > 200<<10 {
				open()
			}
			_, err := c.Write(p)
			if err != nil {
				t.Fatal(err)
			}
			sent = append(sent, p...)
		}
		So(c.Close(), ShouldBeNil)
		reader.Wait()
		So(bytes.Equal(received, sent), ShouldBeTrue)
		_, err := c.Write([]byte("x"))
		So(err, ShouldNotBeNil)
		far.Close()
	})
	Convey("Close doesn't wait for an end that reads nothing", t, func() {
		near, far := loopback()
		defer far.Close()
		c := newQueuedConn(near, nil)
		var writer conc.WaitGroup
		writer.Go(func() {
			for {
				if sendOn(c, make([]byte, 64<<10)) != nil {
					return
				}
			}
		})
		filled := staysFull(c)
		closed := make(chan struct{})
		go func() {
			_ = c.Close()
			close(closed)
		}()
		inTime := false
		select {
		case <-closed:
			inTime = true
		case <-time.After(50 * closeTimeout):
			_ = near.Close()
		}
		writer.Wait()
		So(filled, ShouldBeTrue)
		So(inTime, ShouldBeTrue)
	})
}

// countedBudget is a Budget of limit bytes.
type countedBudget struct{ limit, used atomic.Int64 }

func (b *countedBudget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit.Load() {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *countedBudget) Release(n int64) { b.used.Add(-n) }

// Guards against memory in proportion to the number of peers that read nothing.
func TestQueuesOfAllSessionsShareABudget(t *testing.T) {
	Convey("Given two connections whose other ends read nothing, and a budget for less than a queue", t, func() {
		const limit, part = 64 << 10, 8 << 10
		budget := &countedBudget{}
		budget.limit.Store(limit)
		var writers conc.WaitGroup
		var queues []*queuedConn
		for range 2 {
			near, far := net.Pipe()
			defer far.Close()
			c := newQueuedConn(near, budget)
			queues = append(queues, c)
			writers.Go(func() {
				for {
					if sendOn(c, make([]byte, part)) != nil {
						return
					}
				}
			})
		}
		full := func() bool { return queues[0].full() && queues[1].full() }
		for end := time.Now().Add(10 * time.Second); !full() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		filled, used := full(), budget.used.Load()
		for _, c := range queues {
			_ = c.Close()
		}
		writers.Wait()
		So(filled, ShouldBeTrue)
		So(used, ShouldBeLessThanOrEqualTo, limit)
		So(budget.used.Load(), ShouldEqual, 0)
	})
}
