package node

import (
	"context"
	"sync/atomic"
	"time"
)

// stopMargin is how long before the end of the grace period the node exits even if requests
// are still in flight, so that it can close their connections in order.
const stopMargin = 300 * time.Millisecond

// exitMargin is the part of stopMargin after which the node exits whatever it still has to stop.
const exitMargin = 100 * time.Millisecond

// responseReadTimeout bounds the wait for peers to read the last responses. It allows for
// several round trips and the time to read the largest response.
const responseReadTimeout = 500 * time.Millisecond

// inFlightPollInterval is the interval between two checks for requests in flight.
const inFlightPollInterval = 20 * time.Millisecond

// peersShare is the fraction of the unready time (setting stop.unready) after which the node
// refuses calls of peers. In the rest, the backend server can still make calls through the node
// for its last requests.
const peersShare = 0.4

// stopper takes a node out of service if its source is a key-value store; it sends no stop
// request to the backend server. The node first fails its readiness check while it still
// serves, then refuses calls of peers, then refuses new requests of callers, and stops once no
// request is in flight. Shortly before the deadline it ends the requests that are still in flight
// with a response that says whether they may have run.
type stopper struct {
	node *Node
	// stopping is set when the stop signal arrives; the readiness check fails from then on.
	stopping atomic.Bool
	// refusingCallers is set once new requests of callers are refused.
	refusingCallers atomic.Bool
	// deadline is when the node must have stopped; nil before the stop signal.
	deadline atomic.Pointer[time.Time]
	// signalled receives one value, from the first call of signal.
	signalled chan struct{}
}

func newStopper(n *Node) *stopper {
	return &stopper{node: n, signalled: make(chan struct{}, 1)}
}

// signal starts the stop and sets its deadline. It may be called repeatedly and from any
// goroutine; only the first call has an effect.
func (s *stopper) signal() {
	if s.stopping.Swap(true) {
		return
	}
	end := time.Now().Add(s.node.current.Load().Stop.Grace.Std() - stopMargin)
	s.deadline.Store(&end)
	s.node.endRequestsBefore(end)
	s.node.log.Info().Str("event", "stopping").Msg("stop signal received; readiness check fails from now on, requests are still served")
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
	stop := n.current.Load().Stop
	unready := stop.AcceptFor(time.Until(s.end()))
	servePeersFor := time.Duration(peersShare * float64(unready))
	if !sleep(ctx, servePeersFor) {
		return false
	}
	n.command.SetLeaving(true, "stop signal")
	if !sleep(ctx, unready-servePeersFor) {
		return false
	}
	s.refusingCallers.Store(true)
	if !s.waitUntil(ctx, s.end(), func() bool { return s.inFlight() == 0 }) {
		return false
	}
	s.logStage("requests ended")
	n.stopCallers()
	s.logStage("connections of callers closed")
	n.follower.Stop()
	// A stream stays open until the peer has read the complete response. A stream to a node
	// that has failed stays open longer, so the wait is bounded.
	if !s.waitUntil(ctx, time.Now().Add(responseReadTimeout), func() bool { return n.peers.Streams() == 0 }) {
		return false
	}
	n.log.Info().Str("event", "drained").Int64("in_flight", s.inFlight()).Dur("left_ms", time.Until(s.end())).Msg("drain finished; node stops")
	return true
}

// logStage logs that the stop has reached a stage, with the time left until the deadline.
func (s *stopper) logStage(stage string) {
	s.node.log.Info().Str("event", "stop-stage").Int64("in_flight", s.inFlight()).
		Dur("left_ms", time.Until(s.end())).Msg(stage)
}

// waitUntil waits until done returns true, until the given time or until the deadline of the
// stop, whichever is first. It returns false if ctx ended first.
func (s *stopper) waitUntil(ctx context.Context, until time.Time, done func() bool) bool {
	for !done() && time.Now().Before(until) && time.Now().Before(s.end()) {
		if !sleep(ctx, inFlightPollInterval) {
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

// requestsEnd returns when the requests of callers must have ended, or the zero time if there was
// no stop signal.
func (s *stopper) requestsEnd() time.Time {
	if at := s.deadline.Load(); at != nil {
		return at.Add(-answerMargin)
	}
	return time.Time{}
}

// inFlight returns the number of requests in flight: calls of peers at the egress and requests
// of callers.
func (s *stopper) inFlight() int64 {
	total := s.node.egress.Active()
	for _, in := range s.node.ingresses {
		total += in.Active()
	}
	return total
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
