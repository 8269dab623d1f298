package admission

import (
	"sync/atomic"
	"time"
)

// adaptiveLimit computes the concurrency limit by AIMD: additive increase while the limit
// is used, one multiplicative decrease for each burst of sheds or slow responses, and a
// linear ramp during slow start. All methods except affectsLimit require Limiter.mu.
type adaptiveLimit struct {
	cfg            Config
	limit          float64
	slowStartBegan time.Time
	lastDecrease   time.Time
	lastIncrease   time.Time
	// slowScore is incremented by slow samples and decremented by normal ones, never
	// below zero.
	slowScore *atomic.Int64
	slots     *atomic.Int64
	slowStart time.Duration
}

func newAdaptiveLimit(cfg Config, now time.Time) adaptiveLimit {
	a := adaptiveLimit{cfg: cfg, slowScore: new(atomic.Int64), slots: new(atomic.Int64), slowStart: cfg.SlowStart}
	a.slots.Store(int64(cfg.Slots))
	a.restart(now)
	return a
}

// setSlots changes the number of slots and scales the limit in proportion.
func (a *adaptiveLimit) setSlots(slots int, slowStart time.Duration) {
	share := a.limit / float64(a.slots.Load())
	a.slots.Store(int64(slots))
	a.limit = max(share*float64(slots), 1)
	a.slowStart = slowStart
}

func (a *adaptiveLimit) restart(now time.Time) {
	a.limit = float64(a.slots.Load())
	a.slowStartBegan = now
	a.lastDecrease = time.Time{}
	a.slowScore.Store(0)
}

// current returns the limit at now, between 1 and the number of slots.
func (a *adaptiveLimit) current(now time.Time) int {
	limit := min(a.limit, a.slowStartLimit(now))
	return min(max(int(limit), 1), int(a.slots.Load()))
}

// slowStartLimit returns the upper bound during slow start, and the number of slots after
// it.
func (a *adaptiveLimit) slowStartLimit(now time.Time) float64 {
	slots := float64(a.slots.Load())
	elapsed := now.Sub(a.slowStartBegan)
	if elapsed >= a.slowStart {
		return slots
	}
	progress := max(float64(elapsed)/float64(a.slowStart), 0)
	share := a.cfg.SlowStartShare + (1-a.cfg.SlowStartShare)*progress
	return slots * share
}

// affectsLimit reports whether a result can change the limit. It does not require the
// lock, so releasing a slot of a healthy server at its full limit takes no lock.
func (a *adaptiveLimit) affectsLimit(limit int, res Result, slow bool) bool {
	if res.Unmeasured {
		return false
	}
	return res.Shed || slow || limit < int(a.slots.Load()) || a.slowScore.Load() > 0
}

func (a *adaptiveLimit) observe(now time.Time, s state, res Result, slow bool) {
	switch {
	case res.Shed:
		a.decrease(now, s, 1)
	case slow:
		if a.slowScore.Add(1) >= int64(a.cfg.SlowScore*s.limit()) {
			a.slowScore.Store(0)
			a.decrease(now, s, a.cfg.SlowFloor*float64(a.slots.Load()))
		}
	default:
		a.slowScore.Store(max(a.slowScore.Load()-1, 0))
		a.increase(now, s)
	}
}

// decrease multiplies the limit in use, which may be below a.limit during slow start, by
// DecreaseFactor, but not to below floor. It does nothing within DecreaseInterval of the
// previous decrease.
func (a *adaptiveLimit) decrease(now time.Time, s state, floor float64) {
	if !a.lastDecrease.IsZero() && now.Sub(a.lastDecrease) < a.cfg.DecreaseInterval {
		return
	}
	a.lastDecrease, a.lastIncrease = now, now
	inUse := min(a.limit, float64(s.limit()))
	a.limit = max(inUse*a.cfg.DecreaseFactor, min(floor, inUse), 1)
}

// increase raises the limit by one request, at most once per IncreaseInterval and only
// while at least half of the limit is used: without load there is no evidence that the
// server can handle a higher limit.
func (a *adaptiveLimit) increase(now time.Time, s state) {
	if 2*s.inFlight() < s.limit() || now.Sub(a.lastIncrease) < a.cfg.IncreaseInterval {
		return
	}
	a.lastIncrease = now
	a.limit = min(a.limit+1, float64(a.slots.Load()))
}
