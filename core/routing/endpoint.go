package routing

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
)

// Server identifies one backend server and says where it is.
type Server struct {
	// VM is the id of the virtual machine in the published list.
	VM      string
	Service string
	Domain  string
	Region  string
	// Peer is the address of the server's node.
	Peer netip.AddrPort
	// Leaving excludes the server from new work.
	Leaving bool
	// Instance identifies the run of the server; a new run starts cold. "" if unknown.
	Instance string
	// Slots is the number of requests that the server works on at once; 0 if the
	// service's configuration says.
	Slots int
}

// Load is the state of a backend server as its own node counts it.
type Load struct {
	InFlight uint32
	Queued   uint32
	// Limit is the number of requests that the node admits at once; 0 if unknown.
	Limit   uint32
	Leaving bool
}

// OutcomeKind classifies the end of an attempt as far as the choice needs it.
type OutcomeKind uint8

const (
	// Cancelled says nothing about the server, for example when the caller left.
	Cancelled OutcomeKind = iota
	// Success is an answer other than a server error.
	Success
	// Failure is a server error, a timeout or a broken answer.
	Failure
	// Shed is an answer with status 503 of the server itself. It counts in the
	// failure share, but not as one of several failures in a row.
	Shed
	// Refused is a refusal by the server's node, with a time to leave it alone.
	Refused
	// Unreachable means that the server's node couldn't be reached.
	Unreachable
	// Starting is a refusal because the server isn't ready; it is cold afterwards.
	Starting
)

// Outcome is the end of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// RetryAfter is how long the server asked to be left alone.
	RetryAfter time.Duration
	// Load is what the reply carried, or nil.
	Load *Load
}

// Endpoint is one backend server as a candidate. All methods may be called by
// many goroutines at once.
type Endpoint struct {
	// Server is fixed; its Leaving is always false, see leaving.
	Server
	cfg      *Config
	distance int // from the node to the server

	slots        atomic.Uint32 // requests that the server works on at once
	leaving      atomic.Bool   // from the published list
	inFlight     atomic.Int32
	others       atomic.Uint64 // load by others (high 32 bits) and limit (low 32 bits)
	reportedAt   atomic.Int64  // unix nanoseconds, as the fields below
	coldSince    atomic.Int64
	leavingUntil atomic.Int64
	refusedUntil atomic.Int64
	heldUntil    atomic.Int64
	ejectedUntil atomic.Int64

	probation   atomic.Uint32 // successes still missing
	consecutive atomic.Uint32 // failures in a row
	succeeded   atomic.Uint64
	failed      atomic.Uint64
}

// Start counts an attempt that is about to be sent.
func (e *Endpoint) Start() {
	e.inFlight.Add(1)
}

// Done counts the end of an attempt that Start counted.
func (e *Endpoint) Done(now time.Time, o Outcome) {
	own := e.inFlight.Add(-1)
	if o.Load != nil {
		e.report(now, own, o.Load)
	}
	switch o.Kind {
	case Success:
		e.consecutive.Store(0)
		e.succeeded.Add(1)
		e.endProbation()
	case Failure:
		e.consecutive.Add(1)
		e.failed.Add(1)
	case Shed:
		e.failed.Add(1)
	case Refused:
		raise(&e.refusedUntil, now.Add(o.RetryAfter))
	case Starting:
		raise(&e.refusedUntil, now.Add(o.RetryAfter))
		e.coldSince.Store(steady.Nanos(now))
	case Unreachable:
		e.consecutive.Add(1)
		raise(&e.heldUntil, now.Add(e.cfg.UnreachableHold))
	}
}

// report stores the load that the server's node counted, without this node's share.
func (e *Endpoint) report(now time.Time, own int32, l *Load) {
	others := uint64(l.InFlight) + uint64(l.Queued)
	others -= min(others, uint64(max(own, 0)))
	others = min(others, math.MaxUint32)
	e.others.Store(others<<32 | uint64(l.Limit))
	e.reportedAt.Store(steady.Nanos(now))
	if l.Leaving {
		raise(&e.leavingUntil, now.Add(e.cfg.LeavingHold))
	}
}

func (e *Endpoint) endProbation() {
	for {
		left := e.probation.Load()
		if left == 0 || e.probation.CompareAndSwap(left, left-1) {
			return
		}
	}
}

// InFlight returns the attempts of this node that haven't ended.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load())
}

// Load returns the estimated load with one more request, as a share of the limit.
// Values above 1 mean that the request would have to wait.
func (e *Endpoint) Load(now time.Time) float64 {
	packed := e.others.Load()
	limit := uint32(packed)
	if limit == 0 {
		limit = e.slots.Load()
	}
	age := time.Duration(steady.Nanos(now) - e.reportedAt.Load())
	others := float64(packed>>32) * decay(age, e.cfg.LoadHalfLife)
	return (float64(e.inFlight.Load()) + others + 1) / float64(limit)
}

// Weight returns the share of full speed that the server has reached since it
// became cold: from ColdWeight to 1 over slowStart.
func (e *Endpoint) Weight(now time.Time, slowStart time.Duration) float64 {
	age := time.Duration(steady.Nanos(now) - e.coldSince.Load())
	if age >= slowStart || slowStart <= 0 {
		return 1
	}
	progress := float64(max(age, 0)) / float64(slowStart)
	return e.cfg.ColdWeight + (1-e.cfg.ColdWeight)*progress
}

// Blocked reports whether the server must not be used: it leaves, or it refused
// and its time isn't over.
func (e *Endpoint) Blocked(now time.Time) bool {
	at := steady.Nanos(now)
	return e.leaving.Load() || at < e.leavingUntil.Load() || at < e.refusedUntil.Load()
}

// Suspect reports whether the server should be used only if no other is left: it
// is ejected, on probation with a request in flight, or couldn't be reached.
func (e *Endpoint) Suspect(now time.Time) bool {
	at := steady.Nanos(now)
	if at < e.ejectedUntil.Load() || at < e.heldUntil.Load() {
		return true
	}
	return e.probation.Load() > 0 && e.inFlight.Load() > 0
}

// Ejected reports whether the server is ejected as an outlier.
func (e *Endpoint) Ejected(now time.Time) bool {
	return steady.Nanos(now) < e.ejectedUntil.Load()
}

// refusalLeft returns the time until a refusal ends, or 0 if waiting doesn't help.
func (e *Endpoint) refusalLeft(now time.Time) time.Duration {
	at := steady.Nanos(now)
	if e.leaving.Load() || at < e.leavingUntil.Load() {
		return 0
	}
	return max(0, time.Duration(e.refusedUntil.Load()-at))
}

// raise sets v to t unless it is later already.
func raise(v *atomic.Int64, t time.Time) {
	for {
		old := v.Load()
		if old >= steady.Nanos(t) || v.CompareAndSwap(old, steady.Nanos(t)) {
			return
		}
	}
}

// decay returns 0.5^(age/halfLife), from a straight line between powers of two.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	halves := age / halfLife
	if halves > 30 {
		return 0
	}
	rest := float64(age-halves*halfLife) / float64(halfLife)
	return (1 - rest/2) / float64(uint64(1)<<halves)
}
