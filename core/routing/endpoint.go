package routing

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/core/vmlist"
)

// Server identifies a backend server and its location.
type Server struct {
	// VM is the id of the virtual machine in the published list.
	VM      string
	Service string
	Domain  string
	Region  string
	// Peer is the address of the server's node.
	Peer netip.AddrPort
	// Leaving excludes the server from new requests.
	Leaving bool
	// Evacuated excludes the server from new requests while its failure domain is evacuated.
	Evacuated bool
	// Run identifies the process of the server and changes with each restart, which begins a
	// new warm-up. It is the zero value if unknown.
	Run vmlist.Run
	// Slots is the number of requests that the server processes concurrently; 0 selects
	// the value in the service's configuration.
	Slots int
	// Cold is what the published list says about how much longer the server stays cold. It changes with
	// each entry of the server.
	Cold ColdReport
}

// Load is the load of a backend server as reported by its node.
type Load struct {
	InFlight uint32
	Queued   uint32
	// Limit is the number of requests that the node admits concurrently; 0 if unknown.
	Limit   uint32
	Leaving bool
	// Cold is how much longer the server stays cold; 0 if it is warm. StartRate is the number of
	// requests per second that may start meanwhile; 0 selects the value in the service's configuration.
	Cold      time.Duration
	StartRate float64
	// Work is the expected rest of the requests in flight and queued, at the usual speed, and
	// SlowdownPercent how long work takes in percent of the usual time. Both are unknown if
	// SlowdownPercent is 0.
	Work            time.Duration
	SlowdownPercent uint32
	// Waits are used if WaitsKnown is set.
	Waits      Waits
	WaitsKnown bool
}

// OutcomeKind classifies the outcome of an attempt for later picks.
type OutcomeKind uint8

const (
	// Cancelled is not counted for or against the server, for example because the caller
	// disconnected.
	Cancelled OutcomeKind = iota
	// Success is a response other than a server error.
	Success
	// Failure is a server error, a timeout or an incomplete or malformed response.
	Failure
	// Shed is a response with status 503 from the server itself. It counts towards the
	// failure share, but not towards the consecutive failures.
	Shed
	// Refused is a refusal by the server's node. The server gets no attempts until
	// Outcome.RetryAfter has passed.
	Refused
	// Unreachable means that the server's node could not be reached.
	Unreachable
	// Starting is a refusal because the server is not ready yet. It restarts the
	// server's warm-up.
	Starting
)

// Outcome is the outcome of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// RetryAfter is how long the server gets no further attempts after a refusal.
	RetryAfter time.Duration
	// Load is the load reported in the reply, or nil.
	Load *Load
}

// Endpoint is a backend server that can be picked, with its state as seen by this node.
// All methods are safe for concurrent use.
type Endpoint struct {
	// Server does not change. Its fields Leaving, Evacuated and Cold always have the zero value; the
	// fields leaving, evacuated and cold hold the current values.
	Server
	cfg      *Config
	distance int // between this node and the server

	slots            atomic.Uint32 // requests that the server processes concurrently
	leaving          atomic.Bool   // from the published list
	evacuated        atomic.Bool   // from the published evacuations
	inFlight         atomic.Int32
	packedLoad       atomic.Uint64 // load from other nodes (high 32 bits) and limit (low 32 bits)
	reportedAt       atomic.Int64  // Unix nanoseconds, like the fields below
	warmUpStart      atomic.Int64
	leavingUntil     atomic.Int64
	refusedUntil     atomic.Int64
	unreachableUntil atomic.Int64
	ejectedUntil     atomic.Int64

	cold    coldShare
	waits   atomic.Uint64 // four waits of 16 bits each
	waitsAt atomic.Int64

	probation   atomic.Uint32 // successes needed until the probation ends
	consecutive atomic.Uint32 // consecutive failures
	succeeded   atomic.Uint64
	failed      atomic.Uint64

	work endpointWork
}

// Start counts an attempt as in flight. It is called before the attempt is sent.
func (e *Endpoint) Start() {
	e.inFlight.Add(1)
}

// Done records the outcome of an attempt that was counted by Start.
func (e *Endpoint) Done(now time.Time, o Outcome) {
	local := e.inFlight.Add(-1)
	if o.Load != nil {
		e.storeLoad(now, local, o.Load)
		e.cold.hear(now, o.Load.Cold, o.Load.StartRate)
	}
	e.work.service.recordOutcome(o.Kind)
	switch o.Kind {
	case Success:
		e.consecutive.Store(0)
		e.succeeded.Add(1)
		e.countProbationSuccess()
	case Failure:
		e.consecutive.Add(1)
		e.failed.Add(1)
	case Shed:
		e.failed.Add(1)
	case Refused:
		storeMax(&e.refusedUntil, now.Add(o.RetryAfter))
	case Starting:
		storeMax(&e.refusedUntil, now.Add(o.RetryAfter))
		e.warmUpStart.Store(steady.Nanos(now))
	case Unreachable:
		e.consecutive.Add(1)
		storeMax(&e.unreachableUntil, now.Add(e.cfg.UnreachableBackoff))
	}
}

// storeLoad stores the load that the server's node reported, less this node's share.
func (e *Endpoint) storeLoad(now time.Time, local int32, l *Load) {
	others := uint64(l.InFlight) + uint64(l.Queued)
	others -= min(others, uint64(max(local, 0)))
	others = min(others, math.MaxUint32)
	e.packedLoad.Store(others<<32 | uint64(l.Limit))
	e.reportedAt.Store(steady.Nanos(now))
	e.storeWork(now, local, l)
	if l.WaitsKnown {
		e.storeWaits(now, l.Waits)
	}
	if l.Leaving {
		storeMax(&e.leavingUntil, now.Add(e.cfg.LeavingBackoff))
	}
}

// countProbationSuccess counts one success towards the end of the probation, if there
// is one.
func (e *Endpoint) countProbationSuccess() {
	for {
		remaining := e.probation.Load()
		if remaining == 0 || e.probation.CompareAndSwap(remaining, remaining-1) {
			return
		}
	}
}

// InFlight returns the number of attempts of this node that have not ended.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load())
}

// Load returns the estimated load including one more request, as a fraction of the
// limit. A value above 1 means that the request would be queued.
func (e *Endpoint) Load(now time.Time) float64 {
	packed := e.packedLoad.Load()
	limit := uint32(packed)
	if limit == 0 {
		limit = e.slots.Load()
	}
	age := time.Duration(steady.Nanos(now) - e.reportedAt.Load())
	others := float64(packed>>32) * decay(age, e.cfg.LoadHalfLife)
	return (float64(e.inFlight.Load()) + others + 1) / float64(limit)
}

// Weight returns the fraction of full weight that the server has reached in its
// warm-up. It rises linearly from Config.InitialWeight to 1 over slowStart.
func (e *Endpoint) Weight(now time.Time, slowStart time.Duration) float64 {
	age := time.Duration(steady.Nanos(now) - e.warmUpStart.Load())
	if age >= slowStart || slowStart <= 0 {
		return 1
	}
	progress := float64(max(age, 0)) / float64(slowStart)
	return e.cfg.InitialWeight + (1-e.cfg.InitialWeight)*progress
}

// Blocked reports whether the server must not be used, because it is leaving, its failure domain is
// evacuated, the time to wait after a refusal has not passed, or it is cold and this node has used up
// its share.
func (e *Endpoint) Blocked(now time.Time) bool {
	at := steady.Nanos(now)
	return e.leaving.Load() || e.evacuated.Load() || at < e.leavingUntil.Load() || at < e.refusedUntil.Load() ||
		at < e.cold.heldUntil()
}

// Suspect reports whether the server should be used only if there is no other: it is
// ejected, on probation with a request in flight, or recently could not be reached.
func (e *Endpoint) Suspect(now time.Time) bool {
	at := steady.Nanos(now)
	if at < e.ejectedUntil.Load() || at < e.unreachableUntil.Load() {
		return true
	}
	return e.probation.Load() > 0 && e.inFlight.Load() > 0
}

// Ejected reports whether the server is ejected as an outlier.
func (e *Endpoint) Ejected(now time.Time) bool {
	return steady.Nanos(now) < e.ejectedUntil.Load()
}

// refusalRemaining returns the time until a refusal expires, or 0 if there is none or
// the server is leaving.
func (e *Endpoint) refusalRemaining(now time.Time) time.Duration {
	at := steady.Nanos(now)
	if e.leaving.Load() || at < e.leavingUntil.Load() {
		return 0
	}
	return max(0, time.Duration(max(e.refusedUntil.Load(), e.cold.heldUntil())-at))
}

// storeMax atomically sets v to t unless v already holds a later time.
func storeMax(v *atomic.Int64, t time.Time) {
	for {
		old := v.Load()
		if old >= steady.Nanos(t) || v.CompareAndSwap(old, steady.Nanos(t)) {
			return
		}
	}
}

// decay returns an approximation of 0.5^(age/halfLife) that interpolates linearly between
// the powers of two.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	halves := age / halfLife
	if halves > 30 {
		return 0
	}
	fraction := float64(age-halves*halfLife) / float64(halfLife)
	return (1 - fraction/2) / float64(uint64(1)<<halves)
}
