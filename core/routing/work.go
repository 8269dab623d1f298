package routing

import (
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
)

const (
	// usualStep is the weight of a report in the average slowdown and in the mean work of the service.
	usualStep = 1.0 / 32
	// usualWorkStep is the weight of a report in the average of a server's outstanding work. It lets the
	// work of a fast server rise until it is no better than the others, also for nodes with old reports.
	usualWorkStep = 1.0 / 8
	// percentUnit converts a slowdown to percent.
	percentUnit = 100
	// minSlowdownPercent and maxSlowdownPercent limit the slowdown that a node reports.
	minSlowdownPercent = 10
	maxSlowdownPercent = 5000
	// usualUnit is the number of parts of a percent in which the usual slowdown is stored.
	usualUnit = 1000
	// refusedUnit is the number of parts in which the share of refused attempts is stored.
	refusedUnit = 1e6
)

// endpointWork is what a node knows about the outstanding work and the speed of a server. Work is service
// time at a server of the usual speed.
type endpointWork struct {
	// service holds the averages over the servers of the service.
	service *serviceWork
	// own is the expected work of this node's attempts in flight, in nanoseconds.
	own atomic.Int64
	// others is the reported work less this node's share, in nanoseconds.
	others atomic.Int64
	// usual is the average of others; 0 before the first report.
	usual atomic.Int64
	// slowdown is the reported time that work takes, in percent of the usual time, and usualSlowdown its
	// average in thousandths of that; 0 before the first report.
	slowdown      atomic.Uint32
	usualSlowdown atomic.Uint32
	reportedAt    atomic.Int64 // Unix nanoseconds, 0 before the first report
}

// serviceWork is shared by the endpoints of a service.
type serviceWork struct {
	// perSlot is the mean reported work per slot, in nanoseconds.
	perSlot atomic.Int64
	// perRequest is the mean reported work per accepted request, in nanoseconds.
	perRequest atomic.Int64
	// refused is the share of the latest attempts that were refused, in millionths.
	refused atomic.Int64
}

// recordOutcome counts an attempt in the share of the refused ones.
func (s *serviceWork) recordOutcome(kind OutcomeKind) {
	switch kind {
	case Cancelled, Unreachable, Starting:
	case Refused:
		s.refused.Store(int64(average(float64(s.refused.Load()), refusedUnit)))
	default:
		s.refused.Store(int64(average(float64(s.refused.Load()), 0)))
	}
}

// RefusedShare returns the share of the latest attempts at the servers of the service that were refused.
func (t *Table) RefusedShare() float64 { return float64(t.work.refused.Load()) / refusedUnit }

// AcceptedWork returns the mean work that is left of a request which a server of the service has accepted;
// 0 before the first report.
func (t *Table) AcceptedWork() time.Duration { return time.Duration(t.work.perRequest.Load()) }

// StartWork counts the expected work of an attempt as in flight. It is called before the attempt is sent.
func (e *Endpoint) StartWork(expected time.Duration) { e.work.own.Add(int64(expected)) }

// EndWork removes what StartWork counted. It is called before Done.
func (e *Endpoint) EndWork(expected time.Duration) { e.work.own.Add(-int64(expected)) }

// storeWork stores the reported work, less this node's share, of which local attempts are in flight.
func (e *Endpoint) storeWork(now time.Time, local int32, l *Load) {
	w := &e.work
	requests := int64(l.InFlight) + int64(l.Queued)
	total, slowdown := max(0, int64(l.Work)), min(l.SlowdownPercent, maxSlowdownPercent)
	if slowdown == 0 {
		// The server's node does not know; its requests count like those of other servers.
		total, slowdown = requests*w.service.perRequest.Load(), percentUnit
	} else if requests > 0 {
		updateMean(&w.service.perRequest, total/requests)
	}
	slowdown = max(slowdown, minSlowdownPercent)
	others := total
	if requests > 0 {
		others -= total / requests * min(int64(max(local, 0)), requests)
	}
	w.others.Store(others)
	previous := w.usual.Load()
	if w.reportedAt.Load() == 0 {
		previous = w.service.perSlot.Load() * int64(l.Limit)
	}
	w.usual.Store(previous + int64(float64(others-previous)*usualWorkStep))
	w.slowdown.Store(slowdown)
	usual := float64(w.usualSlowdown.Load()) / usualUnit
	if usual == 0 {
		// The first report may come from a moment in which the server is slow.
		usual = float64(percentUnit+slowdown) / 2
	}
	w.usualSlowdown.Store(uint32(average(usual, float64(slowdown)) * usualUnit))
	if l.Limit > 0 {
		updateMean(&w.service.perSlot, total/int64(l.Limit))
	}
	w.reportedAt.Store(steady.Nanos(now))
}

// updateMean moves a mean towards a sample. The first sample becomes the mean.
func updateMean(mean *atomic.Int64, sample int64) {
	old := mean.Load()
	if old == 0 {
		old = sample
	}
	mean.Store(int64(average(float64(old), float64(sample))))
}

func average(mean, sample float64) float64 { return mean + (sample-mean)*usualStep }

// Expectation is when an attempt at a server is expected to end, and the figures behind it.
type Expectation struct {
	// End is the time until the attempt ends, of which Wait is the time until it starts to run.
	End, Wait time.Duration
	// Outstanding is the work that the server has accepted, including this node's attempts, and PerSlot
	// the part of it for each slot.
	Outstanding, PerSlot time.Duration
	// Slowdown is how long work takes, as a multiple of the usual time.
	Slowdown float64
	// Age is the age of the latest report; Reported is false if there is none.
	Age      time.Duration
	Reported bool
}

// Expect returns when an attempt of the expected work ends if it is sent now. As a report ages, the
// outstanding work approaches the mean of the service, and the slowdown that of the server.
func (e *Endpoint) Expect(now time.Time, work time.Duration) Expectation {
	w := &e.work
	slots := uint32(e.packedLoad.Load())
	if slots == 0 {
		slots = e.slots.Load()
	}
	x := Expectation{Slowdown: 1}
	others := float64(w.service.perSlot.Load()) * float64(slots)
	if at := w.reportedAt.Load(); at != 0 {
		x.Reported, x.Age = true, time.Duration(steady.Nanos(now)-at)
		fresh := decay(x.Age, e.cfg.WorkHalfLife)
		others = float64(w.usual.Load())
		others += (float64(w.others.Load()) - others) * fresh
		usual := float64(w.usualSlowdown.Load()) / usualUnit
		x.Slowdown = (usual + (float64(w.slowdown.Load())-usual)*decay(x.Age, e.cfg.SpeedHalfLife)) / percentUnit
	}
	outstanding := others + float64(max(0, w.own.Load()))
	x.Outstanding = time.Duration(outstanding)
	x.PerSlot = time.Duration(outstanding / float64(max(slots, 1)))
	x.Wait = time.Duration(float64(x.PerSlot) * x.Slowdown)
	x.End = x.Wait + time.Duration(float64(work)*x.Slowdown)
	return x
}

// WorkPerSlot returns the mean reported work per slot of the servers of the service; 0 before the first
// report.
func (t *Table) WorkPerSlot() time.Duration { return time.Duration(t.work.perSlot.Load()) }
