package admission

import (
	"sync/atomic"
	"time"
)

// adapter computes the limit: additive increase while the limit is used, one
// multiplicative decrease for each burst of sheds or slow answers, and a ramp while
// the server is cold. All but concerns needs the limiter's lock.
type adapter struct {
	cfg          Config
	limit        float64
	coldSince    time.Time
	lastDecrease time.Time
	lastIncrease time.Time
	// slowScore counts slow samples up and normal ones down, never below zero.
	slowScore *atomic.Int64
	slots     *atomic.Int64
	slowStart time.Duration
}

func newAdapter(cfg Config, now time.Time) adapter {
	a := adapter{cfg: cfg, slowScore: new(atomic.Int64), slots: new(atomic.Int64), slowStart: cfg.SlowStart}
	a.slots.Store(int64(cfg.Slots))
	a.restart(now)
	return a
}

// setSlots keeps the adapted share of the slots.
func (a *adapter) setSlots(slots int, slowStart time.Duration) {
	share := a.limit / float64(a.slots.Load())
	a.slots.Store(int64(slots))
	a.limit = max(share*float64(slots), 1)
	a.slowStart = slowStart
}

func (a *adapter) restart(now time.Time) {
	a.limit = float64(a.slots.Load())
	a.coldSince = now
	a.lastDecrease = time.Time{}
	a.slowScore.Store(0)
}

// current returns the limit at now, between 1 and Slots.
func (a *adapter) current(now time.Time) int {
	limit := min(a.limit, a.ramp(now))
	return min(max(int(limit), 1), int(a.slots.Load()))
}

// ramp returns the bound for a server that is still cold.
func (a *adapter) ramp(now time.Time) float64 {
	slots := float64(a.slots.Load())
	age := now.Sub(a.coldSince)
	if age >= a.slowStart {
		return slots
	}
	done := max(float64(age)/float64(a.slowStart), 0)
	share := a.cfg.SlowStartShare + (1-a.cfg.SlowStartShare)*done
	return slots * share
}

// concerns reports whether a result can change the limit. It is read without the lock:
// a healthy server at its full limit takes no lock on release.
func (a *adapter) concerns(limit int, res Result, slow bool) bool {
	if res.Unmeasured {
		return false
	}
	return res.Shed || slow || limit < int(a.slots.Load()) || a.slowScore.Load() > 0
}

func (a *adapter) observe(now time.Time, s state, res Result, slow bool) {
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

// decrease starts from the limit in use, which may be below a.limit on a cold server. It
// doesn't go below the floor.
func (a *adapter) decrease(now time.Time, s state, floor float64) {
	if !a.lastDecrease.IsZero() && now.Sub(a.lastDecrease) < a.cfg.DecreaseInterval {
		return
	}
	a.lastDecrease, a.lastIncrease = now, now
	inUse := min(a.limit, float64(s.limit()))
	a.limit = max(inUse*a.cfg.DecreaseFactor, min(floor, inUse), 1)
}

// increase adds one request, but only while half of the limit is used: an idle server
// proves nothing about a higher limit.
func (a *adapter) increase(now time.Time, s state) {
	if 2*s.inFlight() < s.limit() || now.Sub(a.lastIncrease) < a.cfg.IncreaseInterval {
		return
	}
	a.lastIncrease = now
	a.limit = min(a.limit+1, float64(a.slots.Load()))
}
