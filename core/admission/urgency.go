package admission

import (
	"slices"
	"time"
)

// rankStep is how much later a request of the next rank counts as having to start. With a
// step instead of strict ranks, no kind is starved by a lasting overload of higher ranks.
const rankStep = 100 * time.Millisecond

// maxSlack bounds how much later a request counts as having to start because its
// objective leaves it time. Without the bound, requests with much time would never get
// into a queue that others keep full.
const maxSlack = 200 * time.Millisecond

// urgencyQueue serves waiters that can still meet their objective first, in the order in
// which they must start, where a lower rank counts as later; then the late ones by
// deadline. Queues are short, so a sorted list does.
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
	case a.late != b.late && a.late:
		return 1
	case a.late != b.late:
		return -1
	case a.late:
		return a.req.Deadline.Compare(b.req.Deadline)
	default:
		return a.order().Compare(b.order())
	}
}

// order returns the latest start, at most maxSlack after the arrival, moved by the rank.
func (w *Waiter) order() time.Time {
	start := w.startBy
	if latest := w.arrived.Add(maxSlack); start.After(latest) {
		start = latest
	}
	return start.Add(time.Duration(w.req.Rank) * rankStep)
}

// pop moves waiters that have become late behind the others first.
func (q *urgencyQueue) pop(now time.Time, _ *serviceTimes) *Waiter {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.waiters = slices.Delete(q.waiters, 0, 1)
		if w.late || !w.startBy.Before(now) {
			return w
		}
		w.late = true
		q.push(w)
	}
	return nil
}

func (q *urgencyQueue) remove(w *Waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// evictFor displaces the last waiter of the route with the most waiters, if req belongs to
// a route with fewer. So a route with few requests always finds room, and the others share
// what is left.
func (q *urgencyQueue) evictFor(req Request) *Waiter {
	own := 1
	waiting := make(map[string]int, len(q.waiters))
	for _, w := range q.waiters {
		waiting[w.req.Route]++
		if w.req.Route == req.Route {
			own++
		}
	}
	var victim *Waiter
	for _, w := range q.waiters {
		if victim == nil || waiting[w.req.Route] >= waiting[victim.req.Route] {
			victim = w
		}
	}
	if victim == nil || waiting[victim.req.Route] <= own {
		return nil
	}
	q.remove(victim)
	return victim
}

func (q *urgencyQueue) workAhead(now time.Time, req Request, times *serviceTimes) time.Duration {
	self := newcomer(now, req, times)
	work := time.Duration(times.cost(req.Route))
	for _, w := range q.waiters {
		if compareUrgency(self, w) < 0 {
			break
		}
		work += time.Duration(times.cost(w.req.Route))
	}
	return work
}

// newcomer returns req as a waiter that is in no queue yet.
func newcomer(now time.Time, req Request, times *serviceTimes) *Waiter {
	at := req.Objective
	if at.IsZero() {
		at = req.Deadline
	}
	return &Waiter{req: req, arrived: now, startBy: at.Add(-times.estimate(req.Route))}
}
