package accept

import (
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limited holds, for each limited listener of this process, its limit, the open connections and the number
// of those that were closed for others, under the key "listeners" of /debug/vars.
var limited = expvar.NewMap("listeners")

const (
	// releaseTimeout bounds the wait until the server has released a connection that was closed for
	// another one.
	releaseTimeout = 100 * time.Millisecond
	// reportInterval is the time between two calls of onClose for the same address.
	reportInterval = 10 * time.Second
	// maxReported bounds the number of addresses whose last call is kept.
	maxReported = 256
)

// Limit returns a listener like l with at most most open connections, published under name. For a further
// one it closes the connection on which nothing was received for longest. It calls onClose with the
// remote address, without its port, once for each address and reportInterval.
func Limit(l net.Listener, name string, most int, onClose func(addr string)) net.Listener {
	b := &bounded{Listener: l, most: most, onClose: onClose, conns: make(map[*boundedConn]struct{}), released: make(chan struct{}, 1), reported: make(map[string]time.Time)}
	limit := new(expvar.Int)
	limit.Set(int64(most))
	limited.Set(name+"_connections_limit", limit)
	limited.Set(name+"_connections", &b.open)
	limited.Set(name+"_closed", &b.closed)
	return b
}

type bounded struct {
	net.Listener
	most         int
	onClose      func(addr string)
	open, closed expvar.Int
	// released receives a value after a connection was closed.
	released chan struct{}

	mu       sync.Mutex
	conns    map[*boundedConn]struct{}
	reported map[string]time.Time
}

// boundedConn is a connection of a limited listener.
type boundedConn struct {
	net.Conn
	owner *bounded
	began time.Time
	// received is when bytes were received last, as the time since began.
	received atomic.Int64
	// cut is set when the connection was closed for another one.
	cut atomic.Bool
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.makeRoom()
	c := &boundedConn{Conn: nc, owner: b, began: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = struct{}{}
	b.open.Set(int64(len(b.conns)))
	return c, nil
}

// makeRoom closes a connection if the limit is reached, and waits for a short time until its server has
// released it.
func (b *bounded) makeRoom() {
	end := time.Now().Add(releaseTimeout)
	for !b.hasRoom() && time.Now().Before(end) {
		b.cutOldest()
		select {
		case <-b.released:
		case <-time.After(time.Until(end)):
		}
	}
}

func (b *bounded) hasRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns) < b.most
}

// cutOldest closes the connection on which nothing was received for longest.
func (b *bounded) cutOldest() {
	b.mu.Lock()
	now := time.Now()
	var oldest *boundedConn
	var longest time.Duration
	for c := range b.conns {
		if silent := now.Sub(c.began) - time.Duration(c.received.Load()); silent >= longest && !c.cut.Load() {
			oldest, longest = c, silent
		}
	}
	if oldest == nil {
		b.mu.Unlock()
		return
	}
	oldest.cut.Store(true)
	b.closed.Add(1)
	addr, due := b.reportDueLocked(oldest, now)
	b.mu.Unlock()
	_ = oldest.Conn.Close()
	if due && b.onClose != nil {
		b.onClose(addr)
	}
}

// reportDueLocked returns the address of c and whether onClose is to be called for it.
func (b *bounded) reportDueLocked(c *boundedConn, now time.Time) (addr string, due bool) {
	addr, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil || now.Sub(b.reported[addr]) < reportInterval {
		return addr, false
	}
	if len(b.reported) >= maxReported {
		clear(b.reported)
	}
	b.reported[addr] = now
	return addr, true
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(int64(time.Since(c.began)))
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	b := c.owner
	b.mu.Lock()
	delete(b.conns, c)
	b.open.Set(int64(len(b.conns)))
	b.mu.Unlock()
	select {
	case b.released <- struct{}{}:
	default:
	}
	return err
}
