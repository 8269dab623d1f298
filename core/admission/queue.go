package admission

import (
	"container/heap"
	"slices"
	"time"

	"auburnladder.example/core/mesh"
)

// maxIdleFlows bounds the number of flows that are kept while they have no waiter. From
// this number of flows on, idle flows without a service debt are pruned; from twice this
// number on, all idle flows.
const maxIdleFlows = 256

// waitQueue holds the waiting requests in the order of service. It is not safe for
// concurrent use.
type waitQueue interface {
	push(w *Waiter) *Waiter
	// pop removes and returns the next waiter, or returns nil if the queue is empty. times
	// may be nil when the whole queue is being emptied.
	pop(now time.Time, times *serviceTimes) *Waiter
	remove(w *Waiter)
	// evictFor removes and returns the waiter that req displaces from a full queue, or
	// returns nil if req must be refused instead.
	evictFor(req Request) *Waiter
	// next removes and returns the waiter that gets one of the free slots, or returns nil if
	// none may.
	next(now time.Time, times *serviceTimes, free int) *Waiter
	// mayStart reports whether an arriving request may take one of the free slots, after
	// next has returned nil.
	mayStart(req Request, free int) bool
	// started is called when a request starts while mu is held.
	started(now time.Time, req Request, times *serviceTimes)
	// sweep removes and returns the waiters that will not start in time. full reports
	// whether all slots are in use.
	sweep(now time.Time, times *serviceTimes, limit int, full bool) []*Waiter
	// expectedWait estimates how long req would wait if it were pushed now and all slots
	// are in use.
	expectedWait(now time.Time, req Request, times *serviceTimes, limit int) time.Duration
	// position estimates the position at which req would be served if it were pushed now;
	// 1 means next.
	position(now time.Time, req Request, times *serviceTimes) float64
}

func newWaitQueue(o Order) waitQueue {
	if o == OrderUrgency {
		return &urgencyQueue{}
	}
	return newFairQueue()
}

// flowKey identifies a flow. Waiters with the same key share one part of the queue.
type flowKey struct {
	caller   string
	priority mesh.Priority
}

// flow holds the waiters of one caller and priority, ordered by deadline.
type flow struct {
	key    flowKey
	weight float64
	// startTag is the virtual time at which the flow's next waiter is served.
	startTag float64
	waiters  waiterHeap
}

// weightedLength returns the number of waiters divided by the weight.
func (f *flow) weightedLength() float64 { return float64(len(f.waiters)) / f.weight }

// fairQueue implements start-time fair queueing: each flow receives service time in
// proportion to its weight. It is not safe for concurrent use.
type fairQueue struct {
	flows  map[flowKey]*flow
	active []*flow
	// virtualTime is the start tag of the waiter served last.
	virtualTime float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[flowKey]*flow)}
}

func (q *fairQueue) push(w *Waiter) *Waiter {
	f := q.flowFor(w.req)
	if len(f.waiters) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		q.active = append(q.active, f)
	}
	w.flow = f
	heap.Push(&f.waiters, w)
	return w
}

func (q *fairQueue) flowFor(req Request) *flow {
	key := flowKey{caller: req.Caller, priority: req.Priority}
	f := q.flows[key]
	if f == nil {
		q.pruneIdleFlows()
		f = &flow{key: key, weight: weight(req.Priority)}
		q.flows[key] = f
	}
	return f
}

// pruneIdleFlows removes idle flows without a service debt, that is, whose start tag is not
// after the virtual time, once there are maxIdleFlows flows. If at least 2*maxIdleFlows
// flows remain, it removes all idle ones.
func (q *fairQueue) pruneIdleFlows() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for key, f := range q.flows {
		if len(f.waiters) == 0 && f.startTag <= q.virtualTime {
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

// pop removes and returns the waiter with the earliest deadline in the flow with the
// lowest start tag, and charges the service time of its route to the flow. It returns nil
// if the queue is empty. If times is nil, nothing is charged.
func (q *fairQueue) pop(_ time.Time, times *serviceTimes) *Waiter {
	if len(q.active) == 0 {
		return nil
	}
	f := slices.MinFunc(q.active, func(a, b *flow) int { return compareStartTag(a, b) })
	w := heap.Pop(&f.waiters).(*Waiter)
	q.virtualTime = f.startTag
	if times != nil {
		f.startTag += times.cost(w.req.Route) / f.weight
	}
	q.deactivateIfEmpty(f)
	return w
}

func compareStartTag(a, b *flow) int {
	switch {
	case a.startTag < b.startTag:
		return -1
	case a.startTag > b.startTag:
		return 1
	default:
		return 0
	}
}

func (q *fairQueue) remove(w *Waiter) {
	heap.Remove(&w.flow.waiters, w.index)
	q.deactivateIfEmpty(w.flow)
}

func (q *fairQueue) deactivateIfEmpty(f *flow) {
	if len(f.waiters) > 0 {
		return
	}
	i := slices.Index(q.active, f)
	q.active = slices.Delete(q.active, i, i+1)
}

// evictFor removes and returns the waiter that req displaces from a full queue: the one
// with the latest deadline in the flow with the largest share. It returns nil if the flow
// of req would itself have the largest share. The only waiter of a flow is displaced only
// by a request of higher priority, and only if no flow has two waiters.
func (q *fairQueue) evictFor(req Request) *Waiter {
	waiters, w := 1, weight(req.Priority)
	if f := q.flows[flowKey{caller: req.Caller, priority: req.Priority}]; f != nil {
		waiters += len(f.waiters)
	}
	largest := q.largestFlow()
	switch {
	case largest == nil:
		return nil
	case len(largest.waiters) == 1 && largest.weight >= w:
		return nil
	case len(largest.waiters) > 1 && waiters > 1 && largest.weightedLength() <= float64(waiters)/w:
		return nil
	}
	victim := slices.MaxFunc(largest.waiters, func(a, b *Waiter) int {
		return a.req.Deadline.Compare(b.req.Deadline)
	})
	q.remove(victim)
	return victim
}

// largestFlow returns the flow with the most waiters relative to its weight, or nil if the
// queue is empty. A flow with one waiter is returned only if no flow has more.
func (q *fairQueue) largestFlow() *flow {
	var found *flow
	for _, f := range q.active {
		if found == nil || f.hasLargerShare(found) {
			found = f
		}
	}
	return found
}

func (f *flow) hasLargerShare(other *flow) bool {
	single, otherSingle := len(f.waiters) == 1, len(other.waiters) == 1
	if single != otherSingle {
		return otherSingle
	}
	return f.weightedLength() > other.weightedLength()
}

// next is pop: under OrderFair any waiter may take a free slot.
func (q *fairQueue) next(now time.Time, times *serviceTimes, _ int) *Waiter { return q.pop(now, times) }

func (q *fairQueue) mayStart(_ Request, free int) bool { return free > 0 && len(q.active) == 0 }

func (q *fairQueue) started(time.Time, Request, *serviceTimes) {}

func (q *fairQueue) sweep(time.Time, *serviceTimes, int, bool) []*Waiter { return nil }

// expectedWait estimates how long the waiters served before req take, plus one service time.
func (q *fairQueue) expectedWait(_ time.Time, req Request, times *serviceTimes, limit int) time.Duration {
	work := time.Duration(q.position(time.Time{}, req, times) * float64(times.overallMedian()))
	return work / time.Duration(limit)
}

// position estimates the position at which req would be served if it were pushed now; 1
// means next.
func (q *fairQueue) position(_ time.Time, req Request, _ *serviceTimes) float64 {
	total, weights := 0, weight(req.Priority)
	position := 1.0
	for _, f := range q.active {
		total += len(f.waiters)
		if f.key.caller == req.Caller && f.key.priority == req.Priority {
			position += f.countDueBy(req.Deadline)
			continue
		}
		weights += f.weight
	}
	return min(position*weights/weight(req.Priority), float64(total+1))
}

// countDueBy returns the number of waiters with a deadline not after d.
func (f *flow) countDueBy(d time.Time) float64 {
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

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
