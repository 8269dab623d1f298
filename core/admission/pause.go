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
	// last is the time of the latest observation, in nanoseconds since the boot.
	last atomic.Int64
	// wake is the end of the latest pause, in the same unit, 0 if there was none.
	wake atomic.Int64
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

// NewPauseDetector returns a detector for a process that runs at the given time since
// the VM's boot.
func NewPauseDetector(cfg PauseConfig, at time.Duration) *PauseDetector {
	d := &PauseDetector{cfg: cfg}
	d.last.Store(int64(at))
	return d
}

// Observe notes that the process runs at the given time since the VM's boot and reports
// whether calls that arrive now may be stale. The time must go on while the VM is
// suspended and never step, as steady.Boot does.
func (d *PauseDetector) Observe(at time.Duration) bool {
	now, last := int64(at), d.last.Load()
	gap := time.Duration(now - last)
	if gap > d.cfg.MaxGap {
		if d.last.CompareAndSwap(last, now) {
			d.wake.Store(now)
		}
		return true
	}
	if gap > d.cfg.MaxGap/observeShare {
		d.last.Store(now)
	}
	wake := d.wake.Load()
	return wake != 0 && time.Duration(now-wake) < d.cfg.Settle
}

// observeShare is the share of MaxGap after which an observation is stored, so that
// most calls only read.
const observeShare = 20
