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
	// watchInterval is the time between two looks at an attempt that waits.
	watchInterval = 50 * time.Millisecond
	// silenceAfter is how long an attempt waits before its session is probed.
	silenceAfter = time.Second
	// probeTimeout is how long the probe of a session may take.
	probeTimeout = 500 * time.Millisecond
)

// expired is a deadline in the past: it ends waiting reads and writes at once.
var expired = time.Unix(1, 0)

// watch interrupts an attempt that waits for its answer when the caller has gone,
// or, for an idempotent request, when the session is silent.
type watch struct {
	attempt    *attempt
	timer      *time.Timer
	started    time.Time
	probed     bool
	callerGone atomic.Bool
	silent     atomic.Bool
	mu         sync.Mutex
	stopped    bool
}

// startWatch begins to watch; it takes no goroutine while the attempt is quick.
func startWatch(a *attempt) *watch {
	w := &watch{attempt: a, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.look)
	return w
}

// stop ends the watch. After it the request's memory and connection aren't used.
func (w *watch) stop() {
	w.timer.Stop()
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
}

// look runs on a goroutine of the timer.
func (w *watch) look() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	gone := connectionEnded(w.attempt.call.ctx.Conn())
	due := !w.probed && time.Since(w.started) >= silenceAfter
	w.probed = w.probed || due
	if !gone {
		w.timer.Reset(watchInterval)
	}
	ingress, endpoint, ses := w.attempt.call.ingress, w.attempt.endpoint, w.attempt.session
	idempotent := w.attempt.call.match.Route.Idempotent
	w.mu.Unlock()
	if gone {
		w.callerGone.Store(true)
		w.attempt.stream.SetDeadline(expired)
		return
	}
	if due && !alive(ses) {
		metrics.silent.Add(1)
		ingress.Sessions.Retire(endpoint.VM, ses)
		w.interruptSilent(idempotent)
	}
}

// interruptSilent ends an idempotent attempt at once, since it can be tried
// elsewhere. Any other attempt waits on, in case its answer still comes.
func (w *watch) interruptSilent(idempotent bool) {
	if !idempotent {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.silent.Store(true)
	w.attempt.stream.SetDeadline(expired)
}

// alive reports whether the other end of the session answers a probe.
func alive(ses *session.Session) bool {
	if ses.IsClosed() || ses.Streams() >= maxSessionStreams {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ping := &peerpb.Ping{Nonce: rand.Uint64()}
	var answer peerpb.Ping
	err := ses.Exchange(ctx, &peerpb.Request{Kind: &peerpb.Request_Ping{Ping: ping}}, &answer)
	return err == nil && answer.GetNonce() == ping.GetNonce()
}

// connectionEnded reports whether the other end closed conn. It looks at the
// socket without taking data from it.
func connectionEnded(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = (n == 0 && err == nil) || err == syscall.ECONNRESET
		return true
	})
	return ended || err != nil
}
