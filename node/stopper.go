package node

import (
	"context"
	"sync/atomic"
	"time"
)

// stopMargin is how long before the end of the grace the node exits with requests still
// in flight, so that their connections are closed in order.
const stopMargin = 300 * time.Millisecond

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
	signed chan struct{}
}

func newStopper(n *Node) *stopper {
	return &stopper{node: n, signed: make(chan struct{}, 1)}
}

// signal begins the stop. It may be called repeatedly and from any goroutine.
func (s *stopper) signal() {
	if s.begun.Swap(true) {
		return
	}
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
	end := time.Now().Add(n.live.Load().Stop.Grace.Std() - stopMargin)
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
	for time.Now().Before(end) && s.inFlight() > 0 {
		if !pause(ctx, stopPoll) {
			return false
		}
	}
	n.log.Info().Str("event", "drained").Int64("in_flight", s.inFlight()).Msg("node takes no new calls")
	return true
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
