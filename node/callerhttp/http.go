package callerhttp

import (
	"errors"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// setFraming sets the headers of a response that depend on the connection and on the protocol
// version of the request. final says that the connection closes after the response.
func setFraming(x *Exchange, final bool) {
	switch {
	case final:
		x.Response.SetConnectionClose()
	case !x.Request.Header.IsHTTP11():
		x.Response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
}

// isTimeout reports whether err is an expired deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isReset reports whether err means that the connection was reset or closed on this side.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, net.ErrClosed)
}

// closedByRemote reports whether the other end closed conn, also if bytes are unread before
// the end. It consumes no data.
func closedByRemote(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if raw == nil {
		return err != nil
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = hangsUp(fd) })
	return closed || err != nil
}

// isReady reports whether conn is ready for reading or writing, as given by events of poll.
func isReady(conn net.Conn, events int16) bool {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return false
	}
	ready := false
	_ = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0 && fds[0].Revents&events != 0
	})
	return ready
}

// awaitRemoteClose waits until the other end closes conn, and returns true, or until the read
// deadline. It consumes no data.
func awaitRemoteClose(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if raw == nil {
		return err != nil
	}
	return raw.Read(hangsUp) == nil
}

// rawConn returns the descriptor of conn; nil without an error if conn has none.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// hangsUp reports whether the other end closed the connection of a descriptor.
func hangsUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
