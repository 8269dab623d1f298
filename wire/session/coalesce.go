package session

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

const (
	// muxHeaderBytes is the size of a yamux frame header. Its second byte is the frame type
	// and its last four bytes are the length of the data that follow.
	muxHeaderBytes = 12
	muxTypeOffset  = 1
	muxLenOffset   = 8
	muxTypeData    = 0
	// maxCoalescedBytes is the largest size of data that are copied behind their header.
	// Copying more costs more than the write that it saves.
	maxCoalescedBytes = 16 << 10
)

// coalescingConn combines the header of a yamux data frame and its data, which yamux passes
// in two calls of Write, into one write. This halves the system calls and packets of a small
// message. Write is called only by the session's sending goroutine.
type coalescingConn struct {
	net.Conn
	header [muxHeaderBytes]byte
	// headerPending is set while header holds a header whose data have not been written.
	headerPending bool
	buf           []byte
	// received counts the reads that returned data.
	received atomic.Uint64
}

// Read counts reads that return data.
func (c *coalescingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(1)
	}
	return n, err
}

// Write delays the header of a data frame until it is called with the data.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if !c.headerPending {
		if !isDataHeader(p) {
			return c.Conn.Write(p)
		}
		copy(c.header[:], p)
		c.headerPending = true
		return len(p), nil
	}
	c.headerPending = false
	if len(p) > maxCoalescedBytes {
		if _, err := c.Conn.Write(c.header[:]); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.buf = append(append(c.buf[:0], c.header[:]...), p...)
	n, err := c.Conn.Write(c.buf)
	return max(0, n-muxHeaderBytes), err
}

// isDataHeader reports whether p is the header of a data frame that is not empty.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLenOffset:]) > 0
}
