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
	// readBufferBytes is the size of the read buffer. It limits the size of a response
	// head.
	readBufferBytes = 16 << 10
	// writeBufferBytes is the size of the write buffer for a request.
	writeBufferBytes = 4 << 10
)

// serverConn is a connection to the backend server. It carries one request at a time.
type serverConn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// written counts the bytes of the current request that were accepted by the kernel.
	written int64
	// lastUsed is when the connection was opened or last returned to the pool.
	lastUsed time.Time
	// started is when the current request began.
	started time.Time
	// requests counts the requests that were begun on the connection.
	requests int
	// process is the server process at the other end.
	process processID
	// ended is set by usable if the connection has ended.
	ended bool
}

func newServerConn(conn net.Conn, now time.Time) *serverConn {
	c := &serverConn{Conn: conn, lastUsed: now}
	c.br = bufio.NewReaderSize(conn, readBufferBytes)
	c.bw = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Write counts the written bytes, so that after an error it is known whether the server
// may have received a part of the request.
func (c *serverConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// beginRequest resets the connection's counters and write buffer for a new request.
func (c *serverConn) beginRequest(now time.Time) {
	c.written = 0
	c.requests++
	c.started = now
	c.bw.Reset(c)
}

// resetOnClose makes Close reset the connection. The server then learns at once that its request was
// given up, also if it has not read all of it; the end of the connection would lie behind that.
func (c *serverConn) resetOnClose() {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
}

// usable reports whether an idle connection is open and has no data to read. Unsolicited
// data would be taken for the next response.
func (c *serverConn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		c.ended = !noData && n <= 0
		return true
	})
	return err == nil && noData
}

// setUserTimeout returns a dialer control function that sets TCP_USER_TIMEOUT. The kernel
// then closes a connection whose other end stops acknowledging data or keep-alive probes.
func setUserTimeout(cfg ServerConfig) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		if optErr != nil {
			return fmt.Errorf("set TCP user timeout: %w", optErr)
		}
		return nil
	}
}
