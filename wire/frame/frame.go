// Package frame reads and writes length-prefixed protobuf messages.
//
// A frame is a 4-byte big-endian length followed by that many bytes of one encoded
// message. A length above the limit, which is MaxBytes unless the caller gives another one, is
// rejected before anything is read or allocated for the message.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	// MaxBytes is the largest size of an encoded message for which no other limit is given.
	MaxBytes = 2 << 20
	// prefixBytes is the size of the length prefix.
	prefixBytes = 4
	// maxPooledBytes is the largest capacity of a buffer that is returned to the pool. It is
	// also the step in which a buffer grows while a message is read.
	maxPooledBytes = 64 << 10
)

// ErrTooLarge is returned for a message larger than the limit.
var ErrTooLarge = errors.New("frame is too large")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 4<<10)
	return &b
}}

// Write encodes m and writes length prefix and message in one call of w.Write.
func Write(w io.Writer, m proto.Message) error { return WriteUpTo(w, m, MaxBytes) }

// WriteUpTo is like Write with another limit than MaxBytes.
func WriteUpTo(w io.Writer, m proto.Message, limit int) error {
	p := buffers.Get().(*[]byte)
	defer putBuffer(p)
	buf := append((*p)[:0], 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	*p = buf
	size := len(buf) - prefixBytes
	if size > limit {
		return fmt.Errorf("%w: %d bytes, expected at most %d", ErrTooLarge, size, limit)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

// Read reads one frame into m. It returns io.EOF only if the stream ends before the first
// byte of the frame.
func Read(r io.Reader, m proto.Message) error { return ReadUpTo(r, m, MaxBytes) }

// ReadUpTo is like Read with another limit than MaxBytes.
func ReadUpTo(r io.Reader, m proto.Message, limit int) error {
	p := buffers.Get().(*[]byte)
	defer putBuffer(p)
	buf := grow((*p)[:0], prefixBytes)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(buf))
	if size > limit {
		return fmt.Errorf("%w: %d bytes, expected at most %d", ErrTooLarge, size, limit)
	}
	buf, err := readBody(r, buf, size)
	if err != nil {
		return fmt.Errorf("read frame: %w", unexpectedEOF(err))
	}
	*p = buf
	if err := proto.Unmarshal(buf, m); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}

// readBody reads size bytes into buf. It grows buf while bytes arrive, so that a false length
// prefix makes the reader allocate at most maxPooledBytes in excess.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	buf = buf[:0]
	for len(buf) < size {
		n := min(size-len(buf), maxPooledBytes)
		start := len(buf)
		buf = slices.Grow(buf, n)[:start+n]
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

func grow(buf []byte, size int) []byte {
	if cap(buf) < size {
		return make([]byte, size)
	}
	return buf[:size]
}

// putBuffer returns a buffer to the pool unless it is too large.
func putBuffer(p *[]byte) {
	if cap(*p) <= maxPooledBytes {
		buffers.Put(p)
	}
}

// unexpectedEOF replaces io.EOF, which callers take for a complete stream.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
