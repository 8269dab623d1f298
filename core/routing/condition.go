package routing

import (
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
)

// Condition is what limits the use of a server now. Durations are remaining times, 0 if the limit does not
// apply.
type Condition struct {
	// Evacuated, and Listed for a server that is leaving, follow from the published state.
	Evacuated, Listed bool
	// Leaving follows from a reply of the server's node.
	Leaving time.Duration
	// Refused is the backoff after a refusal by the server's node.
	Refused time.Duration
	// Ejected follows from the failures that this node saw, Unreachable from its connections.
	Ejected, Unreachable time.Duration
	// Probation is the number of successes until a server that was ejected is used normally.
	Probation uint32
	Cold      ColdCondition
}

// ColdCondition is the cold time of a server and this node's share of its requests.
type ColdCondition struct {
	// Left is how much longer the server stays cold; 0 if it is warm.
	Left time.Duration
	// Heard reports whether Left follows from a reply of the server's node, not from the published list.
	Heard bool
	// PerSecond is this node's share of the requests per second, and Next the time until the next one of
	// them.
	PerSecond float64
	Next      time.Duration
}

// Condition returns what limits the use of the server. It changes nothing.
func (e *Endpoint) Condition(now time.Time) Condition {
	at := steady.Nanos(now)
	return Condition{
		Evacuated:   e.evacuated.Load(),
		Listed:      e.leaving.Load(),
		Leaving:     remaining(at, &e.leavingUntil),
		Refused:     remaining(at, &e.refusedUntil),
		Ejected:     remaining(at, &e.ejectedUntil),
		Unreachable: remaining(at, &e.unreachableUntil),
		Probation:   e.probation.Load(),
		Cold:        e.cold.condition(at),
	}
}

func remaining(at int64, until *atomic.Int64) time.Duration {
	return max(0, time.Duration(until.Load()-at))
}

func (c *coldShare) condition(at int64) ColdCondition {
	until, spacing := c.until.Load(), c.spacing.Load()
	if at >= until || spacing == 0 {
		return ColdCondition{}
	}
	return ColdCondition{
		Left:      time.Duration(until - at),
		Heard:     c.heardUntil.Load() == until,
		PerSecond: float64(time.Second) / float64(spacing),
		Next:      max(0, time.Duration(min(until, c.next.Load())-at)),
	}
}

// ReportedWait is the wait for a slot that a server's node reported.
type ReportedWait struct {
	Wait time.Duration
	// Refuses reports that a request of the rank would be refused.
	Refuses bool
	Age     time.Duration
	// Used reports whether the report is recent enough for Table.Lateness.
	Used bool
}

// ReportedWait returns the wait that the server's node reported last for a rank, or false if it reported none.
func (e *Endpoint) ReportedWait(now time.Time, rank uint32) (ReportedWait, bool) {
	at := e.waitsAt.Load()
	if at == 0 {
		return ReportedWait{}, false
	}
	_, fresh := e.wait(now, rank)
	ms := e.packedWait(rank)
	return ReportedWait{
		Wait:    time.Duration(ms%WaitRefused) * time.Millisecond,
		Refuses: ms >= WaitRefused,
		Age:     time.Duration(steady.Nanos(now) - at),
		Used:    fresh,
	}, true
}

// LoadAge returns the age of the load that the server's node reported last, or false if it reported none.
func (e *Endpoint) LoadAge(now time.Time) (time.Duration, bool) {
	at := e.reportedAt.Load()
	return time.Duration(steady.Nanos(now) - at), at != 0
}

// Preview returns a copy of t whose picks don't count for those of t.
func (t *Table) Preview() *Table {
	c := *t
	c.PickCount = new(atomic.Uint64)
	if t.PickCount != nil {
		c.PickCount.Store(t.PickCount.Load())
	}
	return &c
}
