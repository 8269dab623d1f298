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

// ServerConfig bounds the connections to the backend server.
type ServerConfig struct {
	// DialTimeout bounds the set-up of a connection. Longer delays the refusal when
	// the server is down.
	DialTimeout time.Duration
	// IdleLimit is how long an unused connection is kept. Longer saves set-ups and
	// finds more connections that were lost meanwhile.
	IdleLimit time.Duration
	// SilenceTimeout is how long data or a probe may stay unacknowledged before the
	// kernel closes the connection. Shorter finds a silent connection sooner and gives
	// up more of them on a link that loses packets.
	SilenceTimeout time.Duration
}

// DefaultServerConfig returns limits for a server on the same VM.
func DefaultServerConfig() ServerConfig {
	return ServerConfig{DialTimeout: time.Second, IdleLimit: 15 * time.Second, SilenceTimeout: 4 * time.Second}
}

var (
	errPoolClosed     = errors.New("connections to the backend server are closed")
	errTooManyConns   = errors.New("all connections to the backend server are in use")
	errDialServer     = errors.New("connect to backend server")
	keepAliveProbes   = 2
	keepAliveInterval = time.Second
)

// serverPool holds the connections to one backend server. Its methods are safe for
// concurrent use.
type serverPool struct {
	addr   string
	cfg    ServerConfig
	now    func() time.Time
	dialer net.Dialer
	dials  conc.WaitGroup
	// onRestart is called when the server accepts connections again; nil if nobody is
	// to know.
	onRestart func()

	mu     sync.Mutex
	idle   []*serverConn
	open   int
	limit  int
	closed bool
	// down is set while the server refuses connections.
	down bool
}

func newServerPool(addr netip.AddrPort, cfg ServerConfig, now func() time.Time) *serverPool {
	return &serverPool{
		addr:  addr.String(),
		cfg:   cfg,
		now:   now,
		limit: 1,
		dialer: net.Dialer{
			Timeout: cfg.DialTimeout,
			Control: boundSilence(cfg),
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     cfg.SilenceTimeout / 2,
				Interval: keepAliveInterval,
				Count:    keepAliveProbes,
			},
		},
	}
}

// setLimit bounds the open connections.
func (p *serverPool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// get returns a connection that was just found usable, or a new one. fresh asks for a
// new one.
func (p *serverPool) get(ctx context.Context, fresh bool) (*serverConn, error) {
	for !fresh {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx)
}

func (p *serverPool) takeIdle() *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *serverPool) dial(ctx context.Context) (*serverConn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if restarted := p.noteDial(err); restarted && p.onRestart != nil {
		p.onRestart()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDialServer, err)
	}
	return newServerConn(conn, p.now()), nil
}

// noteDial reports whether the server accepted a connection after it had refused one.
func (p *serverPool) noteDial(err error) (restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	restarted = p.down && err == nil
	p.down = err != nil
	if err != nil {
		p.open--
	}
	return restarted
}

// reserve counts a connection that is about to be opened.
func (p *serverPool) reserve() error {
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

// put returns a connection whose answer was read to its end.
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

// discard closes a connection.
func (p *serverPool) discard(c *serverConn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discardSilent closes a connection that did not answer, and the idle ones that have
// carried nothing since, and opens a replacement.
func (p *serverPool) discardSilent(c *serverConn) {
	p.discard(c)
	p.closeIdle(c.started)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) > 0 {
		return
	}
	p.dials.Go(func() {
		if c, err := p.dial(context.Background()); err == nil {
			p.put(c)
		}
	})
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

// sweep closes connections that were idle for too long. It is called now and then.
func (p *serverPool) sweep() {
	p.closeIdle(p.now().Add(-p.cfg.IdleLimit))
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
