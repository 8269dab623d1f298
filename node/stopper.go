package node

import (
	"context"
	"sync/atomic"
	"time"
)

// stopMargin is how long before the end of the grace the node exits with requests still
// in flight, so that their connections are closed in order.
const stopMargin = 300 * time.Millisecond

// answersWait bounds the wait for peers to read the last answers: several round trips
// and the reading of the largest.
const answersWait = 500 * time.Millisecond

// stopPoll is the time between two looks for requests in flight.
const stopPoll = 20 * time.Millisecond

// peersShare is the part of the unready time after which peers send no more calls. Calls
// that the server makes for its last requests need the rest.
const peersShare = 0.4

// stopper takes a node out of service whose backend server may go on running. The node
// first tells callers to go elsewhere while it serves on, then refuses the calls of peers,
// then new requests of callers, and ends once none is in flight.
type stopper struct {
	node *Node
	// begun is set from the signal on.
	begun atomic.Bool
	// closed is set once new requests of callers are refused.
	closed atomic.Bool
	// deadline is set by the signal.
	deadline atomic.Pointer[time.Time]
	signed   chan struct{}
}

func newStopper(n *Node) *stopper {
	return &stopper{node: n, signed: make(chan struct{}, 1)}
}

// signal begins the stop. It may be called repeatedly and from any goroutine.
func (s *stopper) signal() {
	if s.begun.Swap(true) {
		return
	}
	end := time.Now().Add(s.node.live.Load().Stop.Grace.Std() - stopMargin)
	s.deadline.Store(&end)
	s.node.log.Info().Str("event", "stopping").Msg("node tells callers to go elsewhere")
	s.signed <- struct{}{}
}

// run returns true once the stop is over, or false if ctx ended first.
func (s *stopper) run(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.signed:
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
	if !s.await(ctx, s.end(), func() bool { return s.inFlight() == 0 }) {
		return false
	}
	n.stopCallers()
	// Answers that peers have not read in full yet are still on their streams. Streams to a
	// node that has died stay open longer.
	if !s.await(ctx, time.Now().Add(answersWait), func() bool { return n.peers.Streams() == 0 }) {
		return false
	}
	n.log.Info().Str("event", "drained").Int64("in_flight", s.inFlight()).Msg("node takes no new calls")
	return true
}

// await waits until done, the given time or the end of the stop. It returns false if ctx
// ended first.
func (s *stopper) await(ctx context.Context, until time.Time, done func() bool) bool {
	for !done() && time.Now().Before(until) && time.Now().Before(s.end()) {
		if !pause(ctx, stopPoll) {
			return false
		}
	}
	return true
}

// end returns when the node must have stopped.
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

// pause returns false if ctx ended before the time was over.
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
