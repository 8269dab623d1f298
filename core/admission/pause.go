package admission

import (
	"sync/atomic"
	"time"
)

// PauseDetector notices that the process did not run for a while, because it was
// stopped or its VM was suspended. Calls that wait in socket buffers meanwhile carry
// a remaining time that was true before the pause, so a woken node must not run them.
//
// Observe is to be called at least every MaxGap/2 and before each decision. It is safe
// for concurrent use.
type PauseDetector struct {
	cfg PauseConfig
	// last is the time of the latest observation.
	last atomic.Pointer[time.Time]
	// wake is the end of the latest pause, nil if there was none.
	wake atomic.Pointer[time.Time]
}

// PauseConfig holds the limits of a PauseDetector.
type PauseConfig struct {
	// MaxGap is the longest time between two observations of a running process. A
	// small gap takes a busy machine for a pause, a large one runs calls that are late
	// by up to this much.
	MaxGap time.Duration
	// Settle is how long after a pause buffered calls may still arrive. A long time
	// refuses fresh calls, a short one lets stale calls pass.
	Settle time.Duration
}

// DefaultPauseConfig returns limits for a node that ticks every 100 ms.
func DefaultPauseConfig() PauseConfig {
	return PauseConfig{MaxGap: 2 * time.Second, Settle: time.Second}
}

// NewPauseDetector returns a detector for a process that runs at now.
func NewPauseDetector(cfg PauseConfig, now time.Time) *PauseDetector {
	d := &PauseDetector{cfg: cfg}
	d.last.Store(&now)
	return d
}

// Observe notes that the process runs at now and reports whether calls that arrive now
// may be stale. A suspended VM stops the monotonic clock, so the larger of the
// monotonic and the wall clock's gap counts.
func (d *PauseDetector) Observe(now time.Time) bool {
	last := d.last.Load()
	if gap(*last, now) > d.cfg.MaxGap && d.last.CompareAndSwap(last, &now) {
		d.wake.Store(&now)
		return true
	}
	if gap(*last, now) > d.cfg.MaxGap {
		return true
	}
	if now.Sub(*last) > d.cfg.MaxGap/observeShare {
		d.last.Store(&now)
	}
	wake := d.wake.Load()
	return wake != nil && now.Sub(*wake) < d.cfg.Settle
}

// observeShare is the share of MaxGap after which an observation is stored, so that
// most calls only read.
const observeShare = 20

func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
