// Package accept keeps listeners going when accepting a connection fails for a time, for example
// because the process has no free file descriptor.
package accept

import (
	"errors"
	"expvar"
	"net"
	"syscall"
	"time"
)

// failures counts the accepts of all listeners that failed for a time, under the key
// "accept_failures" of /debug/vars.
var failures = expvar.NewInt("accept_failures")

const (
	// minPause and maxPause bound the pause after a failed accept.
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Pause is the pause after an accept that failed. The zero value is the first one.
type Pause struct{ next time.Duration }

// Wait counts a failed accept and waits, longer each time until Reset.
func (p *Pause) Wait() {
	failures.Add(1)
	p.next = max(p.next, minPause)
	time.Sleep(p.next)
	p.next = min(2*p.next, maxPause)
}

// Reset is called after an accept that succeeded.
func (p *Pause) Reset() { p.next = 0 }

// IsTemporary reports whether accepting may succeed again after it failed with err.
func IsTemporary(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Retry returns a listener like l whose Accept waits instead of failing for a time.
func Retry(l net.Listener) net.Listener { return &retrying{Listener: l} }

type retrying struct{ net.Listener }

// Accept implements net.Listener.
func (r *retrying) Accept() (net.Conn, error) {
	var pause Pause
	for {
		conn, err := r.Listener.Accept()
		if err == nil || !IsTemporary(err) {
			return conn, err
		}
		pause.Wait()
	}
}
