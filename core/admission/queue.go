package admission

import (
	"container/heap"
	"slices"
	"time"

	"auburnladder.example/core/mesh"
)

// maxIdleFlows bounds the flows that are remembered while they have no waiter.
const maxIdleFlows = 256

// waitQueue orders the waiting requests. It is not safe for concurrent use.
type waitQueue interface {
	push(w *Waiter) *Waiter
	// pop takes the next waiter, or returns nil. times may be nil when all are taken.
	pop(now time.Time, times *serviceTimes) *Waiter
	remove(w *Waiter)
	// evictFor removes and returns the waiter that req displaces from a full queue, or
	// returns nil if req itself must stay out.
	evictFor(req Request) *Waiter
	// workAhead estimates the service time of the waiters served before req.
	workAhead(now time.Time, req Request, times *serviceTimes) time.Duration
}

func newWaitQueue(o Order) waitQueue {
	if o == OrderUrgency {
		return &urgencyQueue{}
	}
	return newFairQueue()
}

// flowKey identifies the waiters that share one part of the queue.
type flowKey struct {
	caller   string
	priority mesh.Priority
}

// flow holds the waiters of one caller, ordered by deadline.
type flow struct {
	key    flowKey
	weight float64
	// start is the virtual time at which the flow's next waiter is served.
	start   float64
	waiters waiterHeap
}

// load returns the flow's length relative to its weight.
func (f *flow) load() float64 { return float64(len(f.waiters)) / f.weight }

// fairQueue serves flows by start-time fair queueing: each flow gets service time in
// proportion to its weight. It is not safe for concurrent use.
type fairQueue struct {
	flows  map[flowKey]*flow
	active []*flow
	// virtual is the start tag of the waiter served last.
	virtual float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[flowKey]*flow)}
}

func (q *fairQueue) push(w *Waiter) *Waiter {
	f := q.flow(w.req)
	if len(f.waiters) == 0 {
		f.start = max(f.start, q.virtual)
		q.active = append(q.active, f)
	}
	w.flow = f
	heap.Push(&f.waiters, w)
	return w
}

func (q *fairQueue) flow(req Request) *flow {
	key := flowKey{caller: req.Caller, priority: req.Priority}
	f := q.flows[key]
	if f == nil {
		q.forgetIdle()
		f = &flow{key: key, weight: weight(req.Priority)}
		q.flows[key] = f
	}
	return f
}

// forgetIdle drops idle flows that owe nothing to the others, or all idle flows if
// too many are remembered.
func (q *fairQueue) forgetIdle() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for key, f := range q.flows {
		if len(f.waiters) == 0 && f.start <= q.virtual {
			delete(q.flows, key)
		}
	}
	if len(q.flows) < 2*maxIdleFlows {
		return
	}
	for key, f := range q.flows {
		if len(f.waiters) == 0 {
			delete(q.flows, key)
		}
	}
}

// pop takes the next waiter and charges its flow with the service time of its route, or
// returns nil. Without times nothing is charged.
func (q *fairQueue) pop(_ time.Time, times *serviceTimes) *Waiter {
	if len(q.active) == 0 {
		return nil
	}
	f := slices.MinFunc(q.active, func(a, b *flow) int { return compareStart(a, b) })
	w := heap.Pop(&f.waiters).(*Waiter)
	q.virtual = f.start
	if times != nil {
		f.start += times.cost(w.req.Route) / f.weight
	}
	q.deactivate(f)
	return w
}

func compareStart(a, b *flow) int {
	switch {
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	default:
		return 0
	}
}

func (q *fairQueue) remove(w *Waiter) {
	heap.Remove(&w.flow.waiters, w.index)
	q.deactivate(w.flow)
}

func (q *fairQueue) deactivate(f *flow) {
	if len(f.waiters) > 0 {
		return
	}
	i := slices.Index(q.active, f)
	q.active = slices.Delete(q.active, i, i+1)
}

// evictFor removes and returns the waiter that req displaces from a full queue: the
// one with the latest deadline in the flow with the largest share. It returns nil if
// the caller of req would itself have the largest share. The only waiter of a flow
// gives way to a higher priority alone, and only if no flow has two.
func (q *fairQueue) evictFor(req Request) *Waiter {
	waiters, w := 1, weight(req.Priority)
	if f := q.flows[flowKey{caller: req.Caller, priority: req.Priority}]; f != nil {
		waiters += len(f.waiters)
	}
	largest := q.largest()
	switch {
	case largest == nil:
		return nil
	case len(largest.waiters) == 1 && largest.weight >= w:
		return nil
	case len(largest.waiters) > 1 && waiters > 1 && largest.load() <= float64(waiters)/w:
		return nil
	}
	victim := slices.MaxFunc(largest.waiters, func(a, b *Waiter) int {
		return a.req.Deadline.Compare(b.req.Deadline)
	})
	q.remove(victim)
	return victim
}

// largest returns the flow with the most waiters for its weight, where flows with one
// waiter count last, or nil.
func (q *fairQueue) largest() *flow {
	var found *flow
	for _, f := range q.active {
		if found == nil || f.exceeds(found) {
			found = f
		}
	}
	return found
}

func (f *flow) exceeds(other *flow) bool {
	single, otherSingle := len(f.waiters) == 1, len(other.waiters) == 1
	if single != otherSingle {
		return otherSingle
	}
	return f.load() > other.load()
}

// workAhead estimates the service time of the waiters served before req.
func (q *fairQueue) workAhead(_ time.Time, req Request, times *serviceTimes) time.Duration {
	return time.Duration(q.ahead(req) * float64(times.typical()))
}

// ahead estimates how many waiters are served before req, were it pushed now.
func (q *fairQueue) ahead(req Request) float64 {
	total, weights := 0, weight(req.Priority)
	position := 1.0
	for _, f := range q.active {
		total += len(f.waiters)
		if f.key.caller == req.Caller && f.key.priority == req.Priority {
			position += f.earlier(req.Deadline)
			continue
		}
		weights += f.weight
	}
	return min(position*weights/weight(req.Priority), float64(total+1))
}

// earlier counts the waiters with a deadline up to d.
func (f *flow) earlier(d time.Time) float64 {
	n := 0
	for _, w := range f.waiters {
		if !w.req.Deadline.After(d) {
			n++
		}
	}
	return float64(n)
}

// waiterHeap orders waiters by deadline, earliest first. It implements heap.Interface.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool { return h[i].req.Deadline.Before(h[j].req.Deadline) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by package heap.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is called by package heap.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
