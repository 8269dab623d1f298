// Package transit finds messages that took longer than usual from one VM to another,
// although the clocks of the two VMs have nothing in common.
package transit

import (
	"sync"
	"time"
)

// baseWindow is the time over which the fastest message is remembered. Clocks that drift
// by 50 parts in a million part by 3 ms within it.
const baseWindow = time.Minute

// Estimator follows the messages of one connection. The difference between the receiver's
// and the sender's clock is least for the fastest message; what another one shows beyond
// that is its delay. A nil Estimator finds no delay. It is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// began is when the current window began, by the receiver's clock.
	began time.Duration
	// least and before are the least differences of the current window and of the one
	// before it.
	least, before time.Duration
	started       bool
}

// Excess returns how much longer than the fastest one a message took that was sent and
// received at these times, each by the clock of its own VM.
func (e *Estimator) Excess(sent, received time.Duration) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	difference := received - sent
	e.advance(difference, received)
	e.least = min(e.least, difference)
	return max(0, difference-min(e.least, e.before))
}

// advance begins a new window when it is time.
func (e *Estimator) advance(difference, received time.Duration) {
	switch elapsed := received - e.began; {
	case !e.started || elapsed >= 2*baseWindow:
		e.started = true
		e.began = received
		e.least, e.before = difference, difference
	case elapsed >= baseWindow:
		e.began = received
		e.least, e.before = difference, e.least
	}
}
