package session

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxQueuedBytes is the number of bytes that wait for the other end of a connection before those
	// who send wait as well. More keeps a session going for longer while its peer reads nothing.
	maxQueuedBytes = 256 << 10
	// maxOverflowBytes is the largest size of the queue. It has room for a part of each stream beyond
	// maxQueuedBytes, and for the control messages, which never wait.
	maxOverflowBytes = 16 << 20
	// maxKeptBytes is the largest buffer that is kept for the next writes.
	maxKeptBytes = 64 << 10
	// closeTimeout bounds the wait for queued bytes to be written before the connection is closed.
	closeTimeout = 200 * time.Millisecond
)

// errOverflow ends a connection whose queue has grown beyond maxOverflowBytes.
var errOverflow = errors.New("peer reads too little of what it makes this node send")

// Budget bounds the bytes that wait in the queues of all sessions that share it. Its methods must be
// safe for concurrent use.
type Budget interface {
	// Reserve takes n bytes, or none and returns false if fewer are left.
	Reserve(n int64) bool
	// Release gives back n bytes that were reserved.
	Release(n int64)
}

// unlimited is the Budget of sessions that have none.
type unlimited struct{}

func (unlimited) Reserve(int64) bool { return true }

func (unlimited) Release(int64) {}

// queuedConn is a connection whose Write does not wait until the other end has read earlier bytes. All
// streams of a session share its writes: if one of them waited for the peer, the others would wait
// beyond their deadlines, and yamux can't interrupt them. Senders of data wait before they write, in
// acquire, each until its own deadline. Write is called only by the session's sending goroutine.
type queuedConn struct {
	net.Conn
	// raw is the descriptor for writes that don't wait; nil if the connection has none.
	raw    syscall.RawConn
	budget Budget

	mu sync.Mutex
	// changed is signalled when the queue shrinks or ends.
	changed *sync.Cond
	// queue holds the bytes that flush has not taken yet, and spare a buffer for the next ones.
	queue, spare []byte
	// reserved is the part of the queue that was taken from the budget.
	reserved int64
	// granted is the number of bytes for which acquire has found room and which are not released.
	granted int
	// waiters are those who wait for room, the first one first.
	waiters []*waiter
	// flushing is set while a goroutine runs flush.
	flushing bool
	// err is the error of a write; all further ones return it.
	err error
}

// waiter waits for room for a number of bytes. ready receives the result.
type waiter struct {
	bytes int
	ready chan grant
}

// grant is the room for a number of bytes, of which the reserved ones were taken from the budget.
type grant struct {
	bytes    int
	reserved int64
	err      error
}

func newQueuedConn(conn net.Conn, budget Budget) *queuedConn {
	if budget == nil {
		budget = unlimited{}
	}
	c := &queuedConn{Conn: conn, budget: budget}
	c.changed = sync.NewCond(&c.mu)
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without a descriptor all bytes are queued.
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// Write writes p, or queues what the connection does not take at once. It never waits.
func (c *queuedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := p
	if c.err == nil && !c.flushing {
		rest = p[c.writeNow(p):]
	}
	if c.err == nil && len(c.queue)+len(rest) > maxOverflowBytes {
		c.fail(errOverflow)
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case len(rest) == 0:
		return len(p), nil
	}
	c.queue = append(c.queue, rest...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return len(p), nil
}

// acquire waits for room for n bytes of data, or until the deadline, when it returns ErrTimeout. The
// caller writes the data and then releases the grant.
func (c *queuedConn) acquire(n int, deadline *sendDeadline) (grant, error) {
	c.mu.Lock()
	if c.err != nil {
		defer c.mu.Unlock()
		return grant{}, c.err
	}
	if len(c.waiters) == 0 {
		if g, ok := c.admit(n); ok {
			c.mu.Unlock()
			return g, nil
		}
	}
	w := &waiter{bytes: n, ready: make(chan grant, 1)}
	c.waiters = append(c.waiters, w)
	c.mu.Unlock()
	expired := deadline.begin()
	defer deadline.end()
	select {
	case g := <-w.ready:
		return g, g.err
	case <-expired:
		c.leave(w)
		return grant{}, ErrTimeout
	}
}

// leave ends the wait of w, and gives back what it was granted meanwhile.
func (c *queuedConn) leave(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.waiters, w); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
		return
	}
	c.giveBack(<-w.ready)
	c.admitWaiters()
}

// admit grants room for n more bytes if there is any. Into an empty queue one write always goes, so
// that a session goes on whatever the others hold. The caller holds mu.
func (c *queuedConn) admit(n int) (grant, bool) {
	g := grant{bytes: n}
	waiting := len(c.queue) + c.granted
	switch {
	case !c.flushing || waiting == 0:
	case waiting >= maxQueuedBytes || !c.budget.Reserve(int64(n)):
		return grant{}, false
	default:
		g.reserved = int64(n)
	}
	c.granted += n
	return g, true
}

// release ends a grant whose data were written, or will not be.
func (c *queuedConn) release(g grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flushing {
		// The data are in the queue, or were: flush gives back what was reserved.
		c.granted -= g.bytes
		c.reserved += g.reserved
	} else {
		c.giveBack(g)
	}
	c.admitWaiters()
}

// giveBack ends a grant of which nothing is in the queue. The caller holds mu.
func (c *queuedConn) giveBack(g grant) {
	c.granted -= g.bytes
	c.budget.Release(g.reserved)
}

// admitWaiters grants room to those who wait, as far as there is any. The caller holds mu.
func (c *queuedConn) admitWaiters() {
	for len(c.waiters) > 0 && c.err == nil {
		first := c.waiters[0]
		g, ok := c.admit(first.bytes)
		if !ok {
			return
		}
		c.waiters = slices.Delete(c.waiters, 0, 1)
		first.ready <- g
	}
}

// fail ends all further writes with err. The caller holds mu.
func (c *queuedConn) fail(err error) {
	if c.err == nil {
		c.err = err
	}
	for _, w := range c.waiters {
		w.ready <- grant{err: c.err}
	}
	c.waiters = nil
	c.changed.Broadcast()
}

// full reports whether senders wait for room in the queue.
func (c *queuedConn) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters) > 0
}

// writeNow writes as much of p as the connection takes at once, and returns the number of bytes. The
// caller holds mu, and no flush is running. An error is found again by the flush that follows.
func (c *queuedConn) writeNow(p []byte) (written int) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Write(func(fd uintptr) bool {
		if n, err := syscall.Write(int(fd), p); err == nil {
			written = n
		}
		return true
	})
	return written
}

// flush writes the queue until it is empty or a write fails.
func (c *queuedConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	for c.err == nil && len(c.queue) > 0 {
		batch, reserved := c.queue, c.reserved
		c.queue, c.reserved = c.spare[:0], 0
		c.spare = nil
		c.admitWaiters()
		c.mu.Unlock()
		_, err := c.Conn.Write(batch)
		c.budget.Release(reserved)
		c.mu.Lock()
		if err != nil {
			c.fail(err)
		}
		if cap(batch) <= maxKeptBytes {
			c.spare = batch
		}
	}
	c.budget.Release(c.reserved)
	c.queue, c.reserved, c.flushing = c.queue[:0], 0, false
	c.admitWaiters()
}

// Close writes the queue for a short time and closes the connection.
func (c *queuedConn) Close() error {
	c.mu.Lock()
	if c.flushing {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	}
	for c.flushing {
		c.changed.Wait()
	}
	c.fail(net.ErrClosed)
	c.mu.Unlock()
	return c.Conn.Close()
}
