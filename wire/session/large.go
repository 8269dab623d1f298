package session

import (
	"context"
	"time"

	"auburnladder.example/wire/frame"
	"auburnladder.example/wire/peerpb"
	"google.golang.org/protobuf/proto"
)

// largePartBytes is the size of the parts of a large message that have a time of their own.
const largePartBytes = 32 << 10

// SendLarge writes one message of at most limit bytes. It fails if the other end takes no part of it
// for the time idle. No other message may be sent on the stream meanwhile.
func (s *Stream) SendLarge(m proto.Message, limit int, idle time.Duration) error {
	return frame.WriteUpTo(&partWriter{stream: s, idle: idle}, m, limit)
}

// RecvLarge reads one message of at most limit bytes.
func (s *Stream) RecvLarge(m proto.Message, limit int) error {
	return frame.ReadUpTo(s.mux, m, limit)
}

// ExchangeLarge is like Exchange for a reply of at most limit bytes. It fails if no part of it arrives
// for the time idle.
func (s *Session) ExchangeLarge(ctx context.Context, req *peerpb.Request, reply proto.Message, limit int, idle time.Duration) error {
	stream, err := s.Open(req)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(pastDeadline) })
	defer stop()
	return frame.ReadUpTo(&partReader{ctx: ctx, stream: stream, idle: idle}, reply, limit)
}

// partWriter writes in parts, each with a deadline of its own.
type partWriter struct {
	stream *Stream
	idle   time.Duration
}

func (w *partWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		w.stream.SetWriteDeadline(time.Now().Add(w.idle))
		n, err := streamWriter{w.stream}.Write(p[written:min(len(p), written+largePartBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// partReader reads with a deadline for each part.
type partReader struct {
	ctx    context.Context
	stream *Stream
	idle   time.Duration
}

func (r *partReader) Read(p []byte) (int, error) {
	r.stream.SetReadDeadline(time.Now().Add(r.idle))
	if err := r.ctx.Err(); err != nil {
		// The deadline that the end of ctx set may have been replaced just now.
		return 0, err
	}
	return r.stream.mux.Read(p)
}
