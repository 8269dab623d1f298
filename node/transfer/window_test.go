package transfer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

const part = 16 << 10

func config() Config {
	cfg := DefaultConfig()
	cfg.MinBytes, cfg.MaxBytes = 2*part, 2*part
	return cfg
}

// link confirms parts one after the other at a fixed rate, as a real link delivers them.
type link struct {
	mu   sync.Mutex
	free time.Time
	rate float64
	// delay is the longest time that a part spent on the link.
	delay time.Duration
}

// send returns when n bytes that are sent now arrive.
func (l *link) send(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.delay = max(l.delay, l.free.Sub(now))
	return l.free
}

// run sends a body of so many parts and returns when the last one arrived.
func run(w *Window, l *link, parts int, due time.Time) time.Time {
	t := w.Begin(time.Now(), parts*part, due)
	defer func() { t.End(time.Now()) }()
	var arrivals conc.WaitGroup
	defer arrivals.Wait()
	var last time.Time
	for i := range parts {
		if t.Acquire(context.Background(), part) != nil {
			return last
		}
		last = l.send(part)
		wait := time.Until(last)
		arrivals.Go(func() {
			time.Sleep(wait)
			t.Confirm(time.Now(), (i+1)*part)
		})
	}
	return last
}

func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("When bodies come faster than the link takes them, early ones are in time and the link is never long occupied", t, func() {
			w, l := New(config()), &link{rate: 1 << 20}
			begun := time.Now()
			const bodies, parts = 40, 6
			arrived := make([]time.Time, bodies)
			var all conc.WaitGroup
			for i := range bodies {
				all.Go(func() { arrived[i] = run(w, l, parts, begun.Add(time.Duration(i)*time.Millisecond)) })
			}
			all.Wait()
			whole := float64(bodies*parts*part) / l.rate
			for i := range bodies {
				inOrder := begun.Add(time.Duration(whole * float64(i+1) / bodies * float64(time.Second)))
				So(arrived[i], ShouldHappenBefore, inOrder.Add(100*time.Millisecond))
			}
			So(l.delay, ShouldBeLessThanOrEqualTo, time.Duration(2*part/l.rate*float64(time.Second))+time.Millisecond)
			So(w.Sending(), ShouldEqual, 0)
			So(w.Finish(time.Hour, part), ShouldEqual, 0)
		})
	})
}

func TestFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("When a body will have passed follows from what is begun, the measured rate and when it is ready", t, func() {
			w, l := New(config()), &link{rate: 1 << 20}
			So(w.Finish(0, part), ShouldEqual, 0)
			var all conc.WaitGroup
			all.Go(func() { run(w, l, 128, time.Now()) })
			time.Sleep(time.Second)
			So(w.Finish(0, 0), ShouldAlmostEqual, time.Second, 50*time.Millisecond)
			So(w.Finish(0, 8*part), ShouldAlmostEqual, 1125*time.Millisecond, 50*time.Millisecond)
			So(w.Finish(3*time.Second, 8*part), ShouldAlmostEqual, 3125*time.Millisecond, 50*time.Millisecond)
			later := w.Begin(time.Now(), 32*part, time.Now())
			So(w.Finish(0, 0), ShouldAlmostEqual, 1500*time.Millisecond, 50*time.Millisecond)
			later.SetSize(16 * part)
			So(w.Finish(0, 0), ShouldAlmostEqual, 1250*time.Millisecond, 50*time.Millisecond)
			later.End(time.Now())
			all.Wait()
		})
	})
}

func TestRateWithLittleLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a link whose rate was measured under load", t, func() {
			w, l := New(config()), &link{rate: 1 << 20}
			run(w, l, 64, time.Now())
			So(w.Status().BytesPerSecond, ShouldAlmostEqual, l.rate, l.rate/10)

			Convey("few bodies to slow receivers don't count as a slow link", func() {
				const confirmAfter, interval = 150 * time.Millisecond, 100 * time.Millisecond
				var all conc.WaitGroup
				all.Go(func() { run(w, l, 8, time.Now()) })
				for range 40 {
					all.Go(func() {
						x := w.Begin(time.Now(), part, time.Now())
						_ = x.Acquire(context.Background(), part)
						time.Sleep(confirmAfter)
						x.Confirm(time.Now(), part)
						x.End(time.Now())
					})
					time.Sleep(interval)
				}
				all.Wait()
				So(w.Status().BytesPerSecond, ShouldAlmostEqual, l.rate, l.rate/10)
			})
			Convey("it is not believed for ever", func() {
				waiting := w.Begin(time.Now(), part, time.Now())
				So(w.Finish(0, part), ShouldBeGreaterThan, 0)
				time.Sleep(rateExpiry + time.Second)
				So(w.Finish(0, part), ShouldEqual, 0)
				waiting.End(time.Now())
			})
		})
	})
}

func TestStalledReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A receiver that confirms nothing holds the others up for a bounded time", t, func() {
			w, l := New(config()), &link{rate: 1 << 20}
			dead := w.Begin(time.Now(), 9*part, time.Now())
			ctx, cancel := context.WithCancel(context.Background())
			So(dead.Acquire(ctx, part), ShouldBeNil)
			So(dead.Acquire(ctx, part), ShouldBeNil)
			begun := time.Now()
			last := run(w, l, 2, time.Now())
			So(last.Sub(begun), ShouldBeLessThan, 2*w.cfg.StallAfter)

			Convey("and may give up and confirm late without harm", func() {
				cancel()
				w.enqueue(dead, 100*part)
				So(dead.Acquire(ctx, part), ShouldEqual, context.Canceled)
				dead.End(time.Now())
				dead.Confirm(time.Now(), 9*part)
				dead.End(time.Now())
				So(w.inFlight, ShouldEqual, 0)
				So(w.backlog, ShouldEqual, 0)
			})
		})
	})
}

func TestLargePart(t *testing.T) {
	Convey("A part larger than the window goes alone", t, func() {
		w := New(config())
		x := w.Begin(time.Now(), 9*part, time.Now())
		So(x.Acquire(context.Background(), 9*part), ShouldBeNil)
		So(x.Pending(), ShouldEqual, 9*part)
		x.Confirm(time.Now(), 9*part)
		So(x.Pending(), ShouldEqual, 0)
		x.End(time.Now())
	})
}
