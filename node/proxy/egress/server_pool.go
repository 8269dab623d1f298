package egress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// ServerConfig configures the connections to the backend server.
type ServerConfig struct {
	// DialTimeout limits the time to open a connection. Longer delays the refusal of
	// calls when the server is down.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. Longer saves connection
	// set-ups, but more idle connections turn out to be dead.
	IdleTimeout time.Duration
	// UserTimeout is how long data or a keep-alive probe may stay unacknowledged before
	// the kernel closes the connection (TCP_USER_TIMEOUT). Shorter detects an
	// unresponsive connection sooner and closes more live ones on a link that loses
	// packets.
	UserTimeout time.Duration
}

// DefaultServerConfig returns the configuration for a server on the same VM.
func DefaultServerConfig() ServerConfig {
	return ServerConfig{DialTimeout: time.Second, IdleTimeout: 15 * time.Second, UserTimeout: 4 * time.Second}
}

// recentUse is the time since its last use within which a server does not end an idle connection because
// it is idle. The list names a new run of the server sooner than that.
const recentUse = 5 * time.Second

var (
	errPoolClosed     = errors.New("connection pool of the backend server is closed")
	errTooManyConns   = errors.New("all connections to the backend server are in use")
	errDialServer     = errors.New("connect to backend server")
	keepAliveProbes   = 2
	keepAliveInterval = time.Second
)

// serverPool is the connection pool of the backend server. Its methods are safe for
// concurrent use.
type serverPool struct {
	addr   string
	cfg    ServerConfig
	now    func() time.Time
	dialer net.Dialer
	dials  conc.WaitGroup
	// onRestart is called when a connection attempt succeeds after a failed one. May be
	// nil.
	onRestart func()
	// onEnd is called when the server's address refuses a connection for the first time
	// since the given process accepted one. May be nil.
	onEnd func(processID)
	// onIdleEnd is called when an idle connection that was in use within recentUse turns out to have been
	// ended by the server. May be nil.
	onIdleEnd func()

	// endMu guards process and gone, and is held while onEnd runs.
	endMu sync.Mutex
	// process is the latest process of the server, and gone is set once the server's address
	// refused a connection to it.
	process processID
	gone    bool

	mu     sync.Mutex
	idle   []*serverConn
	open   int
	limit  int
	closed bool
	// down is set while connection attempts fail.
	down bool
	// replacement is closed when the background dial in progress has ended; nil if there is
	// none. A call that finds no idle connection waits for it instead of opening another one.
	replacement chan struct{}
}

func newServerPool(addr netip.AddrPort, cfg ServerConfig, now func() time.Time) *serverPool {
	return &serverPool{
		addr:    addr.String(),
		cfg:     cfg,
		now:     now,
		limit:   1,
		process: 1,
		dialer: net.Dialer{
			Timeout: cfg.DialTimeout,
			Control: setUserTimeout(cfg),
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     cfg.UserTimeout / 2,
				Interval: keepAliveInterval,
				Count:    keepAliveProbes,
			},
		},
	}
}

// setLimit sets the maximum number of open connections.
func (p *serverPool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// get returns an idle connection that is still usable, or opens a new one. With forceDial
// it always opens a new one.
func (p *serverPool) get(ctx context.Context, forceDial bool) (*serverConn, error) {
	for !forceDial {
		c := p.awaitIdle(ctx)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		if c.ended && p.now().Sub(c.lastUsed) < recentUse && p.onIdleEnd != nil {
			p.onIdleEnd()
		}
		p.discard(c)
	}
	return p.dial(ctx)
}

// awaitIdle returns an idle connection, or nil if there is none. If there is none but a
// replacement is being opened, it waits for that one.
func (p *serverPool) awaitIdle(ctx context.Context) *serverConn {
	c, replacement := p.popIdle()
	if c != nil || replacement == nil {
		return c
	}
	select {
	case <-replacement:
		c, _ = p.popIdle()
		return c
	case <-ctx.Done():
		return nil
	}
}

// popIdle takes an idle connection, or returns nil and the replacement that is being opened,
// if any.
func (p *serverPool) popIdle() (*serverConn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil, p.replacement
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c, nil
}

func (p *serverPool) dial(ctx context.Context) (*serverConn, error) {
	if err := p.reserveConn(); err != nil {
		return nil, err
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	process := p.recordProcess(err)
	if restarted := p.recordDial(err); restarted && p.onRestart != nil {
		p.onRestart()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDialServer, err)
	}
	c := newServerConn(conn, p.now())
	c.process = process
	return c, nil
}

// recordDial records the result of a connection attempt and reports whether it succeeded
// after a failed one.
func (p *serverPool) recordDial(err error) (restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	restarted = p.down && err == nil
	p.down = err != nil
	if err != nil {
		p.open--
	}
	return restarted
}

// reserveConn counts a connection before it is opened, or fails if the limit is reached
// or the pool is closed.
func (p *serverPool) reserveConn() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return errPoolClosed
	case p.open >= p.limit:
		return errTooManyConns
	}
	p.open++
	return nil
}

// put returns a connection to the pool after its response was read completely.
func (p *serverPool) put(c *serverConn) {
	c.lastUsed = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		p.open--
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that is not in the idle list.
func (p *serverPool) discard(c *serverConn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discardUnresponsive closes a connection on which the server did not respond, and all
// idle connections last used before that request began. If no idle connection is left, it
// opens a replacement in the background.
func (p *serverPool) discardUnresponsive(c *serverConn) {
	p.discard(c)
	p.closeIdle(c.started)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) > 0 || p.replacement != nil {
		return
	}
	p.replacement = make(chan struct{})
	p.dials.Go(p.openReplacement)
}

// openReplacement opens a connection and puts it into the pool.
func (p *serverPool) openReplacement() {
	if c, err := p.dial(context.Background()); err == nil {
		p.put(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.replacement)
	p.replacement = nil
}

// closeIdle closes idle connections last used before the given time.
func (p *serverPool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastUsed.Before(before) {
			_ = c.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// closeExpired closes connections that have been idle for longer than IdleTimeout. It is
// called periodically.
func (p *serverPool) closeExpired() {
	p.closeIdle(p.now().Add(-p.cfg.IdleTimeout))
}

// close closes idle connections and refuses new ones; put closes those in use.
func (p *serverPool) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
		p.open--
	}
	p.idle = nil
	p.mu.Unlock()
	p.dials.Wait()
}
