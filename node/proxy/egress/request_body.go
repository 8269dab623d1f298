package egress

import (
	"errors"
	"fmt"
	"io"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

// requestBody reads the request body that follows a call on its stream. It implements
// io.Reader.
type requestBody struct {
	stream       *session.Stream
	pending      []byte
	received     uint64
	lastReceived bool
	// onPart is called with the size of each part; nil for none.
	onPart func(bytes int)
}

// Read implements io.Reader. It returns io.EOF only after the complete body; a truncated
// body gives another error.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.lastReceived {
			return 0, io.EOF
		}
		if err := b.readPart(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// readPart receives the next message of the body.
func (b *requestBody) readPart() error {
	var part peerpb.Body
	if err := b.stream.Recv(&part); err != nil {
		return fmt.Errorf("%w: %w", errCallerEndedCall, unexpectedEOF(err))
	}
	b.pending, b.lastReceived = part.GetData(), part.GetLast()
	b.received += uint64(len(part.GetData()))
	if b.onPart != nil {
		b.onPart(len(part.GetData()))
	}
	if part.GetAborted() || b.lastReceived && part.GetTotal() != b.received {
		return fmt.Errorf("%w: request body truncated after %d bytes", errCallerEndedCall, b.received)
	}
	return nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
