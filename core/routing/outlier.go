package routing

import (
	"time"

	"auburnladder.example/core/steady"
)

// outlierState is the state of Sweep for one endpoint. Only the goroutine that calls
// Sweep and Update uses it.
type outlierState struct {
	windowStart     time.Time
	succeeded       uint64 // counter value at windowStart
	failed          uint64 // counter value at windowStart
	ejections       uint   // doublings of the next ejection time
	lastEjectionEnd time.Time
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Ejected means that a server gets no requests for Event.Duration.
	Ejected EventKind = iota
	// EjectionSkipped means that a server is an outlier but was not ejected, because the
	// maximum share of the servers is ejected already.
	EjectionSkipped
)

// Event is one decision of Sweep, for the journal and the metrics.
type Event struct {
	Kind     EventKind
	Endpoint *Endpoint
	// Duration is the time for which the server is ejected.
	Duration time.Duration
	// FailureShare is the share of failed attempts in the window, OthersShare that of
	// the other servers of the service.
	FailureShare float64
	OthersShare  float64
}

// outcomeCounts holds the number of failed attempts and of all counted attempts.
type outcomeCounts struct {
	failed, total uint64
}

// failureShare returns failed/total, or 0 without outcomes.
func (c outcomeCounts) failureShare() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.failed) / float64(c.total)
}

// Sweep ejects servers whose outcomes are worse than those of the other servers of their
// service. The node's router calls it several times a second.
func (d *Directory) Sweep(now time.Time) []Event {
	var events []Event
	for _, t := range *d.tables.Load() {
		events = append(events, d.sweepTable(now, t)...)
	}
	return events
}

// sweepTable ejects the outliers among the servers of t, up to MaxEjectedShare of them.
func (d *Directory) sweepTable(now time.Time, t *Table) []Event {
	counts := make([]outcomeCounts, len(t.Endpoints))
	var all outcomeCounts
	ejected := 0
	for i, e := range t.Endpoints {
		counts[i] = d.windowCounts(now, e)
		all.failed += counts[i].failed
		all.total += counts[i].total
		if e.Ejected(now) {
			ejected++
		}
	}
	limit := int(d.cfg.Outlier.MaxEjectedShare * float64(len(t.Endpoints)))
	var events []Event
	for i, e := range t.Endpoints {
		others := outcomeCounts{failed: all.failed - counts[i].failed, total: all.total - counts[i].total}
		if e.Ejected(now) || !d.isOutlier(e, counts[i], others) {
			continue
		}
		ev := Event{Kind: EjectionSkipped, Endpoint: e, FailureShare: counts[i].failureShare(), OthersShare: others.failureShare()}
		if ejected < limit {
			ejected++
			ev.Kind = Ejected
			ev.Duration = d.eject(now, e)
		}
		events = append(events, ev)
	}
	return events
}

// windowCounts returns the outcomes of e in the current window, and starts a new window
// if the current one has ended.
func (d *Directory) windowCounts(now time.Time, e *Endpoint) outcomeCounts {
	st := d.outliers[e]
	if st == nil {
		st = &outlierState{windowStart: now}
		d.outliers[e] = st
	}
	ok := e.succeeded.Load()
	failed := e.failed.Load()
	counts := outcomeCounts{failed: failed - st.failed, total: failed - st.failed + ok - st.succeeded}
	if now.Sub(st.windowStart) >= d.cfg.Outlier.Window {
		st.windowStart = now
		st.succeeded = ok
		st.failed = failed
	}
	return counts
}

// isOutlier compares the outcomes of e with those of the other servers. Failures that are
// common to all servers have another cause, for example overload, and eject none.
func (d *Directory) isOutlier(e *Endpoint, counts, others outcomeCounts) bool {
	cfg := &d.cfg.Outlier
	consecutive := e.consecutive.Load()
	if e.probation.Load() > 0 && consecutive > 0 {
		return true
	}
	limit := others.failureShare() + cfg.Margin
	if consecutive >= cfg.ConsecutiveFailures {
		return limit < 1
	}
	return counts.total >= cfg.MinSamples && counts.failureShare() > limit
}

// eject ejects e and returns the duration. After that time the server is on probation and
// begins its warm-up.
func (d *Directory) eject(now time.Time, e *Endpoint) time.Duration {
	cfg := &d.cfg.Outlier
	st := d.outliers[e]
	for st.ejections > 0 && now.Sub(st.lastEjectionEnd) >= cfg.EjectionDecay {
		st.ejections--
		st.lastEjectionEnd = st.lastEjectionEnd.Add(cfg.EjectionDecay)
	}
	duration := min(cfg.MaxEjectionTime, cfg.BaseEjectionTime<<min(st.ejections, maxDoublings))
	st.ejections++
	st.lastEjectionEnd = now.Add(duration)
	st.windowStart = now
	st.succeeded = e.succeeded.Load()
	st.failed = e.failed.Load()
	e.consecutive.Store(0)
	e.probation.Store(cfg.ProbationSuccesses)
	e.warmUpStart.Store(steady.Nanos(st.lastEjectionEnd))
	e.ejectedUntil.Store(steady.Nanos(st.lastEjectionEnd))
	return duration
}

// maxDoublings prevents an overflow of the doubled duration.
const maxDoublings = 16

// pruneOutliers deletes the state of endpoints that are no longer in any table.
func (d *Directory) pruneOutliers(tables map[string]*Table) {
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
