package routing

import (
	"time"

	"auburnladder.example/core/steady"
)

// outlierState is what the sweeping goroutine remembers about one endpoint.
type outlierState struct {
	windowStart time.Time
	succeeded   uint64 // counter at windowStart
	failed      uint64 // counter at windowStart
	ejections   uint   // exponent of the next duration
	lastEnd     time.Time
}

// EventKind says what a sweep did.
type EventKind uint8

const (
	// Ejected means that a server gets no requests for a while.
	Ejected EventKind = iota
	// Spared means that a server failed, but too many others are ejected already.
	Spared
)

// Event reports one decision of a sweep, for the journal and the metrics.
type Event struct {
	Kind     EventKind
	Endpoint *Endpoint
	// Duration is how long the server is ejected.
	Duration time.Duration
	// FailureShare and OthersShare are the shares of failures in the window.
	FailureShare float64
	OthersShare  float64
}

// share is a count of outcomes.
type share struct {
	failed, total uint64
}

func (s share) value() float64 {
	if s.total == 0 {
		return 0
	}
	return float64(s.failed) / float64(s.total)
}

// Sweep ejects the servers whose outcomes are worse than those of the others of
// their service. The driver calls it several times a second.
func (d *Directory) Sweep(now time.Time) []Event {
	var events []Event
	for _, t := range *d.tables.Load() {
		events = append(events, d.sweepTable(now, t)...)
	}
	return events
}

func (d *Directory) sweepTable(now time.Time, t *Table) []Event {
	shares := make([]share, len(t.Endpoints))
	var all share
	ejected := 0
	for i, e := range t.Endpoints {
		shares[i] = d.windowShare(now, e)
		all.failed += shares[i].failed
		all.total += shares[i].total
		if e.Ejected(now) {
			ejected++
		}
	}
	limit := int(d.cfg.Outlier.MaxShare * float64(len(t.Endpoints)))
	var events []Event
	for i, e := range t.Endpoints {
		others := share{failed: all.failed - shares[i].failed, total: all.total - shares[i].total}
		if e.Ejected(now) || !d.isOutlier(e, shares[i], others) {
			continue
		}
		ev := Event{Kind: Spared, Endpoint: e, FailureShare: shares[i].value(), OthersShare: others.value()}
		if ejected < limit {
			ejected++
			ev.Kind = Ejected
			ev.Duration = d.eject(now, e)
		}
		events = append(events, ev)
	}
	return events
}

// windowShare returns the outcomes of e in the running window, and starts the next
// window when this one is over.
func (d *Directory) windowShare(now time.Time, e *Endpoint) share {
	st := d.outliers[e]
	if st == nil {
		st = &outlierState{windowStart: now}
		d.outliers[e] = st
	}
	ok := e.succeeded.Load()
	failed := e.failed.Load()
	s := share{failed: failed - st.failed, total: failed - st.failed + ok - st.succeeded}
	if now.Sub(st.windowStart) >= d.cfg.Outlier.Window {
		st.windowStart = now
		st.succeeded = ok
		st.failed = failed
	}
	return s
}

// isOutlier compares a server with the others. Failures that all servers share
// point at something else, for example overload, and eject none.
func (d *Directory) isOutlier(e *Endpoint, own, others share) bool {
	cfg := &d.cfg.Outlier
	row := e.consecutive.Load()
	if e.probation.Load() > 0 && row > 0 {
		return true
	}
	limit := others.value() + cfg.Margin
	if row >= cfg.Consecutive {
		return limit < 1
	}
	return own.total >= cfg.MinSamples && own.value() > limit
}

// eject takes e out of the choice and returns for how long. On its return it is on
// probation, and cold.
func (d *Directory) eject(now time.Time, e *Endpoint) time.Duration {
	cfg := &d.cfg.Outlier
	st := d.outliers[e]
	for st.ejections > 0 && now.Sub(st.lastEnd) >= cfg.Forgive {
		st.ejections--
		st.lastEnd = st.lastEnd.Add(cfg.Forgive)
	}
	duration := min(cfg.Max, cfg.Base<<min(st.ejections, maxDoublings))
	st.ejections++
	st.lastEnd = now.Add(duration)
	st.windowStart = now
	st.succeeded = e.succeeded.Load()
	st.failed = e.failed.Load()
	e.consecutive.Store(0)
	e.probation.Store(cfg.ProbationSuccesses)
	e.coldSince.Store(steady.Nanos(st.lastEnd))
	e.ejectedUntil.Store(steady.Nanos(st.lastEnd))
	return duration
}

// maxDoublings keeps the doubled duration far from overflow.
const maxDoublings = 16

// forget drops the state of endpoints that are in no table.
func (d *Directory) forget(tables map[string]*Table) {
	current := make(map[*Endpoint]bool, len(d.outliers))
	for _, t := range tables {
		for _, e := range t.Endpoints {
			current[e] = true
		}
	}
	for e := range d.outliers {
		if !current[e] {
			delete(d.outliers, e)
		}
	}
}
