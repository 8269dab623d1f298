package ingress

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

const (
	// watchdogInterval is the time between two checks of a waiting attempt.
	watchdogInterval = 50 * time.Millisecond
	// probeAfter is how long an attempt waits before its session is probed.
	probeAfter = time.Second
	// probeTimeout is how long the probe of a session may take.
	probeTimeout = 500 * time.Millisecond
)

// pastDeadline is a stream deadline that interrupts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// watchdog interrupts an attempt that waits for its response when the caller disconnects or,
// for an idempotent request, when the session is unresponsive.
type watchdog struct {
	attempt            *attempt
	timer              *time.Timer
	started            time.Time
	probed             bool
	callerDisconnected atomic.Bool
	unresponsive       atomic.Bool
	mu                 sync.Mutex
	stopped            bool
}

// startWatchdog starts a watchdog for a. It uses a timer, so that an attempt shorter than
// watchdogInterval needs no extra goroutine.
func startWatchdog(a *attempt) *watchdog {
	w := &watchdog{attempt: a, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchdogInterval, w.check)
	return w
}

// stop stops the watchdog. After it returns, the watchdog no longer uses the request's
// memory or connection.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
}

// check interrupts the attempt if the caller has disconnected, and probes the session once
// after probeAfter. It runs on the timer's goroutine.
func (w *watchdog) check() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	disconnected := closedByRemote(w.attempt.call.ctx.Conn())
	probeDue := !w.probed && time.Since(w.started) >= probeAfter
	w.probed = w.probed || probeDue
	if !disconnected {
		w.timer.Reset(watchdogInterval)
	}
	ingress, endpoint, ses := w.attempt.call.ingress, w.attempt.endpoint, w.attempt.session
	idempotent := w.attempt.call.match.Route.Idempotent
	w.mu.Unlock()
	if disconnected {
		w.callerDisconnected.Store(true)
		w.attempt.stream.SetDeadline(pastDeadline)
		return
	}
	if probeDue && !sessionResponds(ses) {
		metrics.unresponsive.Add(1)
		ingress.Sessions.Retire(endpoint.VM, ses)
		w.interruptUnresponsive(idempotent)
	}
}

// interruptUnresponsive interrupts an idempotent attempt at once, since it can be retried at
// another server. Any other attempt keeps waiting, in case its response still arrives.
func (w *watchdog) interruptUnresponsive(idempotent bool) {
	if !idempotent {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.unresponsive.Store(true)
	w.attempt.stream.SetDeadline(pastDeadline)
}

// sessionResponds reports whether a probe of the session is acked within probeTimeout. A
// session without a free stream cannot be probed and counts as unresponsive.
func sessionResponds(ses *session.Session) bool {
	if ses.IsClosed() || ses.Streams() >= maxSessionStreams {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ping := &peerpb.Ping{Nonce: rand.Uint64()}
	var ack peerpb.Ping
	err := ses.Exchange(ctx, &peerpb.Request{Kind: &peerpb.Request_Ping{Ping: ping}}, &ack)
	return err == nil && ack.GetNonce() == ping.GetNonce()
}

// closedByRemote reports whether the remote end closed conn. It peeks at the socket and
// consumes no data.
func closedByRemote(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == syscall.ECONNRESET
		return true
	})
	return closed || err != nil
}
