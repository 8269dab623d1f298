package ingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

const (
	// probeAfter is how long an attempt waits before its session is probed.
	probeAfter = time.Second
	// probeTimeout is how long the probe of a session may take.
	probeTimeout = 500 * time.Millisecond
)

// pastDeadline is a stream deadline that interrupts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// watchdog interrupts an attempt that waits for its response when the caller disconnects, when
// the node is about to exit or, for an idempotent request, when the session is unresponsive.
type watchdog struct {
	attempt            *attempt
	timer              *time.Timer
	stopWatching       func() bool
	stopEnding         func() bool
	callerDisconnected atomic.Bool
	nodeEnding         atomic.Bool
	unresponsive       atomic.Bool
	mu                 sync.Mutex
	stopped            bool
}

// startWatchdog starts a watchdog for a. It needs no goroutine unless something happens.
func startWatchdog(a *attempt) *watchdog {
	w := &watchdog{attempt: a}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(probeAfter, w.probe)
	w.stopWatching = context.AfterFunc(a.call.exchange.Context(), func() { w.interrupt(&w.callerDisconnected) })
	if ending := a.call.ingress.Ending; ending != nil {
		w.stopEnding = context.AfterFunc(ending, func() { w.interrupt(&w.nodeEnding) })
	}
	return w
}

// stop stops the watchdog. After it returns, the watchdog no longer uses the attempt.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.stopWatching()
	if w.stopEnding != nil {
		w.stopEnding()
	}
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
}

// interrupt interrupts the attempt for the reason that it sets. It runs on a goroutine of its own.
func (w *watchdog) interrupt(reason *atomic.Bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interruptLocked(reason)
}

// interruptLocked is interrupt for a caller that holds mu.
func (w *watchdog) interruptLocked(reason *atomic.Bool) {
	if w.stopped {
		return
	}
	reason.Store(true)
	w.attempt.stream.SetDeadline(pastDeadline)
}

// probe probes the session and interrupts the attempt if there is no ack. It runs on the
// timer's goroutine.
func (w *watchdog) probe() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	ingress, endpoint, ses := w.attempt.call.ingress, w.attempt.endpoint, w.attempt.session
	w.mu.Unlock()
	if !sessionResponds(ses) {
		metrics.unresponsive.Add(1)
		ingress.Sessions.Retire(endpoint.VM, ses)
		w.interruptUnresponsive()
	}
}

// interruptUnresponsive interrupts an attempt that can be retried at another server. Any other
// keeps waiting: the server's node may only be short of processor time. So does each one while this
// node stops: the retry might get no response, and the server is at work.
func (w *watchdog) interruptUnresponsive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.attempt.call
	if w.stopped || c.ingress.Stopping() || !c.reserveRetry(w.attempt.endpoint) {
		return
	}
	w.interruptLocked(&w.unresponsive)
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
