package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
)

// Limiter limits the concurrent requests to one backend server and, if the server asks for
// it, the requests per second. Create it with New. It is safe for concurrent use.
type Limiter struct {
	cfg   Config
	times *serviceTimes
	// state is modified only by compare-and-swap. The waiting count changes only while
	// mu is held.
	state    atomic.Uint64
	adaptive adaptiveLimit
	rate     rateLimit
	starts   startWindow

	mu         sync.Mutex
	queue      waitQueue
	queueLimit int
	// ranks is the demand of each rank under OrderUrgency, nil otherwise.
	ranks *rankDemand
	// refusals counts refusals under OrderUrgency, to spread their RetryAfter.
	refusals atomic.Uint64
}

// New returns a limiter for a server whose slow start begins at now.
func New(cfg Config, now time.Time) *Limiter {
	l := &Limiter{
		cfg:   cfg,
		times: newServiceTimes(cfg, now),
		queue: newWaitQueue(cfg.Order),
		// Replaced by SetServer.
		queueLimit: cfg.QueueLimit,
	}
	if q, ok := l.queue.(*urgencyQueue); ok {
		l.ranks = &q.demand
	}
	l.adaptive = newAdaptiveLimit(cfg, now)
	l.state.Store(uint64(state(0).withLimit(l.adaptive.current(now))))
	return l
}

// Acquire requests a slot. After Granted, the caller must call Release when the request
// ends. After Queued, it must wait for Waiter.Done or call Abandon. It takes no lock if a
// slot is free, nothing is queued and there is neither a rate limit nor a start limit.
func (l *Limiter) Acquire(now time.Time, req Request) Decision {
	if l.times.wouldMissDeadline(now, req) {
		return l.newRefusal(ReasonDeadline)
	}
	reserved := 0
	var route *estimator
	if l.ranks != nil {
		route = l.times.estimatorFor(req.Route)
		l.ranks.arrived(now, req, route, l.times)
		reserved = l.ranks.withheldFrom(req.Rank)
	}
	for s := l.load(); s.hasFreeSlot(reserved) && !s.recorded() && !l.rate.limited(); s = l.load() {
		if l.compareAndSwap(s, s.addInFlight(1)) {
			if l.ranks != nil {
				l.ranks.granted(now, req, route, l.times)
				l.ranks.decided(req, false)
			}
			return Decision{Outcome: Granted}
		}
	}
	d := l.acquireSlow(now, req)
	if l.ranks != nil {
		l.ranks.decided(req, d.Outcome == Refused)
	}
	return d
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
			return l.newRefusal(ReasonLeaving)
		case l.mayStart(now, s, req):
			if l.compareAndSwap(s, s.addInFlight(1)) {
				l.takeStart(now)
				l.queue.started(now, req, l.times)
				return Decision{Outcome: Granted}
			}
		case !l.admitToQueue(now, s, req):
			return l.delayRetry(now, l.newRefusalFor(now, req, l.fullReason(s)))
		default:
			// If a slot became free after s was read, do not queue. A change after this
			// read makes the compare-and-swap fail.
			s = l.load()
			if !s.closed() && !l.mayStart(now, s, req) && l.compareAndSwap(s, s.addWaiting(1)) {
				return Decision{Outcome: Queued, Waiter: l.queue.push(l.newWaiter(now, req))}
			}
		}
	}
}

// mayStart reports whether a new request may start now without overtaking a waiter that may
// start too. It requires mu.
func (l *Limiter) mayStart(now time.Time, s state, req Request) bool {
	return !s.closed() && l.queue.mayStart(req, s.limit()-s.inFlight()) && l.startAllowed(now)
}

// Release frees the slot of a request that has ended and grants it to the next waiter. It
// takes no lock if nothing is queued and the result does not affect the limit.
func (l *Limiter) Release(now time.Time, res Result) {
	if l.ranks != nil {
		l.ranks.released(now, res.Route, l.times)
	}
	l.observe(now, res)
	for s := l.load(); s.waiting() == 0; s = l.load() {
		if l.compareAndSwap(s, s.addInFlight(-1)) {
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
		slow = l.times.record(now, res)
	}
	s := l.load()
	if !l.adaptive.affectsLimit(s.limit(), res, slow) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adaptive.observe(now, l.load(), res, slow)
	l.refreshLimit(now)
	l.dispatch(now)
}

// ServiceTime returns the estimated median service time of a route, or 0 if there is no
// sample.
func (l *Limiter) ServiceTime(route string) time.Duration { return l.times.median(route) }

// Close refuses all waiters and all new requests. Requests in slots continue.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(func(s state) state { return s.withClosed(true) })
	for w := l.queue.pop(time.Time{}, nil); w != nil; w = l.queue.pop(time.Time{}, nil) {
		l.update(func(s state) state { return s.addWaiting(-1) })
		w.resolve(l.newRefusal(ReasonLeaving))
	}
}

// Reopen admits new requests again after Close.
func (l *Limiter) Reopen() {
	l.update(func(s state) state { return s.withClosed(false) })
}

// Restart resets the limit and begins slow start, because the server was restarted.
func (l *Limiter) Restart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adaptive.restart(now)
	l.refreshLimit(now)
	l.dispatch(now)
}

// SetServer applies the slots, connections and slow start of a new release. Requests in
// slots continue even if they exceed a lower limit.
func (l *Limiter) SetServer(now time.Time, server mesh.Server) {
	cfg := ConfigFor(server)
	if l.cfg.Order == OrderUrgency {
		cfg.QueueLimit = min(max(1, waitersPerSlot*cfg.Slots), maxWaiters)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueLimit = cfg.QueueLimit
	l.adaptive.setSlots(cfg.Slots, cfg.SlowStart)
	l.refreshLimit(now)
	l.dispatch(now)
}

// SetRateLimit limits the requests that start per second, or removes the limit if limited is
// false. Each request that starts counts, whatever its outcome.
func (l *Limiter) SetRateLimit(now time.Time, perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate.set(now, perSecond, limited)
	l.dispatch(now)
}

// RefreshAt returns when a waiter must call Refresh because the limits on starts may allow one
// then, or false if there are none.
func (l *Limiter) RefreshAt(now time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := l.earliestStart(now, 1); at.After(now) {
		return at, true
	}
	// All slots are taken; another waiter may use up the next start.
	spacing := l.startSpacing()
	return now.Add(spacing), spacing > 0
}

// Refresh raises the limit during slow start and grants the slots that this frees. Call it
// periodically.
func (l *Limiter) Refresh(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLimit(now)
	l.dispatch(now)
}

// Load returns the current counts, read atomically.
func (l *Limiter) Load() Load {
	s := l.load()
	return Load{
		InFlight: s.inFlight(), Queued: s.waiting(), Limit: s.limit(), Closed: s.closed(),
		Sustained: l.sustained(s),
	}
}

// sustained returns the number of requests that are in flight on average if the limits are
// used up: the limit on starts times the service time, at most the concurrency limit.
func (l *Limiter) sustained(s state) int {
	// The limits on starts may end at any time: one read decides.
	median, spacing := l.times.overallMedian(), l.startSpacing()
	if spacing == 0 || median == 0 {
		return s.limit()
	}
	return min(s.limit(), 1+int(median/spacing))
}

// refreshLimit writes the current adaptive limit into the state word. It requires mu.
func (l *Limiter) refreshLimit(now time.Time) {
	limit := l.adaptive.current(now)
	if limit != l.load().limit() {
		l.update(func(s state) state { return s.withLimit(limit) })
	}
}

// newRefusal returns a refusal whose RetryAfter is the estimated time until the current
// queue is served, or MaxRetryAfter if the server is leaving.
func (l *Limiter) newRefusal(reason Reason) Decision {
	s := l.load()
	retryAfter := l.cfg.MaxRetryAfter
	if reason != ReasonLeaving {
		perStart := max(l.times.overallMedian()/time.Duration(max(s.limit(), 1)), l.startSpacing())
		retryAfter = perStart * time.Duration(s.waiting()+1)
	}
	retryAfter = min(max(retryAfter, l.cfg.MinRetryAfter), l.cfg.MaxRetryAfter)
	return Decision{Outcome: Refused, Reason: reason, RetryAfter: retryAfter}
}

// newRefusalFor returns a refusal of req. Under OrderUrgency its RetryAfter is the time after
// which the queue will have drained enough for req to start in time, spread by retrySpread. It
// requires mu.
func (l *Limiter) newRefusalFor(now time.Time, req Request, reason Reason) Decision {
	d := l.newRefusal(reason)
	if l.ranks == nil || reason != ReasonOverload {
		return d
	}
	limit := max(l.load().limit(), 1)
	start := now.Add(l.queue.expectedWait(now, req, l.times, limit))
	drained := start.Sub(l.latestStart(now, req))
	perStart := l.times.overallMean() / time.Duration(limit)
	after := time.Duration(float64(max(drained, perStart)) * l.retrySpread())
	d.RetryAfter = min(max(after, l.cfg.MinRetryAfter), l.cfg.MaxRetryAfter)
	return d
}

// retrySpread returns a factor between 0.75 and 1.25. Successive values of a golden-ratio sequence
// are spread evenly, so that callers that were refused together don't return together.
func (l *Limiter) retrySpread() float64 {
	const goldenRatio = 0x9e3779b97f4a7c15
	return 0.75 + 0.5*float64(l.refusals.Add(1)*goldenRatio>>11)/(1<<53)
}

func (l *Limiter) load() state { return state(l.state.Load()) }

func (l *Limiter) compareAndSwap(from, to state) bool {
	return l.state.CompareAndSwap(uint64(from), uint64(to))
}

func (l *Limiter) update(change func(state) state) {
	for s := l.load(); !l.compareAndSwap(s, change(s)); s = l.load() {
	}
}
