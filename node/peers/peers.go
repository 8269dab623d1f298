// Package peers manages the sessions between this node and other nodes. It accepts
// sessions from other nodes, opens sessions on demand, and passes every incoming stream to
// a handler.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/core/transit"
	"auburnladder.example/node/accept"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/sync/singleflight"
)

const (
	// dialTimeout bounds the connection set-up including the Hello exchange.
	dialTimeout = 2 * time.Second
	// handshakeTimeout bounds each of the two parts of accepting a connection: that of the
	// transport, and the receipt of the Hello.
	handshakeTimeout = 5 * time.Second
	// retireTimeout bounds how long the open streams of a retired session may continue.
	retireTimeout = time.Minute
)

// errClosed is returned if the set is closed while a session is being opened.
var errClosed = errors.New("set of peer sessions is closed")

// Peer describes the other end of a session as stated in its Hello.
type Peer struct {
	VM      string
	Service string
	Domain  string
	// Transit estimates the delay of the session's messages.
	Transit *transit.Estimator
}

// Handler serves the streams that peers open.
type Handler interface {
	// ServeStream serves one stream, whose first message is req. It runs in its own
	// goroutine, and the stream is closed when it returns. ctx ends with the session.
	ServeStream(ctx context.Context, from Peer, req *peerpb.Request, st *session.Stream)
}

// HelloFunc returns the Hello that this node sends. It is called for each new session, from
// any goroutine.
type HelloFunc func() *peerpb.Hello

// Config holds the parameters of a Set.
type Config struct {
	// Transport makes the connections. Default plain TCP.
	Transport Transport
	// Session configures the sessions on these connections.
	Session session.Config
	// MaxIdle is how long a session that this node opened may be idle before it is closed.
	// A longer time saves connection set-ups, a shorter one memory and liveness probes.
	// Default 5 min.
	MaxIdle time.Duration
}

// DefaultConfig returns the default settings, which use plain TCP.
func DefaultConfig() Config {
	return Config{Transport: TCP{}, Session: session.DefaultConfig(), MaxIdle: 5 * time.Minute}
}

// Set holds the node's sessions to other nodes. Its methods are safe for concurrent use.
type Set struct {
	cfg     Config
	hello   HelloFunc
	handler Handler
	log     zerolog.Logger
	dials   singleflight.Group

	// current maps a VM id to the *peerSession that Get returns. It is read without locks.
	current sync.Map

	mu sync.Mutex
	// sessions maps the id of the VM at the other end to all sessions to it, newest last.
	sessions map[string][]*peerSession
	// closed is set by Close; no task starts afterwards.
	closed bool
	// notifyMu serializes calls to the observer. It is locked before mu.
	notifyMu sync.Mutex
	observer Observer
	tasks    conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a set without sessions. All sessions are closed when ctx ends. The caller
// must call Close to release the set's tasks.
func New(ctx context.Context, cfg Config, hello HelloFunc, h Handler, log zerolog.Logger) *Set {
	ctx, cancel := context.WithCancel(ctx)
	s := &Set{
		cfg:      cfg,
		hello:    hello,
		handler:  h,
		log:      log,
		sessions: make(map[string][]*peerSession),
		ctx:      ctx,
		cancel:   cancel,
	}
	s.tasks.Go(s.closeIdle)
	return s
}

// Get returns an open session to the VM, regardless of which end opened it, and opens one
// to addr if there is none. Concurrent calls for one VM share a single dial, which
// continues when ctx ends.
func (s *Set) Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error) {
	if ses := s.lookup(vm); ses != nil {
		return ses, nil
	}
	result := s.dials.DoChan(vm, func() (any, error) { return s.dial(vm, addr) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*session.Session), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("session to %s: %w", vm, ctx.Err())
	}
}

// dial opens a session and registers it. It fails if the node at addr belongs to another VM.
func (s *Set) dial(vm string, addr netip.AddrPort) (*session.Session, error) {
	if ses := s.lookup(vm); ses != nil {
		return ses, nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	conn, err := s.cfg.Transport.Dial(ctx, vm, addr)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", vm, err)
	}
	ses, err := session.Client(conn, s.cfg.Session)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	peer, err := s.sendHello(ctx, ses)
	if err != nil {
		ses.Close()
		return nil, err
	}
	if peer.VM != vm {
		ses.Close()
		return nil, fmt.Errorf("session to %s: VM %s replied at %s", vm, peer.VM, addr)
	}
	p := s.register(vm, ses, true)
	if !s.spawn(func() { s.serve(p, peer) }) {
		s.unregister(p)
		ses.Close()
		return nil, errClosed
	}
	return ses, nil
}

// spawn starts a task that Close waits for. It returns false, without starting the task,
// once the set is closed.
func (s *Set) spawn(task func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tasks.Go(task)
	return true
}

// sendHello sends this node's Hello on a session that it opened, and returns the peer that
// replied.
func (s *Set) sendHello(ctx context.Context, ses *session.Session) (Peer, error) {
	req := &peerpb.Request{Kind: &peerpb.Request_Hello{Hello: s.hello()}}
	var reply peerpb.Hello
	if err := ses.Exchange(ctx, req, &reply); err != nil {
		return Peer{}, fmt.Errorf("hello: %w", err)
	}
	ses.SetPeerProtocol(reply.GetProtocol())
	return peerFromHello(&reply), nil
}

// Serve accepts connections from l and serves them until the set is closed, and then
// returns nil.
func (s *Set) Serve(l net.Listener) error {
	stop := context.AfterFunc(s.ctx, func() { _ = l.Close() })
	defer stop()
	retrying := accept.Retry(l)
	for {
		conn, err := retrying.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		if !s.spawn(func() { s.accept(conn) }) {
			_ = conn.Close()
		}
	}
}

func (s *Set) accept(rawConn net.Conn) {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	conn, vm, err := s.cfg.Transport.Accept(ctx, rawConn)
	cancel()
	if err != nil {
		s.log.Warn().Err(err).Str("event", "peer-refused").Stringer("addr", rawConn.RemoteAddr()).Msg("peer connection rejected by the transport")
		_ = rawConn.Close()
		return
	}
	ses, err := session.Server(conn, s.cfg.Session)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(s.ctx, ses.Close)
	defer stop()
	defer ses.Close()
	peer, err := s.receiveHello(ses)
	if err == nil && vm != "" && vm != peer.VM {
		err = fmt.Errorf("hello of VM %q received on a connection authenticated as VM %q", peer.VM, vm)
	}
	if err != nil {
		s.log.Warn().Err(err).Str("event", "peer-refused").Stringer("addr", ses.RemoteAddr()).Msg("no valid hello received from peer; closing the session")
		return
	}
	s.serve(s.register(peer.VM, ses, false), peer)
}

// receiveHello replies to the Hello that must be the first request on a session that the
// peer opened.
func (s *Set) receiveHello(ses *session.Session) (Peer, error) {
	timer := time.AfterFunc(handshakeTimeout, ses.Close)
	defer timer.Stop()
	st, err := ses.Accept()
	if err != nil {
		return Peer{}, err
	}
	defer st.Close()
	var req peerpb.Request
	if err := st.Recv(&req); err != nil {
		return Peer{}, err
	}
	hello := req.GetHello()
	if hello == nil || hello.GetVm() == "" {
		return Peer{}, fmt.Errorf("first request on the session is not a hello with a VM id")
	}
	if err := st.Send(s.hello()); err != nil {
		return Peer{}, err
	}
	ses.SetPeerProtocol(hello.GetProtocol())
	return peerFromHello(hello), nil
}

// serve passes the streams of one session to the handler until the session ends, and
// returns when the handlers have returned.
func (s *Set) serve(p *peerSession, from Peer) {
	defer s.unregister(p)
	stop := context.AfterFunc(s.ctx, p.session.Close)
	defer stop()
	var streams conc.WaitGroup
	defer streams.Wait()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for {
		st, err := p.session.Accept()
		if err != nil {
			s.logEnd(p, err)
			return
		}
		p.lastUse.Store(steady.Nanos(time.Now()))
		streams.Go(func() { s.serveStream(ctx, from, st) })
	}
}

// logEnd logs the end of a session on which streams were open: the requests on them end with it.
func (s *Set) logEnd(p *peerSession, err error) {
	if open := p.session.Streams(); open > 0 {
		s.log.Warn().Err(err).Str("event", "session-ended").Str("peer", p.vm).Bool("dialed", p.dialed).
			Bool("retired", p.retired.Load()).Int("streams", open).Msg("session to a peer ended with streams open")
	}
}

// serveStream replies to pings itself and passes all other requests to the handler.
func (s *Set) serveStream(ctx context.Context, from Peer, st *session.Stream) {
	defer st.Close()
	var req peerpb.Request
	if err := st.Recv(&req); err != nil {
		return
	}
	if req.GetPing() != nil {
		_ = st.Send(req.GetPing())
		return
	}
	s.handler.ServeStream(ctx, from, &req, st)
}

// Close closes all sessions and waits until their handlers have returned.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
}

func peerFromHello(h *peerpb.Hello) Peer {
	return Peer{VM: h.GetVm(), Service: h.GetService(), Domain: h.GetDomain(), Transit: new(transit.Estimator)}
}
