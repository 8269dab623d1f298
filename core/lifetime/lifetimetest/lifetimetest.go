// Package lifetimetest helps tests to check that requests end in time.
package lifetimetest

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Bound is how long after its timeout a request may be without its response or its end, as
// callers expect it.
const Bound = 500 * time.Millisecond

// watchInterval is the time between two looks at the clock.
const watchInterval = 5 * time.Millisecond

// Watch measures for how long the test's process got no processor time, which no code of the
// test can make up for. Create it with Start.
type Watch struct {
	began   time.Time
	stop    chan struct{}
	once    sync.Once
	task    conc.WaitGroup
	longest time.Duration
}

// Start starts a watch at the moment at which a request is sent.
func Start() *Watch {
	w := &Watch{began: time.Now(), stop: make(chan struct{})}
	w.task.Go(w.run)
	return w
}

func (w *Watch) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for last := w.began; ; {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		w.longest = max(w.longest, now.Sub(last)-watchInterval)
		last = now
	}
}

// Late ends the watch and returns how much later than Bound after its timeout a request ended
// that was sent at the start and ends now; 0 if it is in time. The longest time without
// processor time is taken off.
func (w *Watch) Late(timeout time.Duration) time.Duration {
	return w.LateAt(time.Now(), timeout)
}

// LateAt is like Late for a request that ended at the given time.
func (w *Watch) LateAt(end time.Time, timeout time.Duration) time.Duration {
	w.once.Do(func() { close(w.stop) })
	w.task.Wait()
	return max(0, end.Sub(w.began)-timeout-Bound-w.longest)
}
