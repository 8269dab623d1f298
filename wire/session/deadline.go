package session

import (
	"sync"
	"time"
)

// sendDeadline ends the wait of a stream's sender for room in the queue of its session. Unlike the
// deadlines of yamux, it takes effect on a wait that has begun. It is safe for concurrent use by one
// sender and those who set the deadline.
type sendDeadline struct {
	// most bounds each wait, whatever the deadline is.
	most time.Duration

	mu sync.Mutex
	// at is the deadline, the zero time for none.
	at time.Time
	// latest is when the wait in progress ends at the latest. expired is closed when it ends, and is
	// nil while nobody waits.
	latest  time.Time
	expired chan struct{}
	timer   *time.Timer
}

// set sets the deadline, also of a wait in progress.
func (d *sendDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
	if d.expired != nil {
		d.arm()
	}
}

// begin begins a wait. The returned channel is closed when it must end. The caller calls end.
func (d *sendDeadline) begin() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest = time.Now().Add(d.most)
	d.expired = make(chan struct{})
	expired := d.expired
	d.arm()
	return expired
}

// end ends a wait.
func (d *sendDeadline) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
	d.expired = nil
}

// arm starts the timer of a wait in progress. The caller holds mu.
func (d *sendDeadline) arm() {
	if d.timer != nil {
		d.timer.Stop()
	}
	expired := d.expired
	d.timer = time.AfterFunc(time.Until(d.due()), func() { d.expire(expired) })
}

// due returns when the wait in progress must end. The caller holds mu.
func (d *sendDeadline) due() time.Time {
	if !d.at.IsZero() && d.at.Before(d.latest) {
		return d.at
	}
	return d.latest
}

// expire closes expired if it is that of the wait in progress, and still open.
func (d *sendDeadline) expire(expired chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired != expired || time.Now().Before(d.due()) {
		return
	}
	select {
	case <-expired:
	default:
		close(expired)
	}
}
