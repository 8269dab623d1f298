package admission

import "time"

// Waiter is a queued request. The channel that Done returns is closed once the request is
// granted or refused.
type Waiter struct {
	req           Request
	queueDeadline time.Time
	done          chan struct{}
	decision      Decision
	arrived       time.Time
	// latestStart is the latest start that meets the objective.
	latestStart time.Time
	// sortKey orders waiters of a rank under OrderUrgency: the arrival plus the slack, scaled.
	sortKey time.Time
	// flow is set by fairQueue.
	flow *flow
	// index is set by the heaps of fairQueue.
	index int
	// route is the estimator of the request's route.
	route *estimator
	// overdue is set by urgencyQueue once latestStart has passed.
	overdue bool
}

// QueueDeadline returns the time at which to call Abandon if Done is not closed by then.
func (w *Waiter) QueueDeadline() time.Time { return w.queueDeadline }

// Done returns a channel that is closed when the decision is made.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Decision returns the decision. Call it only after Done is closed.
func (w *Waiter) Decision() Decision { return w.decision }

func (w *Waiter) resolve(d Decision) {
	w.decision = d
	close(w.done)
}

func (l *Limiter) newWaiter(now time.Time, req Request) *Waiter {
	w := waiterFor(now, req, l.times)
	w.queueDeadline = l.queueDeadline(now, req)
	w.done = make(chan struct{})
	return w
}

// admitToQueue reports whether req may join the queue. It returns false if req is expected
// to wait beyond its queue deadline or to finish after its response deadline. If the queue
// is full, it evicts the waiter that req displaces, if any.
func (l *Limiter) admitToQueue(now time.Time, s state, req Request) bool {
	if l.expectedStart(now, s, req).After(l.latestStart(now, req)) {
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
	victim.resolve(l.newRefusalFor(now, victim.req, ReasonOverload))
	return true
}

// fullReason returns the reason why a request neither starts nor is queued.
func (l *Limiter) fullReason(s state) Reason {
	if reason := l.startReason(); reason != ReasonNone && s.inFlight() < s.limit() {
		return reason
	}
	return ReasonOverload
}

// firstWait is the share of its tolerable wait for which a request is queued at the first server: another
// one may have a free slot, above all if this one is slow. A smaller share costs more messages under
// overload of all servers.
const firstWait = 0.25

// latestStart returns the latest expected start with which req may be queued: under OrderUrgency the
// one that meets the objective if it can still be met, otherwise the one that meets the deadline.
func (l *Limiter) latestStart(now time.Time, req Request) time.Time {
	median := l.times.median(req.Route)
	if l.cfg.Order == OrderUrgency && !now.Add(median).After(req.Objective) {
		latest := waiterFor(now, req, l.times).latestStart
		share := l.ranks.waitShare(req.Rank, l.load().limit())
		if req.First {
			share *= firstWait
		}
		return now.Add(time.Duration(share * float64(latest.Sub(now))))
	}
	latest := l.queueDeadline(now, req)
	if inTime := req.Deadline.Add(-median); inTime.Before(latest) {
		return inTime
	}
	return latest
}

// queueDeadline returns the time until which req may wait in the queue.
func (l *Limiter) queueDeadline(now time.Time, req Request) time.Time {
	if l.cfg.Order == OrderUrgency {
		return req.Deadline.Add(-l.times.median(req.Route))
	}
	remaining := req.Deadline.Sub(now)
	return now.Add(time.Duration(float64(remaining) * l.cfg.WaitShare))
}

// expectedStart estimates when req would leave the queue. It requires mu.
func (l *Limiter) expectedStart(now time.Time, s state, req Request) time.Time {
	start := l.earliestStart(now, l.queue.position(now, req, l.times))
	if l.queue.mayStart(req, s.limit()-s.inFlight()) || l.startSpacing() > 0 && s.inFlight() < s.limit() {
		// Only the limits on starts delay it.
		return start
	}
	slotFree := now.Add(l.queue.expectedWait(now, req, l.times, max(s.limit(), 1)))
	if slotFree.After(start) {
		return slotFree
	}
	return start
}

// Abandon removes a queued request whose time in the queue has expired or whose caller
// disconnected. If a decision was already made, Abandon returns it unchanged: if it is
// Granted, the caller must call Release.
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
	case !now.Before(w.queueDeadline):
		reason = ReasonOverload
	}
	l.queue.remove(w)
	l.update(func(s state) state { return s.addWaiting(-1) })
	w.resolve(l.newRefusalFor(now, w.req, reason))
	return w.decision
}

// dispatch grants free slots to waiters and refuses waiters that have expired. It requires
// mu.
func (l *Limiter) dispatch(now time.Time) {
	s := l.load()
	for _, w := range l.queue.sweep(now, l.times, max(s.limit(), 1), s.inFlight() >= s.limit()) {
		l.update(func(s state) state { return s.addWaiting(-1) })
		w.resolve(l.newRefusalFor(now, w.req, ReasonOverload))
	}
	for {
		s := l.load()
		if s.closed() || s.waiting() == 0 || s.inFlight() >= s.limit() || !l.startAllowed(now) {
			return
		}
		w := l.queue.next(now, l.times, s.limit()-s.inFlight())
		if w == nil {
			return
		}
		if reason := l.expiryReason(now, w); reason != ReasonNone {
			l.update(func(s state) state { return s.addWaiting(-1) })
			w.resolve(l.newRefusalFor(now, w.req, reason))
			continue
		}
		l.update(func(s state) state { return s.addWaiting(-1).addInFlight(1) })
		l.takeStart(now)
		l.queue.started(now, w.req, l.times)
		w.resolve(Decision{Outcome: Granted})
	}
}

// expiryReason returns the reason why a waiter must no longer be started, or ReasonNone.
func (l *Limiter) expiryReason(now time.Time, w *Waiter) Reason {
	switch {
	case l.times.wouldMissDeadline(now, w.req):
		return ReasonDeadline
	case now.After(w.queueDeadline):
		return ReasonOverload
	default:
		return ReasonNone
	}
}
