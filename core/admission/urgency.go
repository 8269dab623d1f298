package admission

import (
	"slices"
	"time"
)

// rankStep is how much each rank postpones a request's latest start in the queue order.
// With an offset instead of strict priority, sustained overload by more urgent ranks
// starves no request.
const rankStep = 100 * time.Millisecond

// maxSlack is the maximum time from the arrival to the latest start that the queue order
// takes into account. Without this bound, requests with a distant objective would never
// enter a queue that other requests keep full.
const maxSlack = 200 * time.Millisecond

// urgencyQueue first serves the waiters that can still meet their objective, ordered by
// sortKey, then the overdue ones, ordered by deadline. It is a sorted slice, which is
// sufficient because queues are short.
type urgencyQueue struct {
	waiters []*Waiter
}

func (q *urgencyQueue) push(w *Waiter) *Waiter {
	i, _ := slices.BinarySearchFunc(q.waiters, w, compareUrgency)
	for i < len(q.waiters) && compareUrgency(q.waiters[i], w) == 0 {
		i++
	}
	q.waiters = slices.Insert(q.waiters, i, w)
	return w
}

func compareUrgency(a, b *Waiter) int {
	switch {
	case a.overdue != b.overdue && a.overdue:
		return 1
	case a.overdue != b.overdue:
		return -1
	case a.overdue:
		return a.req.Deadline.Compare(b.req.Deadline)
	default:
		return a.sortKey().Compare(b.sortKey())
	}
}

// sortKey returns the latest start, capped at maxSlack after the arrival, plus rankStep
// for each rank.
func (w *Waiter) sortKey() time.Time {
	start := w.latestStart
	if latest := w.arrived.Add(maxSlack); start.After(latest) {
		start = latest
	}
	return start.Add(time.Duration(w.req.Rank) * rankStep)
}

// pop removes and returns the next waiter, or returns nil if the queue is empty. It first
// moves waiters at the head that have become overdue behind the others.
func (q *urgencyQueue) pop(now time.Time, _ *serviceTimes) *Waiter {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.waiters = slices.Delete(q.waiters, 0, 1)
		if w.overdue || !w.latestStart.Before(now) {
			return w
		}
		w.overdue = true
		q.push(w)
	}
	return nil
}

func (q *urgencyQueue) remove(w *Waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
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

func (q *urgencyQueue) workAhead(now time.Time, req Request, times *serviceTimes) time.Duration {
	work := time.Duration(times.cost(req.Route))
	for _, w := range q.ahead(now, req, times) {
		work += time.Duration(times.cost(w.req.Route))
	}
	return work
}

func (q *urgencyQueue) position(now time.Time, req Request, times *serviceTimes) float64 {
	return float64(len(q.ahead(now, req, times)) + 1)
}

// ahead returns the waiters that are served before req.
func (q *urgencyQueue) ahead(now time.Time, req Request, times *serviceTimes) []*Waiter {
	arrival := waiterFor(now, req, times)
	for i, w := range q.waiters {
		if compareUrgency(arrival, w) < 0 {
			return q.waiters[:i]
		}
	}
	return q.waiters
}

// waiterFor returns a waiter for req whose queueDeadline and done are not set. Without an
// objective, the latest start is computed from the deadline.
func waiterFor(now time.Time, req Request, times *serviceTimes) *Waiter {
	objective := req.Objective
	if objective.IsZero() {
		objective = req.Deadline
	}
	return &Waiter{req: req, arrived: now, latestStart: objective.Add(-times.median(req.Route))}
}
