// Package peers keeps the sessions between this node and other nodes: it accepts
// theirs, opens its own on demand, and hands every incoming stream to a handler.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"auburnladder.example/core/transit"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/sync/singleflight"
)

const (
	// dialTimeout bounds the connection set-up and the exchange of Hello.
	dialTimeout = 2 * time.Second
	// handshakeTimeout bounds how long an accepted connection may take to say Hello.
	handshakeTimeout = 5 * time.Second
	// retireTimeout bounds how long the streams of a retired session may take.
	retireTimeout = time.Minute
)

// errClosed reports that the set was closed while a session was being opened.
var errClosed = errors.New("sessions are closed")

// Peer is the other end of a session, by what it said about itself.
type Peer struct {
	VM      string
	Service string
	Domain  string
	// Transit finds messages of the session that arrive late.
	Transit *transit.Estimator
}

// Handler serves the streams that peers open.
type Handler interface {
	// ServeStream runs on a goroutine of its own; the stream is closed after it.
	ServeStream(ctx context.Context, from Peer, req *peerpb.Request, st *session.Stream)
}

// Greeter returns the Hello that this node sends.
type Greeter func() *peerpb.Hello

// Config says how sessions are made and kept.
type Config struct {
	Transport Transport
	Session   session.Config
	// MaxIdle is how long an outgoing session may carry no stream before it is
	// closed. Longer saves connection set-up, shorter saves memory and probes.
	MaxIdle time.Duration
}

// DefaultConfig uses plain TCP.
func DefaultConfig() Config {
	return Config{Transport: TCP{}, Session: session.DefaultConfig(), MaxIdle: 5 * time.Minute}
}

// Set is the node's sessions. Its methods are safe for concurrent use.
type Set struct {
	cfg     Config
	hello   Greeter
	handler Handler
	log     zerolog.Logger
	dials   singleflight.Group

	// current maps a VM to the *link that Get returns. It is read without locks.
	current sync.Map

	mu sync.Mutex
	// links holds all sessions by the VM at the other end, the newest last.
	links map[string][]*link
	// closed is set once no task may start.
	closed bool
	// notify orders calls of the observer; it is taken before mu.
	notify   sync.Mutex
	observer Observer
	tasks    conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a set without sessions. Sessions end when ctx ends.
func New(ctx context.Context, cfg Config, hello Greeter, h Handler, log zerolog.Logger) *Set {
	ctx, cancel := context.WithCancel(ctx)
	s := &Set{
		cfg:     cfg,
		hello:   hello,
		handler: h,
		log:     log,
		links:   make(map[string][]*link),
		ctx:     ctx,
		cancel:  cancel,
	}
	s.tasks.Go(s.closeIdle)
	return s
}

// Get returns a session to the VM, whichever end opened it. It opens one if there is
// none.
func (s *Set) Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error) {
	if ses := s.find(vm); ses != nil {
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

func (s *Set) dial(vm string, addr netip.AddrPort) (*session.Session, error) {
	if ses := s.find(vm); ses != nil {
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
	peer, err := s.greet(ctx, ses)
	if err != nil {
		ses.Close()
		return nil, err
	}
	if peer.VM != vm {
		ses.Close()
		return nil, fmt.Errorf("session to %s: %s answered at %s", vm, peer.VM, addr)
	}
	l := s.register(vm, ses, true)
	if !s.spawn(func() { s.serve(l, peer) }) {
		s.unregister(l)
		ses.Close()
		return nil, errClosed
	}
	return ses, nil
}

// spawn runs a task that Close waits for. It returns false once the set is closed.
func (s *Set) spawn(task func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tasks.Go(task)
	return true
}

func (s *Set) greet(ctx context.Context, ses *session.Session) (Peer, error) {
	req := &peerpb.Request{Kind: &peerpb.Request_Hello{Hello: s.hello()}}
	var reply peerpb.Hello
	if err := ses.Exchange(ctx, req, &reply); err != nil {
		return Peer{}, fmt.Errorf("hello: %w", err)
	}
	return peerOf(&reply), nil
}

// Serve accepts sessions from l until the set is closed.
func (s *Set) Serve(l net.Listener) error {
	stop := context.AfterFunc(s.ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
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

func (s *Set) accept(raw net.Conn) {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	conn, vm, err := s.cfg.Transport.Accept(ctx, raw)
	cancel()
	if err != nil {
		s.log.Warn().Err(err).Str("event", "peer-refused").Stringer("addr", raw.RemoteAddr()).Msg("peer connection not accepted")
		_ = raw.Close()
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
	peer, err := s.welcome(ses)
	if err == nil && vm != "" && vm != peer.VM {
		err = fmt.Errorf("hello names VM %q on a connection of VM %q", peer.VM, vm)
	}
	if err != nil {
		s.log.Warn().Err(err).Str("event", "peer-refused").Stringer("addr", ses.RemoteAddr()).Msg("peer said no valid hello")
		return
	}
	s.serve(s.register(peer.VM, ses, false), peer)
}

// welcome answers the Hello that must open the first stream of a session.
func (s *Set) welcome(ses *session.Session) (Peer, error) {
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
		return Peer{}, fmt.Errorf("first request is not a hello")
	}
	if err := st.Send(s.hello()); err != nil {
		return Peer{}, err
	}
	return peerOf(hello), nil
}

// serve hands the streams of one session to the handler until the session ends.
func (s *Set) serve(l *link, from Peer) {
	defer s.unregister(l)
	stop := context.AfterFunc(s.ctx, l.session.Close)
	defer stop()
	var streams conc.WaitGroup
	defer streams.Wait()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for {
		st, err := l.session.Accept()
		if err != nil {
			return
		}
		streams.Go(func() { s.serveStream(ctx, from, st) })
	}
}

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

// Close ends all sessions and waits for their handlers.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
}

func peerOf(h *peerpb.Hello) Peer {
	return Peer{VM: h.GetVm(), Service: h.GetService(), Domain: h.GetDomain(), Transit: new(transit.Estimator)}
}
