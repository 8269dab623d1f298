package node

import (
	"context"
	"sync/atomic"
	"time"
)

// stopMargin is how long before the end of the grace period the node exits even if requests
// are still in flight, so that it can close their connections in order.
const stopMargin = 300 * time.Millisecond

// responseReadTimeout bounds the wait for peers to read the last responses: several round trips
// plus the time to read the largest response.
const responseReadTimeout = 500 * time.Millisecond

// inFlightPollInterval is the interval between two checks for requests in flight.
const inFlightPollInterval = 20 * time.Millisecond

// peersShare is the fraction of the unready time after which the node refuses calls of
// peers. The rest is for calls that the backend server makes for its last requests.
const peersShare = 0.4

// stopper takes a node out of service whose backend server may keep running. The node first
// reports that it is stopping while it still serves, then refuses calls of peers, then
// refuses new requests of callers, and stops once no request is in flight.
type stopper struct {
	node *Node
	// begun is set when the stop signal arrives.
	begun atomic.Bool
	// closed is set once new requests of callers are refused.
	closed atomic.Bool
	// deadline is when the node must have stopped; nil before the stop signal.
	deadline atomic.Pointer[time.Time]
	signalled   chan struct{}
}

func newStopper(n *Node) *stopper {
	return &stopper{node: n, signalled: make(chan struct{}, 1)}
}

// signal starts the stop. It may be called repeatedly and from any goroutine.
func (s *stopper) signal() {
	if s.begun.Swap(true) {
		return
	}
	end := time.Now().Add(s.node.live.Load().Stop.Grace.Std() - stopMargin)
	s.deadline.Store(&end)
	s.node.log.Info().Str("event", "stopping").Msg("stop signal received; node reports that it is stopping and still serves")
	s.signalled <- struct{}{}
}

// run waits for the stop signal and carries out the stop. It returns false if ctx ended
// first.
func (s *stopper) run(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.signalled:
	}
	n := s.node
	unready := n.live.Load().Stop.Unready.Std()
	toPeers := time.Duration(peersShare * float64(unready))
	if !pause(ctx, toPeers) {
		return false
	}
	n.command.SetLeaving(true, "stop signal")
	if !pause(ctx, unready-toPeers) {
		return false
	}
	s.closed.Store(true)
	if !s.waitUntil(ctx, s.end(), func() bool { return s.inFlight() == 0 }) {
		return false
	}
	n.stopCallers()
	// A stream stays open until the peer has read the complete response. Streams to a node
	// that has failed stay open longer, so the wait is bounded.
	if !s.waitUntil(ctx, time.Now().Add(responseReadTimeout), func() bool { return n.peers.Streams() == 0 }) {
		return false
	}
	n.log.Info().Str("event", "drained").Int64("in_flight", s.inFlight()).Msg("drain finished; node refuses new calls")
	return true
}

// waitUntil waits until done returns true, until the given time or until the deadline of the
// stop, whichever is first. It returns false if ctx ended first.
func (s *stopper) waitUntil(ctx context.Context, until time.Time, done func() bool) bool {
	for !done() && time.Now().Before(until) && time.Now().Before(s.end()) {
		if !pause(ctx, inFlightPollInterval) {
			return false
		}
	}
	return true
}

// end returns the deadline of the stop, or the current time if there was no stop signal.
func (s *stopper) end() time.Time {
	if at := s.deadline.Load(); at != nil {
		return *at
	}
	return time.Now()
}

func (s *stopper) inFlight() int64 {
	total := s.node.egress.Active()
	for _, in := range s.node.ingresses {
		total += in.Active()
	}
	return total
}

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
