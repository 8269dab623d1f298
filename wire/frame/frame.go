// Package frame reads and writes length-prefixed protobuf messages.
//
// A frame is a 4-byte big-endian length followed by that many bytes of one encoded
// message. A length above the reader's limit is an error before anything is read
// or allocated for it.
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
	// MaxBytes bounds the encoded message of every frame.
	MaxBytes = 2 << 20
	// prefixBytes is the size of the length prefix.
	prefixBytes = 4
	// maxPooledBytes bounds the buffers that are kept for reuse.
	maxPooledBytes = 64 << 10
)

// ErrTooLarge reports a frame above MaxBytes.
var ErrTooLarge = errors.New("frame is too large")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 4<<10)
	return &b
}}

// Write encodes m and writes it with its length in one call of w.Write.
func Write(w io.Writer, m proto.Message) error {
	p := buffers.Get().(*[]byte)
	defer release(p)
	buf := append((*p)[:0], 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	*p = buf
	size := len(buf) - prefixBytes
	if size > MaxBytes {
		return fmt.Errorf("%w: %d bytes, expected at most %d", ErrTooLarge, size, MaxBytes)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

// Read reads one frame into m. It returns io.EOF only if no byte was read.
func Read(r io.Reader, m proto.Message) error {
	p := buffers.Get().(*[]byte)
	defer release(p)
	buf := grow((*p)[:0], prefixBytes)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(buf))
	if size > MaxBytes {
		return fmt.Errorf("%w: %d bytes, expected at most %d", ErrTooLarge, size, MaxBytes)
	}
	buf, err := readBody(r, buf, size)
	if err != nil {
		return fmt.Errorf("read frame: %w", noEOF(err))
	}
	*p = buf
	if err := proto.Unmarshal(buf, m); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}

// readBody reads size bytes into buf. It allocates as bytes arrive, so that a false
// length costs the reader at most one step.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	buf = buf[:0]
	for len(buf) < size {
		step := min(size-len(buf), maxPooledBytes)
		start := len(buf)
		buf = slices.Grow(buf, step)[:start+step]
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

func release(p *[]byte) {
	if cap(*p) <= maxPooledBytes {
		buffers.Put(p)
	}
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
