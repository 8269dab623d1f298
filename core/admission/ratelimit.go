package admission

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// rateBurst is the time whose starts may happen at once, so that requests that arrive
	// together are not all delayed.
	rateBurst = 100 * time.Millisecond
	// maxStartInterval is the longest time between two starts, also if the server accepts fewer
	// requests or none: only a response tells that the limit has been raised.
	maxStartInterval = 2 * time.Second
)

// rateLimit spaces the starts of requests evenly, with a burst (the generic cell rate
// algorithm). interval may be read at any time; everything else requires Limiter.mu.
type rateLimit struct {
	// interval is the time between two starts in nanoseconds, 0 for no limit.
	interval atomic.Int64
	// due is when the next start would be due without a burst.
	due time.Time
}

func (r *rateLimit) spacing() time.Duration { return time.Duration(r.interval.Load()) }

func (r *rateLimit) limited() bool { return r.spacing() > 0 }

// set changes the rate, in requests per second, or removes the limit if limited is false.
func (r *rateLimit) set(now time.Time, perSecond float64, limited bool) {
	if !limited {
		r.interval.Store(0)
		r.due = time.Time{}
		return
	}
	spacing := max(startInterval(perSecond), 1)
	r.interval.Store(int64(spacing))
	if latest := now.Add(spacing); r.due.After(latest) {
		r.due = latest
	}
}

// startInterval returns the time between two starts at a rate in requests per second.
func startInterval(perSecond float64) time.Duration {
	if perSecond*maxStartInterval.Seconds() <= 1 {
		return maxStartInterval
	}
	return time.Duration(math.Ceil(float64(time.Second) / perSecond))
}

// earliest returns the earliest time of the n-th start from now on; n is at least 1.
func (r *rateLimit) earliest(now time.Time, n float64) time.Time {
	if !r.limited() {
		return now
	}
	due := r.due
	if due.Before(now) {
		due = now
	}
	return due.Add(time.Duration((n-1)*float64(r.spacing())) - rateBurst)
}

// allows reports whether a request may start now.
func (r *rateLimit) allows(now time.Time) bool { return !r.earliest(now, 1).After(now) }

// take counts a start.
func (r *rateLimit) take(now time.Time) {
	if r.due.Before(now) {
		r.due = now
	}
	r.due = r.due.Add(r.spacing())
}
