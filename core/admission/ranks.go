package admission

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// rankClasses is the number of ranks with their own figures. All ranks from the last one on
	// share one.
	rankClasses = 4
	// leastShare is the share of the slot time that each rank with demand gets over time, also if
	// more urgent ranks demand all of it.
	leastShare = 0.08
	// idleShare bounds the share of the slots that a reservation leaves idle on average: it exceeds
	// the demand that it is made for by at most this much. With the target of 95 % slot use while
	// requests are queued, it must not be larger.
	idleShare = 0.04
	// urgentWaitShare is the share of its slack that an urgent request may wait for the next slot on
	// average before slots are reserved for it. Waits for a slot are about exponential, so that
	// 1/8 lets about exp(-8) of the urgent requests miss their objective.
	urgentWaitShare = 0.125
	// demandWindow is the time constant of the measured demand. Shorter windows follow bursts sooner
	// but reserve slots by chance at a few requests per second.
	demandWindow = 2 * time.Second
	// demandInterval is the minimum time between two updates of the measured demand.
	demandInterval = 100 * time.Millisecond
	// minDemand is the demand, in slots, below which a rank counts as idle.
	minDemand = 0.001
	// creditWorks is the number of requests for which a rank can save up its least share.
	creditWorks = 2
	// minRefused is the number of successive refusals from which a rank is reported as refused. A rank
	// may have routes of which some are still queued, so that the wait alone does not tell.
	minRefused = 4
	// stallWorks is the time without a change of the slots, in mean service times, from which a full
	// server counts as stalled. The requests in slots may be those that take longer than the mean.
	stallWorks = 4
	// meanWeight is the weight of a new sample in the mean slack and work of a rank.
	meanWeight = 0.125
)

// minOverloadWait is the smallest share of the tolerable wait for which a request may be queued. The share
// falls by as much as the demand of its rank and the more urgent ones exceeds the limit: under sustained
// overload, a long queue adds no throughput, and the requests in it that waited longest are late if the
// work ahead takes longer than expected.
const minOverloadWait = 0.4

// rankClass returns the index of the figures of a rank.
func rankClass(rank uint32) int { return int(min(rank, rankClasses-1)) }

// rankDemand measures the demand of each rank, and derives from it how many slots to reserve for
// the more urgent ones and what each rank is owed of its least share. The methods arrived,
// withheldFrom, granted and released take no lock; everything else requires Limiter.mu.
type rankDemand struct {
	// offered is the expected work of the requests that arrived since the last update, in
	// nanoseconds. slack and work are means over the requests, in nanoseconds; a concurrent update
	// may overwrite another one.
	offered, slack, work [rankClasses]atomic.Int64
	// refused is the number of successive requests that were refused although no other server was
	// to be tried first.
	refused [rankClasses]atomic.Int32
	// reserved is the number of slots that a rank must leave to more urgent ones, including those
	// that they are using. running is the number of slots that each rank is using.
	reserved, running [rankClasses]atomic.Int32
	// waits holds the expected wait of a request that arrives now, in nanoseconds, as of the
	// latest sweep, and refusing whether it would be refused.
	waits    [rankClasses]atomic.Int64
	refusing [rankClasses]atomic.Bool

	// lastChange is when a slot was last taken or freed, in nanoseconds since the limiter was
	// created.
	lastChange atomic.Int64

	// demand is the mean number of slots that the arrivals of a rank would use.
	demand    [rankClasses]float64
	updatedAt time.Time
	// credit is the slot time that a rank is owed, in nanoseconds.
	credit [rankClasses]float64
}

// arrived counts a request, whatever is decided on it.
func (d *rankDemand) arrived(now time.Time, req Request, route *estimator, times *serviceTimes) {
	class := rankClass(req.Rank)
	if route.class.Load() != int32(class) {
		route.class.Store(int32(class))
	}
	work := route.work(times)
	if work == 0 {
		return
	}
	d.offered[class].Add(int64(work))
	moveMean(&d.work[class], work)
	if slack := req.Objective.Sub(now) - work; !req.Objective.IsZero() && slack > 0 {
		moveMean(&d.slack[class], slack)
	}
}

// decided counts a request that was refused or not.
func (d *rankDemand) decided(req Request, refused bool) {
	count := &d.refused[rankClass(req.Rank)]
	switch {
	case !refused:
		if count.Load() != 0 {
			count.Store(0)
		}
	case !req.First:
		count.Add(1)
	}
}

func moveMean(mean *atomic.Int64, sample time.Duration) {
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(sample))
		return
	}
	if step := int64(meanWeight * float64(int64(sample)-old)); step != 0 {
		mean.Store(old + step)
	}
}

// withheldFrom returns the number of free slots that a request must leave to more urgent ranks.
func (d *rankDemand) withheldFrom(rank uint32) int {
	class := rankClass(rank)
	withheld := d.reserved[class].Load()
	for c := 0; withheld > 0 && c < class; c++ {
		withheld -= d.running[c].Load()
	}
	return int(max(withheld, 0))
}

// granted counts a request that takes a slot.
func (d *rankDemand) granted(now time.Time, req Request, route *estimator, times *serviceTimes) {
	d.lastChange.Store(int64(now.Sub(times.origin)))
	route.running.Add(1)
	d.running[rankClass(req.Rank)].Add(1)
}

// released counts a request that frees its slot.
func (d *rankDemand) released(now time.Time, route string, times *serviceTimes) {
	d.lastChange.Store(int64(now.Sub(times.origin)))
	s := times.estimatorFor(route)
	s.running.Add(-1)
	d.running[s.class.Load()].Add(-1)
}

// countRunning corrects the counts of running requests, which are off after the rank of a route with
// requests in slots has changed.
func (d *rankDemand) countRunning(times *serviceTimes) {
	var running [rankClasses]int32
	for _, s := range *times.byRoute.Load() {
		running[s.class.Load()] += s.running.Load()
	}
	running[times.overall.class.Load()] += times.overall.running.Load()
	for class := range rankClasses {
		d.running[class].Store(running[class])
	}
}

// update measures the demand since the last update and sets the reservations, at most once per
// demandInterval.
func (d *rankDemand) update(now time.Time, limit int, times *serviceTimes) {
	passed := now.Sub(d.updatedAt)
	if d.updatedAt.IsZero() {
		d.updatedAt = now
		return
	}
	if passed < demandInterval {
		return
	}
	d.updatedAt = now
	d.countRunning(times)
	keep := math.Exp(-float64(passed) / float64(demandWindow))
	for class := range rankClasses {
		sample := float64(d.offered[class].Swap(0)) / float64(passed)
		d.demand[class] = keep*d.demand[class] + (1-keep)*sample
	}
	for class := range rankClasses {
		d.reserved[class].Store(int32(d.reservation(class, limit)))
	}
}

// reservation returns the number of slots to withhold from a rank: the demand of the more urgent
// ones, rounded such that at most idleShare of the slots are idle on average. It is 0 if the requests
// of the rank end soon enough that urgent ones can wait for the next free slot.
func (d *rankDemand) reservation(class, limit int) int {
	urgent, slack := 0.0, math.Inf(1)
	for c := range class {
		if d.demand[c] >= minDemand {
			urgent += d.demand[c]
			slack = min(slack, float64(d.slack[c].Load()))
		}
	}
	if urgent == 0 || float64(d.work[class].Load()) <= urgentWaitShare*slack*float64(limit) {
		return 0
	}
	return min(int(urgent+idleShare*float64(limit)), limit/2)
}

// capacity returns the number of slots, on average, for the requests of a rank that are in time:
// what more urgent ranks leave, at least its least share. Overdue requests get what all requests in
// time leave.
func (d *rankDemand) capacity(class, limit int, overdue bool) float64 {
	left := float64(limit)
	for c := range rankClasses {
		if c < class || overdue {
			left -= d.demand[c]
		}
	}
	return max(left, leastShare*float64(limit))
}

// charge divides the work of a request that starts: each rank with demand is owed its least share of
// it, and the rank of the request has received it.
func (d *rankDemand) charge(rank uint32, work time.Duration) {
	started := rankClass(rank)
	for class := range rankClasses {
		if d.demand[class] < minDemand {
			d.credit[class] = 0
			continue
		}
		credit := d.credit[class] + leastShare*float64(work)
		if class == started {
			credit -= float64(work)
		}
		bound := creditWorks * float64(d.work[class].Load())
		d.credit[class] = min(max(credit, -bound), bound)
	}
}

// hasCredit reports whether a request of a rank is to start before more urgent ones.
func (d *rankDemand) hasCredit(rank uint32, work time.Duration) bool {
	return rank > 0 && d.credit[rankClass(rank)] >= float64(work)
}

// demandUpTo returns the demand, in slots, of a rank and the more urgent ones.
func (d *rankDemand) demandUpTo(rank uint32) float64 {
	total := 0.0
	for class := range rankClass(rank) + 1 {
		total += d.demand[class]
	}
	return total
}

// nextFree estimates when the next of all slots becomes free, in nanoseconds. If none has for
// stallWorks mean service times, the server is slower than its samples say, and it is expected to take
// as long again.
func (d *rankDemand) nextFree(now time.Time, times *serviceTimes, limit int) float64 {
	mean := times.overallMean()
	if stalled := now.Sub(times.origin) - time.Duration(d.lastChange.Load()); stalled > stallWorks*mean {
		return float64(stalled)
	}
	return float64(mean) / float64(limit)
}

// waitShare returns the share of its tolerable wait for which a request of a rank may be queued.
func (d *rankDemand) waitShare(rank uint32, limit int) float64 {
	overload := d.demandUpTo(rank)/float64(max(limit, 1)) - 1
	return min(max(1-overload, minOverloadWait), 1)
}
