// Package callerhttp serves the HTTP/1.1 connections of callers. Requests that a caller sends
// before its earlier ones have been answered (pipelining) run concurrently where that is safe;
// responses are written whole and in the order of the requests.
//
// Each connection has one goroutine that reads, and one for each request in progress. Because
// the reading goroutine goes on while requests run, it learns at once that the caller left.
package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/node/accept"
	"auburnladder.example/node/budget"
	"github.com/sourcegraph/conc"
)

// Config holds the limits of a Server.
type Config struct {
	// MaxConnections is the largest number of open connections. For a further one the connection
	// that has been idle for longest is closed; if there is none, it gets status 503 and is closed. Each
	// costs the read buffer, the write buffer and a goroutine.
	MaxConnections int
	// MaxHeaderBytes is the size of the read buffer in bytes, which limits the head of a
	// request.
	MaxHeaderBytes int
	// MaxPipelined is the largest number of requests of one connection that have no complete
	// response yet. More lets a caller have more in progress, but holds more memory for
	// responses that wait for their turn. Further requests stay unread.
	MaxPipelined int
	// MaxPipelinedBytes is the number of bytes of unanswered requests from which a connection
	// reads no further one.
	MaxPipelinedBytes int
	// MaxWaiting is the largest number of requests of all connections that are behind an
	// unanswered one. When it is reached, connections serve their requests one at a time.
	MaxWaiting int64
	// Bodies bounds the bytes of request bodies that are held or being read, of all connections. A
	// request whose body doesn't fit is refused with ErrNoRoom. nil means no bound.
	Bodies *budget.Budget
	// Account bounds what all connections hold; nil means no bound.
	Account *Account
	// Responses bounds the bytes of responses that are read ahead to know their length, for callers that
	// don't know chunked encoding. A response that doesn't fit ends with its connection. nil means no
	// bound.
	Responses *budget.Budget
	// ReadTimeout limits the time from the first byte of a request to its last one.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept, unless the handler knows
	// better. Longer saves connection set-ups, shorter saves memory.
	IdleTimeout time.Duration
	// LingerTimeout is how long the caller may take to close a connection after its last
	// response. What it sends meanwhile is dropped.
	LingerTimeout time.Duration
}

// DefaultConfig returns the limits of a node in production.
func DefaultConfig() Config {
	return Config{
		MaxConnections:    16 << 10,
		MaxHeaderBytes:    16 << 10,
		MaxPipelined:      32,
		MaxPipelinedBytes: 1 << 20,
		MaxWaiting:        512,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       2 * time.Minute,
		LingerTimeout:     time.Second,
	}
}

// Handler serves the requests of a Server. Its methods must be safe for concurrent use.
type Handler interface {
	// MaxBodyBytes returns the largest request body in bytes. It is called on the reading
	// goroutine for each request that has a body.
	MaxBodyBytes() int
	// BodyDeadline returns when the caller of a request stops waiting whose body is still to come, or
	// the zero time if that is not known. It is called on the reading goroutine.
	BodyDeadline(x *Exchange) time.Time
	// IdleTimeout returns how long a connection without a request is kept; 0 selects that of the
	// Config. Callers may send a request within that time, so it is never closed sooner. It is called
	// on the reading goroutine for each request.
	IdleTimeout() time.Duration
	// HeaderTimeout returns how long a caller may take to send a header section; 0 selects the ReadTimeout
	// of the Config. It is called on the reading goroutine for each request.
	HeaderTimeout() time.Duration
	// Accept returns the task of a request that was read completely. It is called on the
	// reading goroutine and must not wait.
	Accept(x *Exchange) Task
	// Reject sets the response to a request that could not be read because of err. The
	// connection is closed after it.
	Reject(x *Exchange, err error)
	// Stopping reports whether connections are to be closed after the requests in progress.
	Stopping() bool
}

// Task is the work of one request. Concurrent and Deadline are called before Run and return
// constants.
type Task interface {
	// Concurrent reports whether the request may run while others of its connection do, and
	// may run again if its response is not delivered. It must be false for a request that is
	// not idempotent.
	Concurrent() bool
	// Deadline is when the caller stops waiting. A request that still waits for earlier ones
	// then is run at once, so that it can be refused. A caller that has not taken the response at
	// the end of the request (package lifetime) is cut off.
	Deadline() time.Time
	// Run sets the response. It is called at most once, on a goroutine of the request.
	Run()
	// Undelivered is called, last, if the caller does not get the complete response of Run because
	// of err, and has not left itself. The request and the response may still be read.
	Undelivered(err error)
}

// Server serves connections. Create it with New.
type Server struct {
	cfg     Config
	handler Handler
	// waiting is the number of exchanges that were read behind an unanswered one.
	waiting atomic.Int64
	closing atomic.Bool
	buffers buffers
	tasks   conc.WaitGroup
	// waiters are the calls of Shutdown that wait for tasks.
	waiters conc.WaitGroup

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners []net.Listener
	// pending are the connections that wait for room, in the order of their arrival.
	pending []pendingConn
	// evicted is the number of connections that make room for others and have not closed yet.
	evicted int
}

// New returns a server without listeners.
func New(cfg Config, h Handler) *Server {
	stats.limit.Add(int64(cfg.MaxConnections))
	s := &Server{cfg: cfg, handler: h, conns: make(map[*conn]struct{})}
	cfg.Account.addServer(s)
	return s
}

// Waiting returns the number of requests that were read behind an unanswered one of their
// connection and whose response is not complete.
func (s *Server) Waiting() int64 { return s.waiting.Load() }

// addWaiting changes the number of waiting requests.
func (s *Server) addWaiting(n int64) {
	s.waiting.Add(n)
	stats.waiting.Add(n)
}

// Serve accepts connections until l is closed or Shutdown is called, for which it returns nil.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return nil
	}
	var pause accept.Pause
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			pause.Reset()
			s.start(nc)
		case errors.Is(err, net.ErrClosed) || s.closing.Load():
			return nil
		case accept.IsTemporary(err):
			s.evict()
			pause.Wait()
		default:
			return fmt.Errorf("accept a caller's connection: %w", err)
		}
	}
}

// addListener registers a listener for Shutdown. It returns false after Shutdown.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		_ = l.Close()
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

// tooManyConnections is the response on a connection above the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// reset closes a connection of which nothing was read, so that its client knows that.
func reset(nc net.Conn) {
	setLinger(nc, lingerReset)
	_ = nc.Close()
}

// start serves a new connection on a goroutine of its own.
func (s *Server) start(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		reset(nc)
		return
	}
	if !s.hasRoomLocked() {
		s.enqueueLocked(nc)
		return
	}
	s.serveLocked(nc)
}

// serveLocked serves a connection on a goroutine of its own. mu is held.
func (s *Server) serveLocked(nc net.Conn) {
	c := newConn(s, nc)
	s.conns[c] = struct{}{}
	stats.connections.Add(1)
	s.tasks.Go(func() {
		defer s.remove(c)
		if c.charge(connectionBytes) != nil {
			c.cancel()
			refuse(nc)
			return
		}
		c.serve()
	})
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted.Load() {
		s.evicted--
	}
	stats.connections.Add(-1)
}

// headTimeoutMargin is what is added to the handler's limit for a header section, for a caller that uses
// all of it on a link that delays its last part.
const headTimeoutMargin = time.Second

// headTimeout returns how long a caller may take to send a header section.
func (s *Server) headTimeout() time.Duration {
	if limit := s.handler.HeaderTimeout(); limit > 0 {
		return min(limit+headTimeoutMargin, s.cfg.ReadTimeout)
	}
	return s.cfg.ReadTimeout
}

// minEvictIdle is how long a connection must have been idle to make room for another one. On a
// younger one the next request may be on its way.
const minEvictIdle = time.Second

// evict closes the connection that has been idle for longest.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictLocked()
}

// evictLocked is evict for a caller that holds mu. It returns false if no connection can make room.
func (s *Server) evictLocked() bool {
	var oldest *conn
	longest := minEvictIdle
	for c := range s.conns {
		if idle := c.idleFor(); idle >= longest && c.awaiting.Load() && c.idle() && !c.evicted.Load() {
			oldest, longest = c, idle
		}
	}
	if oldest == nil {
		return s.cutMostStalledLocked()
	}
	s.evicted++
	stats.evicted.Add(1)
	oldest.evicted.Store(true)
	oldest.wake()
	return true
}

// cutMostStalledLocked closes the connection whose caller has made no progress for longest relative to
// what it holds. mu is held.
func (s *Server) cutMostStalledLocked() bool {
	now := steady.Nanos(time.Now())
	worst, _ := s.mostStalled(now, nil)
	if worst == nil {
		return false
	}
	s.markCutLocked(worst, now)
	return true
}

// Shutdown closes the listeners, lets the requests in progress finish, and closes all
// connections. When ctx ends before that, it closes the rest, cancels their requests and
// returns an error without waiting for them. It may be called repeatedly.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
	for _, p := range s.pending {
		reset(p.nc)
	}
	s.pending = nil
	for c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	s.waiters.Go(func() {
		s.tasks.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.closeAll()
		return fmt.Errorf("connections of callers were cut: %w", context.Cause(ctx))
	}
}

// closeAll closes all connections at once.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}

// idleTimeout returns how long a connection without a request is kept.
func (s *Server) idleTimeout() time.Duration {
	if limit := s.handler.IdleTimeout(); limit > 0 {
		return limit
	}
	return s.cfg.IdleTimeout
}
