// Package transfer shares a VM's link between the bodies of answers. Only so many bytes are
// in flight at a time as the link carries in a short while, so that small messages don't
// wait behind long bodies; and bodies that are due earlier go first, so that under overload
// some are in time instead of all being late.
package transfer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Config bounds the bytes in flight.
type Config struct {
	// LinkDelay is how long the bytes in flight may occupy the link. Longer makes small
	// messages wait, shorter leaves the link idle when receivers are slow to confirm.
	LinkDelay time.Duration
	// MinBytes and MaxBytes bound the window whatever rate was measured.
	MinBytes int
	MaxBytes int
	// StallAfter is how long a receiver may confirm nothing until its bytes are taken to
	// have left the link.
	StallAfter time.Duration
}

// DefaultConfig keeps the delay of small messages below a tenth of a second on links of 9
// Mbit/s and more.
func DefaultConfig() Config {
	return Config{
		LinkDelay:  30 * time.Millisecond,
		MinBytes:   64 << 10,
		MaxBytes:   1 << 20,
		StallAfter: 500 * time.Millisecond,
	}
}

// Window is the link's share for bodies. It is safe for concurrent use.
type Window struct {
	cfg Config

	mu sync.Mutex
	// inFlight are the bytes that were sent and not confirmed.
	inFlight int
	// backlog are the bytes that begun transfers have still to get confirmed.
	backlog int
	active  map[*Transfer]struct{}
	// waiting holds the transfers with a part to send, in order of their due time.
	waiting []*Transfer
	rate    rateMeter
}

// New returns an empty window.
func New(cfg Config) *Window {
	return &Window{cfg: cfg, active: make(map[*Transfer]struct{})}
}

// Transfer is one body on its way. Its methods are called from one goroutine, but for
// Confirm.
type Transfer struct {
	window *Window
	due    time.Time
	// left are the bytes not confirmed yet, as far as the length is known.
	left int
	// sent, confirmed and inFlight count bytes; confirmed ones and those of a receiver
	// that confirms nothing any more are no longer in flight.
	sent      int
	confirmed int
	inFlight  int
	// progress is when bytes were last sent or confirmed.
	progress time.Time
	// want is the size of the part that waits for room; granted is closed once it has it,
	// and nil before the first part.
	want    int
	granted chan struct{}
}

// Begin starts a transfer of about size bytes that should end by due. It may be begun
// before the body is known, to be counted in the wait of others.
func (w *Window) Begin(now time.Time, size int, due time.Time) *Transfer {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &Transfer{window: w, due: due, left: size, progress: now}
	w.active[t] = struct{}{}
	w.backlog += size
	return t
}

// SetSize corrects the size once the body is known.
func (t *Transfer) SetSize(n int) {
	w := t.window
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.active[t]; found {
		w.backlog += n - t.left
		t.left = n
	}
}

// Finish estimates in what time a body of size bytes would have passed the link that is
// ready after the given time, behind those that were begun. It returns 0 while nothing is
// known of the link or nothing is on it.
func (w *Window) Finish(ready time.Duration, size int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := w.rate.at(time.Now())
	if rate == 0 || w.backlog == 0 {
		return 0
	}
	return max(ready, onLink(w.backlog, rate)) + onLink(size, rate)
}

// onLink returns how long a link of so many bytes a second takes for n bytes.
func onLink(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// Status is what the window knows at a moment.
type Status struct {
	// BytesPerSecond is the measured rate of the link, 0 before the first measurement.
	BytesPerSecond float64
	// Backlog are the bytes that begun transfers have still to get confirmed.
	Backlog int
}

// Status returns the state at this moment.
func (w *Window) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{BytesPerSecond: w.rate.bytesPerSecond, Backlog: w.backlog}
}

// Sending returns the number of transfers that have sent or want to send and have not
// ended.
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

// Acquire waits until n more bytes may be sent. It returns the error of ctx if that ends
// first.
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
			w.leaveQueue(t)
			return ctx.Err()
		case now := <-timer.C:
			w.writeOffStalled(now)
		}
	}
}

func (w *Window) enqueue(t *Transfer, n int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.want = n
	t.granted = make(chan struct{})
	granted := t.granted
	at, _ := slices.BinarySearchFunc(w.waiting, t, compareDue)
	for at < len(w.waiting) && compareDue(w.waiting[at], t) == 0 {
		at++
	}
	w.waiting = slices.Insert(w.waiting, at, t)
	w.grant(time.Now())
	return granted
}

func compareDue(a, b *Transfer) int { return a.due.Compare(b.due) }

// leaveQueue takes back a request for bytes. If they were granted meanwhile, End returns
// them.
func (w *Window) leaveQueue(t *Transfer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.waiting, t); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// grant lets waiting transfers send while the window has room. It needs mu.
func (w *Window) grant(now time.Time) {
	for len(w.waiting) > 0 {
		t := w.waiting[0]
		if w.inFlight > 0 && w.inFlight+t.want > w.size() {
			w.rate.full(now)
			return
		}
		w.waiting = w.waiting[1:]
		w.inFlight += t.want
		t.inFlight += t.want
		t.sent += t.want
		t.progress = now
		close(t.granted)
	}
	w.rate.notFull(now)
}

// size returns the bytes that may be in flight. It needs mu.
func (w *Window) size() int {
	bytes := w.rate.bytesPerSecond * w.cfg.LinkDelay.Seconds()
	return min(max(int(bytes), w.cfg.MinBytes), w.cfg.MaxBytes)
}

// Confirm notes that the receiver got the first total bytes. It may be called from any
// goroutine.
func (t *Transfer) Confirm(now time.Time, total int) {
	w := t.window
	w.mu.Lock()
	defer w.mu.Unlock()
	news := min(total, t.sent) - t.confirmed
	if news <= 0 {
		return
	}
	t.confirmed += news
	t.progress = now
	w.rate.add(now, news)
	w.settle(t, news)
	w.grant(now)
}

// settle takes n bytes of t off what is in flight and left. It needs mu.
func (w *Window) settle(t *Transfer, n int) {
	landed := min(n, t.inFlight)
	t.inFlight -= landed
	w.inFlight -= landed
	done := min(n, t.left)
	t.left -= done
	w.backlog -= done
}

// Pending returns the bytes that were sent and not confirmed or written off.
func (t *Transfer) Pending() int {
	t.window.mu.Lock()
	defer t.window.mu.Unlock()
	return t.inFlight
}

// writeOffStalled takes bytes that were not confirmed for long off the window.
func (w *Window) writeOffStalled(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.active {
		if t.inFlight > 0 && now.Sub(t.progress) >= w.cfg.StallAfter {
			w.inFlight -= t.inFlight
			t.inFlight = 0
		}
	}
	w.grant(now)
}

// End gives back what the transfer still holds. No other call may follow but Confirm.
func (t *Transfer) End(now time.Time) {
	w := t.window
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.active[t]; !found {
		return
	}
	delete(w.active, t)
	w.settle(t, max(t.inFlight, t.left))
	t.confirmed = t.sent
	w.grant(now)
}
