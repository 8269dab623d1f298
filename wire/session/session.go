// Package session carries streams of protobuf messages between two nodes over one
// multiplexed connection.
package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"auburnladder.example/wire/frame"
	"auburnladder.example/wire/peerpb"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// expired is a deadline in the past: it ends waiting reads and writes at once.
var expired = time.Unix(1, 0)

// Config bounds how long a session may be silent.
type Config struct {
	// ProbeInterval is the time between liveness probes of an idle session. Shorter
	// finds a silent connection sooner and costs more bytes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe or a write may wait before the session is
	// closed as silent.
	ProbeTimeout time.Duration
	// Backlog bounds the streams that the other end opened and nobody accepted yet.
	Backlog int
}

// DefaultConfig finds a silent connection within 4 s.
func DefaultConfig() Config {
	return Config{ProbeInterval: 2 * time.Second, ProbeTimeout: 2 * time.Second, Backlog: 256}
}

func (c Config) yamux() *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = c.Backlog
	y.EnableKeepAlive = true
	y.KeepAliveInterval = c.ProbeInterval
	y.ConnectionWriteTimeout = c.ProbeTimeout
	y.StreamOpenTimeout = c.ProbeTimeout
	y.StreamCloseTimeout = time.Minute
	y.LogOutput = io.Discard
	return y
}

// ErrTimeout reports that a stream's deadline passed or its context ended.
var ErrTimeout = yamux.ErrTimeout

// Session is one multiplexed connection. Its methods are safe for concurrent use.
type Session struct {
	mux *yamux.Session
}

// Client starts a session on a connection that this node opened.
func Client(conn net.Conn, cfg Config) (*Session, error) {
	mux, err := yamux.Client(&joinConn{Conn: conn}, cfg.yamux())
	if err != nil {
		return nil, fmt.Errorf("client session: %w", err)
	}
	return &Session{mux: mux}, nil
}

// Server starts a session on a connection that the other node opened.
func Server(conn net.Conn, cfg Config) (*Session, error) {
	mux, err := yamux.Server(&joinConn{Conn: conn}, cfg.yamux())
	if err != nil {
		return nil, fmt.Errorf("server session: %w", err)
	}
	return &Session{mux: mux}, nil
}

// Open starts a stream with its first message.
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

// OpenStream starts a stream without a message.
func (s *Session) OpenStream() (*Stream, error) {
	st, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return &Stream{mux: st}, nil
}

// Accept waits for a stream that the other end opens.
func (s *Session) Accept() (*Stream, error) {
	st, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	return &Stream{mux: st}, nil
}

// Exchange sends req on a stream of its own and reads one message into reply.
func (s *Session) Exchange(ctx context.Context, req *peerpb.Request, reply proto.Message) error {
	stream, err := s.Open(req)
	if err != nil {
		return err
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(expired) })
	defer stop()
	return stream.Recv(reply)
}

// Close ends the session and all its streams.
func (s *Session) Close() {
	// The connection is given up either way.
	_ = s.mux.Close()
}

// Closed is closed when the session has ended.
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

// Stream is one sequence of messages in each direction.
type Stream struct {
	mux *yamux.Stream
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	return frame.Write(s.mux, m)
}

// Recv reads one message. It returns io.EOF after the other end closed its side.
func (s *Stream) Recv(m proto.Message) error {
	return frame.Read(s.mux, m)
}

// Ended reports whether the other end closed or reset the stream, or sent more on it. It
// must not be called together with Recv, and leaves no deadline.
func (s *Stream) Ended() bool {
	s.SetDeadline(expired)
	defer s.SetDeadline(time.Time{})
	var next [1]byte
	_, err := s.mux.Read(next[:])
	return !errors.Is(err, ErrTimeout)
}

// SetDeadline bounds all later reads and writes.
func (s *Stream) SetDeadline(t time.Time) {
	// yamux streams return no error here.
	_ = s.mux.SetDeadline(t)
}

// Close ends this side of the stream; the other end reads io.EOF.
func (s *Stream) Close() {
	_ = s.mux.Close()
}
