package session

import (
	"encoding/binary"
	"net"
)

const (
	// muxHeaderBytes is the size of a yamux frame header; its second byte is the type
	// and its last four are the length of the data that follow.
	muxHeaderBytes = 12
	muxTypeOffset  = 1
	muxLenOffset   = 8
	muxTypeData    = 0
	// maxJoinedBytes bounds the data that are copied behind their header. Copying
	// more costs more than the write it saves.
	maxJoinedBytes = 16 << 10
)

// joinConn writes the header of a yamux data frame together with its data, which
// yamux hands over in two writes. It halves the system calls and the packets of a
// small message. Only the session's sending goroutine writes.
type joinConn struct {
	net.Conn
	header [muxHeaderBytes]byte
	// held is set while header waits for its data.
	held bool
	buf  []byte
}

// Write holds back the header of a data frame until its data come.
func (c *joinConn) Write(p []byte) (int, error) {
	if !c.held {
		if !announcesData(p) {
			return c.Conn.Write(p)
		}
		copy(c.header[:], p)
		c.held = true
		return len(p), nil
	}
	c.held = false
	if len(p) > maxJoinedBytes {
		if _, err := c.Conn.Write(c.header[:]); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.buf = append(append(c.buf[:0], c.header[:]...), p...)
	n, err := c.Conn.Write(c.buf)
	return max(0, n-muxHeaderBytes), err
}

func announcesData(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLenOffset:]) > 0
}
