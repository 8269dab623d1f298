// Package session provides streams of protobuf messages between two nodes, multiplexed over
// one connection with yamux.
package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"auburnladder.example/wire/frame"
	"auburnladder.example/wire/peerpb"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// pastDeadline is a deadline in the past. Setting it makes blocked reads and writes return
// immediately.
var pastDeadline = time.Unix(1, 0)

// Config holds the parameters of a Session.
type Config struct {
	// ProbeInterval is the time between liveness probes of a session. A shorter interval
	// detects an unresponsive connection sooner and costs more bytes. Default 2 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe waits for its response. Default 2 s.
	ProbeTimeout time.Duration
	// WriteTimeout is how long a message whose stream has no deadline may wait while the queue of the
	// connection is full. It should be no shorter than the probes take to find an unresponsive
	// connection. Default 6 s.
	WriteTimeout time.Duration
	// FailedProbes is the number of successive probes without a response and without any other
	// byte from the peer after which the session is closed as unresponsive. With 1, a node that
	// gets no processor time for ProbeTimeout loses all streams of all its sessions; more detects
	// an unresponsive connection later. Default 2.
	FailedProbes int
	// Queue bounds the bytes that wait in the queues of all sessions of the node. nil means no bound but
	// that of each queue, 256 KiB.
	Queue Budget
	// Backlog limits the streams that the other end has opened and that Accept has not
	// returned yet. Default 256.
	Backlog int
}

// DefaultConfig returns the default settings, which detect an unresponsive connection
// within 6 s.
func DefaultConfig() Config {
	return Config{ProbeInterval: 2 * time.Second, ProbeTimeout: 2 * time.Second, WriteTimeout: 6 * time.Second, FailedProbes: 2, Backlog: 256}
}

func (c Config) yamux() *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = c.Backlog
	// The session's own probes replace the keep-alive and the time-out for opening a stream, each of
	// which ends the session after a single response that is late.
	y.EnableKeepAlive = false
	y.StreamOpenTimeout = 0
	y.ConnectionWriteTimeout = c.WriteTimeout
	y.StreamCloseTimeout = time.Minute
	y.LogOutput = io.Discard
	return y
}

// ErrTimeout is returned by reads and writes if the stream's deadline has passed or the
// context of Exchange has ended.
var ErrTimeout = yamux.ErrTimeout

// Session is one multiplexed connection. Its methods are safe for concurrent use.
type Session struct {
	mux   *yamux.Session
	conn  *coalescingConn
	queue *queuedConn
	// writeTimeout is Config.WriteTimeout.
	writeTimeout time.Duration
	// unresponsive is set when the probes have closed the session.
	unresponsive atomic.Bool
	// peerProtocol is the version that the other end said in its Hello, 0 before it.
	peerProtocol atomic.Uint32
}

// Client starts a session on a connection that this node opened.
func Client(conn net.Conn, cfg Config) (*Session, error) {
	return start(conn, cfg, yamux.Client)
}

// Server starts a session on a connection that the other node opened.
func Server(conn net.Conn, cfg Config) (*Session, error) {
	return start(conn, cfg, yamux.Server)
}

func start(conn net.Conn, cfg Config, side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	queue := newQueuedConn(conn, cfg.Queue)
	s, err := startOn(&coalescingConn{Conn: queue}, cfg, side)
	if err == nil {
		s.queue = queue
	}
	return s, err
}

// startOn starts a session that writes to its connection without a queue.
func startOn(coalescing *coalescingConn, cfg Config, side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	mux, err := side(coalescing, cfg.yamux())
	if err != nil {
		return nil, fmt.Errorf("start session: %w", err)
	}
	s := &Session{mux: mux, conn: coalescing, writeTimeout: cfg.WriteTimeout}
	go s.probe(cfg)
	return s, nil
}

// Open opens a stream and sends req as its first message.
func (s *Session) Open(req *peerpb.Request) (*Stream, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	if err := stream.Send(req); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// Congested reports whether writes to the session wait because its peer has read nothing for a while
// and the queue is full.
func (s *Session) Congested() bool { return s.queue.full() }

// OpenStream opens a stream without sending a message.
func (s *Session) OpenStream() (*Stream, error) {
	st, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return s.newStream(st), nil
}

// newStream returns the stream for one of the multiplexer.
func (s *Session) newStream(st *yamux.Stream) *Stream {
	return &Stream{mux: st, queue: s.queue, sending: sendDeadline{most: s.writeTimeout}}
}

// Accept waits for the next stream that the other end opens. It returns an error once the
// session has ended.
func (s *Session) Accept() (*Stream, error) {
	st, err := s.mux.AcceptStream()
	if err != nil && s.unresponsive.Load() {
		return nil, ErrUnresponsive
	}
	if err != nil {
		return nil, err
	}
	return s.newStream(st), nil
}

// Exchange sends req on a new stream and reads one message into reply. The deadline of ctx
// applies to the stream, and the end of ctx interrupts it.
func (s *Session) Exchange(ctx context.Context, req *peerpb.Request, reply proto.Message) error {
	stream, err := s.OpenStream()
	if err != nil {
		return err
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(pastDeadline) })
	defer stop()
	if err := stream.Send(req); err != nil {
		return err
	}
	return stream.Recv(reply)
}

// Close ends the session and all its streams.
func (s *Session) Close() {
	// The connection is closed regardless of the error.
	_ = s.mux.Close()
}

// Closed returns a channel that is closed when the session has ended.
func (s *Session) Closed() <-chan struct{} {
	return s.mux.CloseChan()
}

// IsClosed reports whether the session has ended.
func (s *Session) IsClosed() bool {
	return s.mux.IsClosed()
}

// RemoteAddr returns the address of the other end.
func (s *Session) RemoteAddr() net.Addr {
	return s.mux.RemoteAddr()
}

// Streams returns the number of open streams.
func (s *Session) Streams() int {
	return s.mux.NumStreams()
}

// Stream is one sequence of messages in each direction. One goroutine at a time may send, and one
// receive.
type Stream struct {
	mux *yamux.Stream
	// queue is the queue of the session; nil if it has none.
	queue   *queuedConn
	sending sendDeadline
}

// Send writes one message. It waits while the peer takes no more bytes of the stream or of the
// session, until the stream's deadline.
func (s *Stream) Send(m proto.Message) error {
	return frame.Write(streamWriter{s}, m)
}

// maxPartBytes is the size of the parts in which the bytes of a stream are written. Streams that wait
// for the same session take turns after each.
const maxPartBytes = maxCoalescedBytes

// streamWriter writes the encoded messages of a stream.
type streamWriter struct{ *Stream }

// Write implements io.Writer.
func (w streamWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := w.writePart(p[written:min(len(p), written+maxPartBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writePart writes one part once the queue of the session has room for it.
func (s *Stream) writePart(p []byte) (int, error) {
	if s.queue == nil {
		return s.mux.Write(p)
	}
	room, err := s.queue.acquire(len(p), &s.sending)
	if err != nil {
		return 0, err
	}
	defer s.queue.release(room)
	return s.mux.Write(p)
}

// Recv reads one message. It returns io.EOF after the other end closed its side.
func (s *Stream) Recv(m proto.Message) error {
	return frame.Read(s.mux, m)
}

// Ended reports whether the other end has closed or reset the stream, or sent further data
// on it. It must not be called concurrently with Recv, and it clears the stream's deadline.
func (s *Stream) Ended() bool {
	s.SetDeadline(pastDeadline)
	defer s.SetDeadline(time.Time{})
	var next [1]byte
	_, err := s.mux.Read(next[:])
	return !errors.Is(err, ErrTimeout)
}

// SetDeadline bounds all reads and writes, also those in progress.
func (s *Stream) SetDeadline(t time.Time) {
	s.SetReadDeadline(t)
	s.SetWriteDeadline(t)
}

// SetReadDeadline bounds all reads, also one in progress.
func (s *Stream) SetReadDeadline(t time.Time) {
	// SetReadDeadline of a yamux stream always returns nil.
	_ = s.mux.SetReadDeadline(t)
}

// SetWriteDeadline bounds all writes, also one in progress.
func (s *Stream) SetWriteDeadline(t time.Time) {
	s.sending.set(t)
	// SetWriteDeadline of a yamux stream always returns nil.
	_ = s.mux.SetWriteDeadline(t)
}

// AwaitEnd blocks until the other end closes or resets the stream, or the session ends. It must
// not be called concurrently with Recv, and drops what the other end sends.
func (s *Stream) AwaitEnd() {
	// The error says how the stream ended, which makes no difference here.
	_, _ = io.Copy(io.Discard, s.mux)
}

// Close ends this side of the stream; the other end reads io.EOF.
func (s *Stream) Close() {
	_ = s.mux.Close()
}
