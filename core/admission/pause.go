package admission

import (
	"sync/atomic"
	"time"
)

// PauseDetector detects that the process was paused, because it was stopped or its VM was
// suspended. Calls that wait in socket buffers during the pause carry a remaining time
// from before it, so a resumed node must not run them.
//
// Call Observe at least every MaxGap/2 and before each decision. PauseDetector is safe for
// concurrent use.
type PauseDetector struct {
	cfg PauseConfig
	// last is the time of the latest stored observation, in nanoseconds since boot.
	last atomic.Int64
	// wake is the end of the latest pause, in nanoseconds since boot; 0 if there was none.
	wake atomic.Int64
}

// PauseConfig holds the limits of a PauseDetector.
type PauseConfig struct {
	// MaxGap is the longest time between two observations that does not count as a pause.
	// With a small gap, a busy VM is mistaken for a pause. With a large one, calls may run
	// up to this long past their deadline.
	MaxGap time.Duration
	// Settle is how long after a pause calls are treated as stale, because they may come
	// from socket buffers. A long time refuses fresh calls, a short one admits stale calls.
	Settle time.Duration
}

// DefaultPauseConfig returns limits for a node that calls Observe every 100 ms.
func DefaultPauseConfig() PauseConfig {
	return PauseConfig{MaxGap: 2 * time.Second, Settle: time.Second}
}

// NewPauseDetector returns a detector. sinceBoot is the current time since the VM's boot.
func NewPauseDetector(cfg PauseConfig, sinceBoot time.Duration) *PauseDetector {
	d := &PauseDetector{cfg: cfg}
	d.last.Store(int64(sinceBoot))
	return d
}

// Observe records that the process is running at sinceBoot, the time since the VM's boot,
// and reports whether calls that arrive now may be stale. The clock must keep counting
// while the VM is suspended and must never step; see steady.Boot.
func (d *PauseDetector) Observe(sinceBoot time.Duration) bool {
	now, last := int64(sinceBoot), d.last.Load()
	gap := time.Duration(now - last)
	if gap > d.cfg.MaxGap {
		if d.last.CompareAndSwap(last, now) {
			d.wake.Store(now)
		}
		return true
	}
	if gap > d.cfg.MaxGap/storesPerGap {
		d.last.Store(now)
	}
	wake := d.wake.Load()
	return wake != 0 && time.Duration(now-wake) < d.cfg.Settle
}

// storesPerGap is the maximum number of observations stored per MaxGap, so that most
// calls only read.
const storesPerGap = 20
