package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
)

// Limiter bounds the work at one backend server. Create it with New.
type Limiter struct {
	cfg   Config
	times *serviceTimes
	// state is changed only by compare-and-swap. The waiting count changes only
	// while mu is held.
	state atomic.Uint64
	adapt adapter

	mu         sync.Mutex
	queue      waitQueue
	queueLimit int
}

// New returns a limiter for a server that is cold at now.
func New(cfg Config, now time.Time) *Limiter {
	l := &Limiter{
		cfg:   cfg,
		times: newServiceTimes(cfg, now),
		queue: newWaitQueue(cfg.Order),
		// SetServer changes it later.
		queueLimit: cfg.QueueLimit,
	}
	l.adapt = newAdapter(cfg, now)
	l.state.Store(uint64(state(0).withLimit(l.adapt.current(now))))
	return l
}

// Waiter is a queued request. Done is closed once it was granted or refused.
type Waiter struct {
	req      Request
	giveUp   time.Time
	done     chan struct{}
	decision Decision
	arrived  time.Time
	// startBy is the latest start that meets the objective.
	startBy time.Time
	// flow is set by fairQueue.
	flow *flow
	// index is set by the heaps of fairQueue.
	index int
	// late is set by urgencyQueue once startBy has passed.
	late bool
}

// GiveUp returns when to call Abandon if no decision was made by then.
func (w *Waiter) GiveUp() time.Time { return w.giveUp }

// Done returns a channel that is closed once the decision is made.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Decision returns the decision. Call it after Done was closed.
func (w *Waiter) Decision() Decision { return w.decision }

// Acquire asks for a slot. A granted request must be ended by Release; a queued one
// must be followed until Waiter.Done or given up with Abandon.
func (l *Limiter) Acquire(now time.Time, req Request) Decision {
	if l.times.tooLate(now, req) {
		return l.refuseNew(ReasonDeadline)
	}
	for s := l.load(); s.free(); s = l.load() {
		if l.swap(s, s.addInFlight(1)) {
			return Decision{Outcome: Granted}
		}
	}
	return l.acquireSlow(now, req)
}

func (l *Limiter) acquireSlow(now time.Time, req Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLimit(now)
	l.dispatch(now)
	for {
		s := l.load()
		switch {
		case s.closed():
			return l.refuseNew(ReasonLeaving)
		case s.free():
			if l.swap(s, s.addInFlight(1)) {
				return Decision{Outcome: Granted}
			}
		case !l.makeRoom(now, s, req):
			return l.refuseNew(ReasonOverload)
		default:
			// A slot may have come free since s was read; then the swap fails.
			s = l.load()
			if !s.closed() && !s.free() && l.swap(s, s.addWaiting(1)) {
				return Decision{Outcome: Queued, Waiter: l.queue.push(l.newWaiter(now, req))}
			}
		}
	}
}

func (l *Limiter) newWaiter(now time.Time, req Request) *Waiter {
	w := newcomer(now, req, l.times)
	w.giveUp = l.giveUp(now, req)
	w.done = make(chan struct{})
	return w
}

// makeRoom reports whether req may join the queue, at the cost of a waiter of the
// caller that takes the largest share if the queue is full.
func (l *Limiter) makeRoom(now time.Time, s state, req Request) bool {
	start := now.Add(l.expectedWait(now, s, req))
	if start.After(l.giveUp(now, req)) || start.Add(l.times.estimate(req.Route)).After(l.usefulUntil(now, req)) {
		return false
	}
	if s.waiting() < l.queueLimit {
		return true
	}
	victim := l.queue.evictFor(req)
	if victim == nil {
		return false
	}
	l.update(func(s state) state { return s.addWaiting(-1) })
	victim.finish(l.refuseNew(ReasonOverload))
	return true
}

// usefulUntil returns when an answer must be there for req to be worth its wait: by the
// objective while that can be met, else by the deadline.
func (l *Limiter) usefulUntil(now time.Time, req Request) time.Time {
	if l.cfg.Order == OrderFair || now.Add(l.times.estimate(req.Route)).After(req.Objective) {
		return req.Deadline
	}
	return req.Objective
}

// giveUp returns until when req may wait.
func (l *Limiter) giveUp(now time.Time, req Request) time.Time {
	if l.cfg.Order == OrderUrgency {
		return req.Deadline.Add(-l.times.estimate(req.Route))
	}
	remaining := req.Deadline.Sub(now)
	return now.Add(time.Duration(float64(remaining) * l.cfg.WaitShare))
}

// expectedWait estimates how long req would wait in the queue.
func (l *Limiter) expectedWait(now time.Time, s state, req Request) time.Duration {
	return l.queue.workAhead(now, req, l.times) / time.Duration(max(s.limit(), 1))
}

// Release ends the work in a slot and gives the slot to the next waiter.
func (l *Limiter) Release(now time.Time, res Result) {
	l.observe(now, res)
	for s := l.load(); s.waiting() == 0; s = l.load() {
		if l.swap(s, s.addInFlight(-1)) {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(func(s state) state { return s.addInFlight(-1) })
	l.refreshLimit(now)
	l.dispatch(now)
}

func (l *Limiter) observe(now time.Time, res Result) {
	slow := false
	if !res.Shed && !res.Unmeasured {
		slow = l.times.add(now, res)
	}
	s := l.load()
	if !l.adapt.concerns(s.limit(), res, slow) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt.observe(now, l.load(), res, slow)
	l.refreshLimit(now)
	l.dispatch(now)
}

// ServiceTime returns the typical time that the server takes for a route, 0 if unknown.
func (l *Limiter) ServiceTime(route string) time.Duration { return l.times.estimate(route) }

// Abandon gives up a queued request, because it waited long enough or its caller went
// away.
// If a decision was made before, it stands and is returned: a granted request must
// then be ended by Release.
func (l *Limiter) Abandon(now time.Time, w *Waiter) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.decision.Outcome != Queued {
		return w.decision
	}
	reason := ReasonCancelled
	switch {
	case !now.Before(w.req.Deadline):
		reason = ReasonDeadline
	case !now.Before(w.giveUp):
		reason = ReasonOverload
	}
	l.queue.remove(w)
	l.update(func(s state) state { return s.addWaiting(-1) })
	w.finish(l.refuseNew(reason))
	return w.decision
}

// Close refuses all waiters and all new requests. Work in slots goes on.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(func(s state) state { return s.withClosed(true) })
	for w := l.queue.pop(time.Time{}, nil); w != nil; w = l.queue.pop(time.Time{}, nil) {
		l.update(func(s state) state { return s.addWaiting(-1) })
		w.finish(l.refuseNew(ReasonLeaving))
	}
}

// Reopen takes new requests again after Close.
func (l *Limiter) Reopen() {
	l.update(func(s state) state { return s.withClosed(false) })
}

// Restart treats the server as cold again, because it was started anew.
func (l *Limiter) Restart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt.restart(now)
	l.refreshLimit(now)
	l.dispatch(now)
}

// SetServer adopts the limits of a new release. Work in slots goes on, also beyond a
// lower limit.
func (l *Limiter) SetServer(now time.Time, server mesh.Server) {
	cfg := ConfigFor(server)
	if l.cfg.Order == OrderUrgency {
		cfg.QueueLimit = max(1, cfg.Slots/slotsPerWaiter)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueLimit = cfg.QueueLimit
	l.adapt.setSlots(cfg.Slots, cfg.SlowStart)
	l.refreshLimit(now)
	l.dispatch(now)
}

// Refresh lets the limit of a cold server rise with time. It is called now and then.
func (l *Limiter) Refresh(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLimit(now)
	l.dispatch(now)
}

// Load returns the counts at this moment.
func (l *Limiter) Load() Load {
	s := l.load()
	return Load{InFlight: s.inFlight(), Queued: s.waiting(), Limit: s.limit(), Closed: s.closed()}
}

// refreshLimit writes the adapted limit into the state word. It needs mu.
func (l *Limiter) refreshLimit(now time.Time) {
	limit := l.adapt.current(now)
	if limit != l.load().limit() {
		l.update(func(s state) state { return s.withLimit(limit) })
	}
}

// dispatch hands free slots to waiters. It needs mu.
func (l *Limiter) dispatch(now time.Time) {
	for {
		s := l.load()
		if s.closed() || s.waiting() == 0 || s.inFlight() >= s.limit() {
			return
		}
		w := l.queue.pop(now, l.times)
		if reason := l.lateWaiter(now, w); reason != ReasonNone {
			l.update(func(s state) state { return s.addWaiting(-1) })
			w.finish(l.refuseNew(reason))
			continue
		}
		l.update(func(s state) state { return s.addWaiting(-1).addInFlight(1) })
		w.finish(Decision{Outcome: Granted})
	}
}

// lateWaiter returns why a waiter must not be started any more, or ReasonNone.
func (l *Limiter) lateWaiter(now time.Time, w *Waiter) Reason {
	switch {
	case l.times.tooLate(now, w.req):
		return ReasonDeadline
	case now.After(w.giveUp):
		return ReasonOverload
	default:
		return ReasonNone
	}
}

// refuseNew returns a refusal with a hint when the present queue will have ended.
func (l *Limiter) refuseNew(reason Reason) Decision {
	s := l.load()
	hint := l.cfg.MaxRetryAfter
	if reason != ReasonLeaving {
		perSlot := l.times.typical() / time.Duration(max(s.limit(), 1))
		hint = perSlot * time.Duration(s.waiting()+1)
	}
	hint = min(max(hint, l.cfg.MinRetryAfter), l.cfg.MaxRetryAfter)
	return Decision{Outcome: Refused, Reason: reason, RetryAfter: hint}
}

func (w *Waiter) finish(d Decision) {
	w.decision = d
	close(w.done)
}

func (l *Limiter) load() state { return state(l.state.Load()) }

func (l *Limiter) swap(from, to state) bool {
	return l.state.CompareAndSwap(uint64(from), uint64(to))
}

func (l *Limiter) update(change func(state) state) {
	for s := l.load(); !l.swap(s, change(s)); s = l.load() {
	}
}
