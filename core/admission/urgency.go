package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxSlack is the maximum time from the arrival to the latest start that the order within a rank
// takes into account. Without this bound, requests with a distant objective would never start
// while others of their rank demand all slots.
const maxSlack = 200 * time.Millisecond

// slackFactor multiplies the slack in the order within a rank. Above 1, calls that servers make with
// little time go before work with much time, also if that was queued for long: by latest start alone,
// an overloaded server serves the routes with the most time.
const slackFactor = 2

// displaceFactor scales the expected start of a waiter when it is compared with its latest start.
// Below 1, a waiter is refused only if it is clearly too late, since the estimate varies.
const displaceFactor = 0.75

// urgencyQueue first serves the waiters that can still meet their objective, ordered by rank and
// sortKey, then the overdue ones, ordered by deadline. Each rank gets its least share, and the waiting
// routes of a rank equal ones. It is a sorted slice: the objectives of the waiters bound the waits, and
// thereby the length.
type urgencyQueue struct {
	waiters []*Waiter
	demand  rankDemand
	// sweptAt is when waiters that would not start in time were last removed.
	sweptAt time.Time
	// marks counts the passes over the queue. waitingRoutes are the routes with waiters of the rank
	// that was served last.
	marks         uint64
	waitingRoutes []*estimator
}

func (q *urgencyQueue) push(w *Waiter) *Waiter {
	q.waiters = slices.Insert(q.waiters, q.index(w), w)
	return w
}

// index returns the position at which w is inserted: behind those that are served before it.
func (q *urgencyQueue) index(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(other, w *Waiter) int {
		if compareUrgency(other, w) > 0 {
			return 1
		}
		return -1
	})
	return i
}

func compareUrgency(a, b *Waiter) int {
	switch {
	case a.overdue != b.overdue && a.overdue:
		return 1
	case a.overdue != b.overdue:
		return -1
	case a.overdue:
		return a.req.Deadline.Compare(b.req.Deadline)
	case a.req.Rank != b.req.Rank:
		return cmp.Compare(a.req.Rank, b.req.Rank)
	default:
		return a.sortKey.Compare(b.sortKey)
	}
}

// pop removes and returns the first waiter, or returns nil if the queue is empty.
func (q *urgencyQueue) pop(now time.Time, _ *serviceTimes) *Waiter {
	q.demoteOverdue(now)
	if len(q.waiters) == 0 {
		return nil
	}
	return q.take(0)
}

// demoteOverdue moves waiters that can no longer meet their objective behind the others.
func (q *urgencyQueue) demoteOverdue(now time.Time) {
	for i := 0; i < len(q.waiters) && !q.waiters[i].overdue; {
		w := q.waiters[i]
		if !w.latestStart.Before(now) {
			i++
			continue
		}
		q.take(i)
		w.overdue = true
		q.push(w)
	}
}

// next removes and returns the waiter that gets one of the free slots, or returns nil if all of them
// are reserved for more urgent ranks. A rank that is owed its least share comes first. The waiting
// routes of a rank share its slot time equally; the order decides among those that are owed none.
func (q *urgencyQueue) next(now time.Time, times *serviceTimes, free int) *Waiter {
	q.demoteOverdue(now)
	first := -1
	for i, w := range q.waiters {
		if !w.overdue && q.demand.hasCredit(w.req.Rank, w.route.work(times)) {
			first = i
			break
		}
		if first < 0 && free > q.demand.withheldFrom(w.req.Rank) {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	return q.take(q.owedRoute(first, times))
}

// owedRoute returns the index of the first waiter that is in time, has the rank of the given one and
// whose route is owed its share, or the given index if there is none.
func (q *urgencyQueue) owedRoute(first int, times *serviceTimes) int {
	for i := first; i < len(q.waiters); i++ {
		w := q.waiters[i]
		if w.overdue || w.req.Rank != q.waiters[first].req.Rank {
			break
		}
		if w.route.credit >= float64(w.route.work(times)) {
			return i
		}
	}
	return first
}

// started counts and charges the start of a request.
func (q *urgencyQueue) started(now time.Time, req Request, times *serviceTimes) {
	route := times.estimatorFor(req.Route)
	work := route.work(times)
	q.demand.granted(now, req, route, times)
	q.demand.charge(req.Rank, work)
	q.marks++
	waiting := q.waitingRoutes[:0]
	for _, w := range q.waiters {
		if !w.overdue && rankClass(w.req.Rank) == rankClass(req.Rank) && w.route.mark != q.marks {
			w.route.mark = q.marks
			waiting = append(waiting, w.route)
		}
	}
	q.waitingRoutes = waiting
	for _, r := range waiting {
		r.addCredit(float64(work)/float64(len(waiting)), times)
	}
	route.addCredit(-float64(work), times)
}

// addCredit changes the slot time that a route is owed of its rank's.
func (s *estimator) addCredit(by float64, times *serviceTimes) {
	bound := creditWorks * float64(s.work(times))
	s.credit = min(max(s.credit+by, -bound), bound)
}

// mayStart reports whether an arriving request may take one of the free slots, after next has
// returned nil.
func (q *urgencyQueue) mayStart(req Request, free int) bool {
	return free > q.demand.withheldFrom(req.Rank)
}

func (q *urgencyQueue) take(i int) *Waiter {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return w
}

func (q *urgencyQueue) remove(w *Waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.take(i)
	}
}

// evictFor removes and returns the last waiter of the route with the most waiters, if the
// route of req, including req, has fewer. A route with few requests can therefore always
// enter the queue, and the other routes share the remaining places.
func (q *urgencyQueue) evictFor(req Request) *Waiter {
	sameRoute := 1
	waiting := make(map[string]int, len(q.waiters))
	for _, w := range q.waiters {
		waiting[w.req.Route]++
		if w.req.Route == req.Route {
			sameRoute++
		}
	}
	var victim *Waiter
	for _, w := range q.waiters {
		if victim == nil || waiting[w.req.Route] >= waiting[victim.req.Route] {
			victim = w
		}
	}
	if victim == nil || waiting[victim.req.Route] <= sameRoute {
		return nil
	}
	q.remove(victim)
	return victim
}

// position returns the position at which req would be served if it were pushed now; 1 means next.
func (q *urgencyQueue) position(now time.Time, req Request, times *serviceTimes) float64 {
	return float64(q.index(waiterFor(now, req, times)) + 1)
}

// expectedWait estimates how long req would wait if it were pushed now and all slots are in use.
func (q *urgencyQueue) expectedWait(now time.Time, req Request, times *serviceTimes, limit int) time.Duration {
	arrival := waiterFor(now, req, times)
	arrival.overdue = arrival.latestStart.Before(now)
	q.marks++
	var ahead workAhead
	for _, w := range q.waiters[:q.index(arrival)] {
		ahead.add(w, q.marks, times)
	}
	// The work ahead varies: with the square root of the number of requests, each by about half of the
	// mean.
	ahead.all += 0.5 * math.Sqrt(ahead.all*float64(times.overallMean()))
	return q.waitBehind(now, ahead, arrival, times, limit)
}

// workAhead is the expected work of the waiters that are served before another one, in nanoseconds:
// of all, and of those in time by rank. The work by route is in the estimators.
type workAhead struct {
	all    float64
	inTime [rankClasses]float64
}

// add counts a waiter. mark tells the counts by route of one queue pass from those of earlier ones.
func (a *workAhead) add(w *Waiter, mark uint64, times *serviceTimes) {
	work := float64(w.route.work(times))
	a.all += work
	if w.overdue {
		return
	}
	a.inTime[rankClass(w.req.Rank)] += work
	if w.route.mark != mark {
		w.route.mark, w.route.ahead = mark, 0
	}
	w.route.ahead += work
}

// waitBehind estimates how long w waits behind the work ahead: until the next slot is free, and then
// at the rate at which slots become free for its rank. A rank or route that is owed its share waits
// only for that.
func (q *urgencyQueue) waitBehind(now time.Time, ahead workAhead, w *Waiter, times *serviceTimes, limit int) time.Duration {
	class, work := rankClass(w.req.Rank), float64(w.route.work(times))
	nextFree := q.demand.nextFree(now, times, limit)
	capacity := q.demand.capacity(class, limit, w.overdue)
	wait := nextFree + ahead.all/capacity
	if w.overdue || q.demand.demand[class] < minDemand {
		return time.Duration(wait)
	}
	rankOwed := ahead.inTime[class] + work - q.demand.credit[class]
	wait = min(wait, nextFree+max(rankOwed, 0)/(leastShare*float64(limit)))
	if routes := len(q.waitingRoutes); routes > 1 {
		routeOwed := work - w.route.credit
		if w.route.mark == q.marks {
			routeOwed += w.route.ahead
		}
		wait = min(wait, nextFree+max(routeOwed, 0)*float64(routes)/capacity)
	}
	return time.Duration(wait)
}

// sweep removes and returns the waiters that are not expected to start in time, so that their callers
// learn it early: in time for their queue deadline, and in time for their objective while the demand
// exceeds the limit. It does so at most once per demandInterval, and sets the waits of all ranks.
func (q *urgencyQueue) sweep(now time.Time, times *serviceTimes, limit int, full bool) []*Waiter {
	q.demand.update(now, limit, times)
	if now.Sub(q.sweptAt) < sweepInterval {
		return nil
	}
	q.sweptAt = now
	q.demoteOverdue(now)
	q.marks++
	var late []*Waiter
	var ahead workAhead
	kept := q.waiters[:0]
	overloaded := q.demand.demandUpTo(rankClasses) > float64(limit)
	for _, w := range q.waiters {
		start := now.Add(time.Duration(displaceFactor * float64(q.waitBehind(now, ahead, w, times, limit))))
		if start.After(w.queueDeadline) || overloaded && !w.overdue && start.After(w.latestStart) {
			late = append(late, w)
			continue
		}
		kept = append(kept, w)
		ahead.add(w, q.marks, times)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	q.publishWaits(now, ahead, times, limit, full)
	return late
}

// sweepInterval is the minimum time between two sweeps. A sweep costs a few nanoseconds per waiter.
const sweepInterval = 10 * time.Millisecond

// publishWaits sets the waits of all ranks from the work that is queued. A rank without demand gets
// those of the next one: it is not known how long its requests could wait.
func (q *urgencyQueue) publishWaits(now time.Time, ahead workAhead, times *serviceTimes, limit int, full bool) {
	d := &q.demand
	nextFree := q.demand.nextFree(now, times, limit)
	inTime := 0.0
	var waits [rankClasses]float64
	var refusing [rankClasses]bool
	for class := range rankClasses {
		inTime += ahead.inTime[class]
		if !full && inTime == 0 {
			continue
		}
		owed := max(ahead.inTime[class]-d.credit[class], 0) / (leastShare * float64(limit))
		waits[class] = nextFree + min(inTime/d.capacity(class, limit, false), owed)
		refusing[class] = d.demand[class] >= minDemand && d.refused[class].Load() >= minRefused
	}
	for class := rankClasses - 1; class >= 0; class-- {
		if class < rankClasses-1 && d.demand[class] < minDemand {
			waits[class], refusing[class] = waits[class+1], refusing[class+1]
		}
		d.waits[class].Store(int64(waits[class]))
		d.refusing[class].Store(refusing[class])
	}
}

// waiterFor returns a waiter for req whose queueDeadline and done are not set. Without an
// objective, the latest start is computed from the deadline. Half of the requests take longer than the
// median, so the latest start leaves time for twice the median, but not more than half of the slack.
func waiterFor(now time.Time, req Request, times *serviceTimes) *Waiter {
	objective := req.Objective
	if objective.IsZero() {
		objective = req.Deadline
	}
	route := times.estimatorFor(req.Route)
	median := time.Duration(route.median.Load())
	latest := objective.Add(-median)
	if slack := latest.Sub(now); slack > 0 {
		latest = latest.Add(-min(median, slack/2))
	}
	return &Waiter{
		req: req, arrived: now, latestStart: latest, route: route,
		sortKey: now.Add(slackFactor * min(latest.Sub(now), maxSlack)),
	}
}
