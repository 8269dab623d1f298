// Package transfer schedules the response bodies that share a VM's network link. It limits
// the bytes in flight to what the link carries in a short time, so that small messages are
// not delayed behind long bodies. Bodies with an earlier due time are sent first, so that
// under overload some arrive on time instead of all being late; bodies whose deadline has
// passed are sent last.
package transfer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Config bounds the bytes in flight.
type Config struct {
	// LinkDelay is how long the bytes in flight may occupy the link. Longer delays small
	// messages; shorter leaves the link idle when receivers confirm slowly.
	LinkDelay time.Duration
	// LinkRate is the rate of the VM's network link in bytes per second, 0 if unknown.
	LinkRate float64
	// MinBytes and MaxBytes bound the size of the window regardless of the measured rate.
	MinBytes int
	MaxBytes int
	// StallAfter is how long a receiver may confirm nothing before its bytes no longer count
	// as in flight.
	StallAfter time.Duration
}

// DefaultConfig returns the configuration used in production. It keeps the delay of small
// messages below a tenth of a second on links of 9 Mbit/s and more.
func DefaultConfig() Config {
	return Config{
		LinkDelay:  30 * time.Millisecond,
		MinBytes:   64 << 10,
		MaxBytes:   1 << 20,
		StallAfter: 500 * time.Millisecond,
	}
}

// Window limits and orders the bytes of response bodies on the link. It is safe for
// concurrent use.
type Window struct {
	cfg Config

	mu sync.Mutex
	// inFlight is the number of bytes sent and neither confirmed nor expired.
	inFlight int
	// backlog is the number of bytes of active transfers that are not confirmed yet.
	backlog int
	active  map[*Transfer]struct{}
	// waiting holds the transfers with a part to send, in order of their due time.
	waiting []*Transfer
	rate    rateMeter
}

// New returns a window without transfers.
func New(cfg Config) *Window {
	return &Window{cfg: cfg, active: make(map[*Transfer]struct{})}
}

// Transfer is one response body in progress. Its methods must be called from one goroutine,
// except Confirm.
type Transfer struct {
	window *Window
	due    time.Time
	// deadline is when the caller stops waiting for the body.
	deadline time.Time
	// remaining is the number of bytes not confirmed yet, as far as the size is known.
	remaining int
	// sent, confirmed and inFlight are numbers of bytes. Bytes that were confirmed, or whose
	// receiver has stalled, are no longer in flight.
	sent      int
	confirmed int
	inFlight  int
	// lastProgress is when bytes were last sent or confirmed.
	lastProgress time.Time
	// requested is the size of the part that waits for room. granted is closed once the part
	// may be sent, and is nil before the first part.
	requested int
	granted   chan struct{}
}

// Begin starts a transfer of about size bytes that should end by due, and whose caller most
// likely leaves at deadline. It may be called before the body is available, so that estimates
// for other bodies include it. The caller must call End.
func (w *Window) Begin(now time.Time, size int, due, deadline time.Time) *Transfer {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &Transfer{window: w, due: due, deadline: deadline, remaining: size, lastProgress: now}
	w.active[t] = struct{}{}
	w.backlog += size
	return t
}

// SetSize corrects the size once the body is available. It has no effect after End.
func (t *Transfer) SetSize(n int) {
	w := t.window
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.active[t]; found {
		w.backlog += n - t.remaining
		t.remaining = n
	}
}

// EstimateFinish estimates how long it takes until a body of size bytes, which is ready to
// send after the duration ready, has passed the link behind the active transfers. It returns
// 0 if the rate of the link is not known or there is no backlog.
func (w *Window) EstimateFinish(ready time.Duration, size int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := w.rate.estimate(time.Now())
	if rate == 0 || w.backlog == 0 {
		return 0
	}
	return max(ready, transmitTime(w.backlog, rate)) + transmitTime(size, rate)
}

// transmitTime returns how long a link takes to transmit n bytes at rate bytes per second.
func transmitTime(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// Status is a snapshot of the state of a Window.
type Status struct {
	// BytesPerSecond is the measured rate of the link, or 0 before the first measurement.
	BytesPerSecond float64
	// Backlog is the number of bytes of active transfers that are not confirmed yet.
	Backlog int
}

// Status returns the current state.
func (w *Window) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{BytesPerSecond: w.rate.bytesPerSecond, Backlog: w.backlog}
}

// Sending returns the number of active transfers that have sent a part or are waiting to
// send one.
func (w *Window) Sending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for t := range w.active {
		if t.granted != nil {
			n++
		}
	}
	return n
}

// Acquire blocks until n more bytes may be sent. It returns ctx.Err() if ctx ends first.
// While it waits, it also expires the bytes of stalled receivers.
func (t *Transfer) Acquire(ctx context.Context, n int) error {
	w := t.window
	granted := w.enqueue(t, n)
	for {
		timer := time.NewTimer(w.cfg.StallAfter)
		select {
		case <-granted:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			w.dequeue(t)
			return ctx.Err()
		case now := <-timer.C:
			w.expireStalled(now)
		}
	}
}

// enqueue queues t by its due time, after others with the same one, to send n bytes. The
// returned channel is closed once they may be sent.
func (w *Window) enqueue(t *Transfer, n int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.requested = n
	t.granted = make(chan struct{})
	granted := t.granted
	pos, _ := slices.BinarySearchFunc(w.waiting, t, compareDue)
	for pos < len(w.waiting) && compareDue(w.waiting[pos], t) == 0 {
		pos++
	}
	w.waiting = slices.Insert(w.waiting, pos, t)
	w.grant(time.Now())
	return granted
}

func compareDue(a, b *Transfer) int { return a.due.Compare(b.due) }

// dequeue cancels a request for bytes. If they were granted in the meantime, End releases
// them.
func (w *Window) dequeue(t *Transfer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.waiting, t); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// grant lets waiting transfers send while the window has room. A part larger than the window
// is sent when nothing else is in flight. The caller must hold mu.
func (w *Window) grant(now time.Time) {
	for len(w.waiting) > 0 {
		next := w.nextWaiting(now)
		t := w.waiting[next]
		if w.inFlight > 0 && w.inFlight+t.requested > w.size() {
			w.rate.markFull(now)
			return
		}
		w.waiting = slices.Delete(w.waiting, next, next+1)
		w.inFlight += t.requested
		t.inFlight += t.requested
		t.sent += t.requested
		t.lastProgress = now
		close(t.granted)
	}
	w.rate.markNotFull(now)
}

// nextWaiting returns the index of the transfer that is granted next: the one due first of those
// whose deadline has not passed, as the callers of the others have most likely left. The caller
// must hold mu; at least one transfer must be waiting.
func (w *Window) nextWaiting(now time.Time) int {
	live := slices.IndexFunc(w.waiting, func(t *Transfer) bool { return now.Before(t.deadline) })
	return max(live, 0)
}

// minRateShare is the share of the link's rate for which the window has room although a lower rate
// was measured. Confirmations measure the link only as long as the receivers are prompt: if they are
// late, the window is full at a low rate, which would make it still smaller.
const minRateShare = 0.5

// size returns the number of bytes that may be in flight. The caller must hold mu.
func (w *Window) size() int {
	rate := max(w.rate.bytesPerSecond, minRateShare*w.cfg.LinkRate)
	bytes := rate * w.cfg.LinkDelay.Seconds()
	return min(max(int(bytes), w.cfg.MinBytes), w.cfg.MaxBytes)
}

// Confirm records that the receiver has received the first total bytes. It may be called from
// any goroutine, and has no effect after End.
func (t *Transfer) Confirm(now time.Time, total int) {
	w := t.window
	w.mu.Lock()
	defer w.mu.Unlock()
	newlyConfirmed := min(total, t.sent) - t.confirmed
	if newlyConfirmed <= 0 {
		return
	}
	t.confirmed += newlyConfirmed
	t.lastProgress = now
	w.rate.recordConfirmed(now, newlyConfirmed)
	w.deduct(t, newlyConfirmed)
	w.grant(now)
}

// deduct subtracts n bytes of t from the bytes in flight and from the backlog. The caller must
// hold mu.
func (w *Window) deduct(t *Transfer, n int) {
	freed := min(n, t.inFlight)
	t.inFlight -= freed
	w.inFlight -= freed
	completed := min(n, t.remaining)
	t.remaining -= completed
	w.backlog -= completed
}

// Pending returns the number of bytes sent and neither confirmed nor expired.
func (t *Transfer) Pending() int {
	t.window.mu.Lock()
	defer t.window.mu.Unlock()
	return t.inFlight
}

// expireStalled removes the bytes of transfers that have neither sent nor had bytes confirmed
// for StallAfter from the bytes in flight.
func (w *Window) expireStalled(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.active {
		if t.inFlight > 0 && now.Sub(t.lastProgress) >= w.cfg.StallAfter {
			w.inFlight -= t.inFlight
			t.inFlight = 0
		}
	}
	w.grant(now)
}

// End ends the transfer and removes its remaining bytes from the window and the backlog. Of
// the other methods only Confirm may be called afterwards. Further calls of End have no effect.
func (t *Transfer) End(now time.Time) {
	w := t.window
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.active[t]; !found {
		return
	}
	delete(w.active, t)
	w.deduct(t, max(t.inFlight, t.remaining))
	t.confirmed = t.sent
	w.grant(now)
}
