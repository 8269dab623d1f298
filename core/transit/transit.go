// Package transit estimates the extra one-way delay of messages between two VMs whose clocks
// are not synchronized.
package transit

import (
	"sync"
	"time"
)

// baseWindow is the length of the window over which the fastest message is tracked. Clocks
// that drift by 50 ppm diverge by 3 ms within it.
const baseWindow = time.Minute

// Estimator estimates the delay of the messages on one connection. The difference between
// the receive time and the send time is smallest for the fastest message; the amount by
// which another message exceeds this minimum is its extra delay. A nil Estimator reports no
// delay. Estimator is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// windowStart is the start of the current window by the receiver's clock.
	windowStart time.Duration
	// currentMin and previousMin are the smallest differences between receive and send time
	// in the current and in the previous window.
	currentMin, previousMin time.Duration
	started                 bool
}

// Excess records a message and returns how much longer it took than the fastest recent
// message. sent and received are clock readings of the sending and of the receiving VM.
func (e *Estimator) Excess(sent, received time.Duration) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	difference := received - sent
	e.advanceWindow(difference, received)
	e.currentMin = min(e.currentMin, difference)
	return max(0, difference-min(e.currentMin, e.previousMin))
}

// advanceWindow starts a new window if the current one has ended. If two windows have
// passed, it also discards the previous minimum.
func (e *Estimator) advanceWindow(difference, received time.Duration) {
	switch elapsed := received - e.windowStart; {
	case !e.started || elapsed >= 2*baseWindow:
		e.started = true
		e.windowStart = received
		e.currentMin, e.previousMin = difference, difference
	case elapsed >= baseWindow:
		e.windowStart = received
		e.currentMin, e.previousMin = difference, e.currentMin
	}
}
