package admission

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// startSpan is the span over which a StartLimit counts starts.
	startSpan = time.Second
	// maxStartsPerSpan bounds the starts that a window records. A higher limit acts as this one.
	maxStartsPerSpan = 10000
)

// StartLimit is the number of requests that may start in any one-second span.
type StartLimit struct {
	// PerSecond is the limit, of which the fraction is dropped; 0 or less removes it.
	PerSecond float64
	// Enforced delays and refuses starts above the limit. Without it they are only recorded, so
	// that the limit holds exactly from the moment in which it is enforced.
	Enforced bool
}

// startWindow enforces a StartLimit over a sliding span, which, unlike rateLimit, allows no
// burst across the boundary of two spans. spacing may be read at any time; everything else
// requires Limiter.mu.
type startWindow struct {
	// spacing is the mean time between two starts in nanoseconds while the limit is enforced,
	// 0 otherwise.
	spacing  atomic.Int64
	limit    int
	recorded bool
	enforced bool
	// recent are the latest starts within the span, oldest first; at most limit of them.
	recent []time.Time
	// dropped is the latest start that was dropped from recent before its span ended.
	dropped time.Time
	// heldUntil is when no starts that are not in recent can be within the span any more.
	heldUntil time.Time
}

// set changes the limit. Starts before the first limit are unknown, here or to another process that
// sent to the server before this one did, so the span before it counts as used up.
func (w *startWindow) set(now time.Time, limit StartLimit) {
	if !(limit.PerSecond > 0) {
		w.spacing.Store(0)
		w.limit, w.recorded, w.enforced, w.recent, w.heldUntil, w.dropped = 0, false, false, nil, time.Time{}, time.Time{}
		return
	}
	n := int(min(math.Floor(limit.PerSecond), maxStartsPerSpan))
	switch {
	case !w.recorded:
		w.hold(now)
	case n > w.limit && w.limit == 0:
		w.hold(now)
	case n > w.limit:
		w.hold(w.dropped)
	case n < len(w.recent):
		w.drop(len(w.recent) - n)
	}
	w.limit, w.recorded, w.enforced = n, true, limit.Enforced
	w.spacing.Store(int64(w.meanSpacing()))
}

// hold counts the span before at as used up.
func (w *startWindow) hold(at time.Time) {
	if until := at.Add(startSpan); until.After(w.heldUntil) {
		w.heldUntil = until
	}
}

func (w *startWindow) meanSpacing() time.Duration {
	switch {
	case !w.enforced:
		return 0
	case w.limit == 0:
		return maxStartInterval
	default:
		return startSpan / time.Duration(w.limit)
	}
}

// earliest returns the earliest time of the n-th start from now on; n is at least 1.
func (w *startWindow) earliest(now time.Time, n float64) time.Time {
	if !w.enforced {
		return now
	}
	if w.limit == 0 {
		return now.Add(time.Duration(math.Ceil(n)) * maxStartInterval)
	}
	ahead := max(int(math.Ceil(n)), 1) - 1
	at := now
	if w.heldUntil.After(at) {
		at = w.heldUntil
	}
	if i := len(w.recent) - w.limit + ahead%w.limit; i >= 0 {
		if free := w.recent[i].Add(startSpan); free.After(at) {
			at = free
		}
	}
	return at.Add(time.Duration(ahead/w.limit) * startSpan)
}

// allows reports whether a request may start now.
func (w *startWindow) allows(now time.Time) bool { return !w.earliest(now, 1).After(now) }

// take records a start. Callers read the time before they get Limiter.mu, so now may be earlier than
// that of the previous start.
func (w *startWindow) take(now time.Time) {
	if !w.recorded || w.limit == 0 {
		return
	}
	if n := len(w.recent); n > 0 && now.Before(w.recent[n-1]) {
		now = w.recent[n-1]
	}
	expired := 0
	for expired < len(w.recent) && !w.recent[expired].Add(startSpan).After(now) {
		expired++
	}
	w.removeOldest(expired)
	if len(w.recent) == w.limit {
		w.drop(1)
	}
	w.recent = append(w.recent, now)
}

// drop removes the n oldest starts, whose span has not ended.
func (w *startWindow) drop(n int) {
	w.dropped = w.recent[n-1]
	w.removeOldest(n)
}

func (w *startWindow) removeOldest(n int) {
	if n > 0 {
		w.recent = w.recent[:copy(w.recent, w.recent[n:])]
	}
}

// forget uncounts a start at or after since, if it is certain to be in recent and no other one within its
// span was dropped.
func (w *startWindow) forget(since time.Time) {
	if len(w.recent) > 0 && !since.Before(w.recent[0]) && !since.Before(w.dropped.Add(startSpan)) {
		w.removeOldest(1)
	}
}

// SetStartLimit limits the requests that start in any one-second span. It applies beside the limit of
// SetRateLimit; the stricter one decides.
func (l *Limiter) SetStartLimit(now time.Time, limit StartLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts.set(now, limit)
	l.update(func(s state) state { return s.withRecorded(l.starts.recorded) })
	l.dispatch(now)
}

// ForgetStart uncounts the start of a request that was passed to Acquire at since and that the server
// turned away as meant for another run. It has no effect unless that start is known to be within the
// span. Of those in it the oldest is dropped, which is no later than the one meant, so the limit still holds.
func (l *Limiter) ForgetStart(since time.Time) {
	if !l.load().recorded() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts.forget(since)
}

// earliestStart returns the earliest time at which the limits on starts allow the n-th start from now
// on; n is at least 1. It requires mu.
func (l *Limiter) earliestStart(now time.Time, n float64) time.Time {
	at := l.rate.earliest(now, n)
	if w := l.starts.earliest(now, n); w.After(at) {
		return w
	}
	return at
}

// startAllowed reports whether the limits on starts allow one now. It requires mu.
func (l *Limiter) startAllowed(now time.Time) bool {
	return l.rate.allows(now) && l.starts.allows(now)
}

// takeStart counts a start. It requires mu.
func (l *Limiter) takeStart(now time.Time) {
	l.rate.take(now)
	l.starts.take(now)
}

// startSpacing returns the mean time between two starts at the stricter limit on starts, 0 if there is
// none.
func (l *Limiter) startSpacing() time.Duration {
	return max(l.rate.spacing(), time.Duration(l.starts.spacing.Load()))
}

// startReason returns the reason of a refusal by the stricter limit on starts, or ReasonNone if there
// is none.
func (l *Limiter) startReason() Reason {
	spacing := time.Duration(l.starts.spacing.Load())
	switch {
	case spacing > l.rate.spacing():
		return ReasonCold
	case l.rate.limited():
		return ReasonRateLimit
	default:
		return ReasonNone
	}
}

// delayRetry extends the backoff hint of a refusal to the time at which the limits on starts allow a
// request after those that wait. It requires mu.
func (l *Limiter) delayRetry(now time.Time, d Decision) Decision {
	if !l.starts.enforced {
		return d
	}
	free := l.starts.earliest(now, float64(l.load().waiting()+1)).Sub(now)
	d.RetryAfter = min(max(d.RetryAfter, free), l.cfg.MaxRetryAfter)
	return d
}
