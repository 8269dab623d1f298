package egress

import (
	"errors"
	"fmt"
	"io"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

// requestBody reads a body that follows the head of its call.
type requestBody struct {
	stream *session.Stream
	rest   []byte
	total  uint64
	last   bool
}

// Read returns io.EOF only after the whole body.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.last {
			return 0, io.EOF
		}
		if err := b.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *requestBody) next() error {
	var part peerpb.Body
	if err := b.stream.Recv(&part); err != nil {
		return fmt.Errorf("%w: %w", errCallEnded, unexpectedEOF(err))
	}
	b.rest, b.last = part.GetData(), part.GetLast()
	b.total += uint64(len(part.GetData()))
	if part.GetAborted() || b.last && part.GetTotal() != b.total {
		return fmt.Errorf("%w: body broken off after %d bytes", errCallEnded, b.total)
	}
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
