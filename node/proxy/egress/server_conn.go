package egress

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// serverReadBytes bounds the head of a server's answer.
	serverReadBytes = 16 << 10
	// serverWriteBytes is how much of a request is written at once.
	serverWriteBytes = 4 << 10
)

// serverConn is one connection to the backend server. One request at a time uses it.
type serverConn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// written counts the bytes of the current request that the kernel took.
	written int64
	// lastUsed is when the server last sent something.
	lastUsed time.Time
	// started is when the current request was begun.
	started time.Time
}

func newServerConn(conn net.Conn, now time.Time) *serverConn {
	c := &serverConn{Conn: conn, lastUsed: now}
	c.br = bufio.NewReaderSize(conn, serverReadBytes)
	c.bw = bufio.NewWriterSize(c, serverWriteBytes)
	return c
}

// Write counts what was taken, so that an error tells whether the server may have
// seen a part of the request.
func (c *serverConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// begin prepares the connection for one request.
func (c *serverConn) begin(now time.Time) {
	c.written = 0
	c.started = now
	c.bw.Reset(c)
}

// usable reports whether an idle connection is open and has nothing to read. Data that
// no request asked for would be taken for the next answer.
func (c *serverConn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// boundSilence makes the kernel give up a connection whose other end no longer
// acknowledges, with data under way or idle.
func boundSilence(cfg ServerConfig) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var opt error
		err := raw.Control(func(fd uintptr) {
			opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.SilenceTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		if opt != nil {
			return fmt.Errorf("set TCP user timeout: %w", opt)
		}
		return nil
	}
}
