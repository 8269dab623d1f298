package admission

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/mesh"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig(slots, queue int) Config {
	cfg := DefaultConfig()
	cfg.Slots, cfg.QueueLimit = slots, queue
	return cfg
}

// limiterModel drives a Limiter with random operations in virtual time and tracks the
// expected state of every request.
type limiterModel struct {
	l        *Limiter
	cfg      Config
	now      time.Time
	inFlight int
	waiting  []*Waiter
	closed   bool
}

func (m *limiterModel) collectDecisions(t *rapid.T) {
	undecided := m.waiting[:0]
	for _, w := range m.waiting {
		select {
		case <-w.Done():
			m.checkDecision(t, w)
		default:
			undecided = append(undecided, w)
		}
	}
	m.waiting = undecided
}

func (m *limiterModel) checkDecision(t *rapid.T, w *Waiter) {
	if w.Decision().Outcome != Granted {
		return
	}
	if !m.now.Before(w.req.Deadline) || m.now.After(w.QueueDeadline()) {
		t.Fatalf("waiter granted after its deadline or queue deadline: now is %v past its deadline", m.now.Sub(w.req.Deadline))
	}
	m.inFlight++
}

func (m *limiterModel) acquire(t *rapid.T) {
	req := Request{
		Caller:   rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller"),
		Route:    rapid.SampledFrom([]string{"read", "write"}).Draw(t, "route"),
		Priority: rapid.SampledFrom([]mesh.Priority{mesh.PriorityLow, mesh.PriorityNormal, mesh.PriorityHigh}).Draw(t, "priority"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "remaining")) * time.Millisecond),
	}
	d := m.l.Acquire(m.now, req)
	switch d.Outcome {
	case Granted:
		if !m.now.Before(req.Deadline) || m.closed {
			t.Fatalf("request granted by a closed limiter or after its deadline: closed=%v remaining=%v", m.closed, req.Deadline.Sub(m.now))
		}
		m.inFlight++
	case Queued:
		m.waiting = append(m.waiting, d.Waiter)
	case Refused:
		if d.Reason == ReasonNone || d.RetryAfter < m.cfg.MinRetryAfter || d.RetryAfter > m.cfg.MaxRetryAfter {
			t.Fatalf("refusal without reason or with RetryAfter out of bounds: reason %v, RetryAfter %v", d.Reason, d.RetryAfter)
		}
	}
}

func (m *limiterModel) release(t *rapid.T) {
	if m.inFlight == 0 {
		return
	}
	m.inFlight--
	m.l.Release(m.now, Result{
		Route:       rapid.SampledFrom([]string{"read", "write"}).Draw(t, "route"),
		ServiceTime: time.Duration(rapid.IntRange(1, 300).Draw(t, "service")) * time.Millisecond,
		Shed:        rapid.IntRange(0, 4).Draw(t, "shed") == 0,
		Unmeasured:  rapid.IntRange(0, 9).Draw(t, "unmeasured") == 0,
	})
}

func (m *limiterModel) abandon(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")
	if d := m.l.Abandon(m.now, m.waiting[i]); d.Outcome == Queued {
		t.Fatal("Abandon left the request queued")
	}
}

func (m *limiterModel) check(t *rapid.T) {
	m.collectDecisions(t)
	load := m.l.Load()
	switch {
	case load.InFlight != m.inFlight:
		t.Fatalf("Load reports %d requests in flight, want %d", load.InFlight, m.inFlight)
	case load.Queued != len(m.waiting):
		t.Fatalf("Load reports %d queued requests, want %d", load.Queued, len(m.waiting))
	case load.InFlight > m.cfg.Slots || load.Limit > m.cfg.Slots || load.Limit < 1:
		t.Fatalf("slots exceeded or limit out of range: %d in flight, limit %d, %d slots", load.InFlight, load.Limit, m.cfg.Slots)
	case load.Queued > m.cfg.QueueLimit:
		t.Fatalf("%d requests queued, queue limit is %d", load.Queued, m.cfg.QueueLimit)
	case load.Queued > 0 && load.InFlight < load.Limit:
		t.Fatalf("%d requests queued although only %d of %d slots are used", load.Queued, load.InFlight, load.Limit)
	case load.Queued > 0 && m.closed:
		t.Fatal("closed limiter has queued requests")
	}
}

// TestLimiterProperties checks with random operations that the limiter's counts are exact
// and within their limits, that no request waits while a slot is free, and that none is
// granted after its deadline.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig(rapid.IntRange(1, 6).Draw(t, "slots"), rapid.IntRange(0, 8).Draw(t, "queue"))
		cfg.SlowStart = time.Duration(rapid.IntRange(0, 500).Draw(t, "slowStart")) * time.Millisecond
		m := &limiterModel{cfg: cfg, now: epoch, l: New(cfg, epoch)}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.acquire,
			"again":   m.acquire,
			"release": m.release,
			"abandon": m.abandon,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"close":   func(*rapid.T) { m.l.Close(); m.closed = true },
			"reopen":  func(*rapid.T) { m.l.Reopen(); m.closed = false },
			"restart": func(*rapid.T) { m.l.Restart(m.now) },
			"refresh": func(*rapid.T) { m.l.Refresh(m.now) },
			"":        m.check,
		})
		for m.inFlight > 0 {
			m.inFlight--
			m.l.Release(m.now, Result{Unmeasured: true})
			m.collectDecisions(t)
		}
		if load := m.l.Load(); load.InFlight != 0 || load.Queued != 0 {
			t.Fatalf("limiter not empty after all requests ended: %+v", load)
		}
	})
}

// TestConcurrentUseStaysWithinSlots guards against slots that are lost or granted twice when
// goroutines acquire, release and abandon concurrently.
func TestConcurrentUseStaysWithinSlots(t *testing.T) {
	const slots, workers, rounds = 4, 32, 400
	l := New(testConfig(slots, 16), epoch)
	var working, peak, granted atomic.Int64
	finish := func(d Decision) {
		if d.Outcome != Granted {
			return
		}
		n := working.Add(1)
		for p := peak.Load(); n > p && !peak.CompareAndSwap(p, n); p = peak.Load() {
		}
		granted.Add(1)
		working.Add(-1)
		l.Release(epoch, Result{Unmeasured: true})
	}
	done := make(chan struct{})
	for i := range workers {
		go func() {
			defer func() { done <- struct{}{} }()
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for range rounds {
				d := l.Acquire(epoch, Request{Caller: fmt.Sprint(i % 3), Deadline: epoch.Add(time.Second)})
				switch {
				case d.Outcome != Queued:
				case rng.IntN(4) == 0:
					d = l.Abandon(epoch, d.Waiter)
				default:
					<-d.Waiter.Done()
					d = d.Waiter.Decision()
				}
				finish(d)
			}
		}()
	}
	for range workers {
		<-done
	}
	Convey("Under concurrent use no slot is lost or granted twice", t, func() {
		So(peak.Load(), ShouldBeLessThanOrEqualTo, slots)
		So(granted.Load(), ShouldBeGreaterThan, 0)
		So(l.Load(), ShouldResemble, Load{Limit: slots, Sustained: slots})
	})
}

// TestFreeSlotTakesNoLock guards the fast path: with the lock held, Acquire and Release of a
// free slot would deadlock if they took it.
func TestFreeSlotTakesNoLock(t *testing.T) {
	Convey("A free slot is granted and released while the lock is held, without allocation", t, func() {
		l := New(testConfig(2, 4), epoch)
		req := Request{Caller: "a", Route: "read", Deadline: epoch.Add(time.Second)}
		l.Acquire(epoch, req)
		l.Release(epoch, Result{Route: "read", ServiceTime: time.Millisecond})
		l.mu.Lock()
		defer l.mu.Unlock()
		allocs := testing.AllocsPerRun(100, func() {
			l.Acquire(epoch, req)
			l.Release(epoch, Result{Route: "read", ServiceTime: time.Millisecond})
		})
		So(allocs, ShouldEqual, 0)
	})
}

// TestRefusesWhatCannotBeDoneInTime guards against slots spent on requests whose response
// would be past the deadline, and against a wrong estimate that refuses requests forever.
func TestRefusesWhatCannotBeDoneInTime(t *testing.T) {
	Convey("Given a route whose service time is 100 ms", t, func() {
		l := New(testConfig(2, 4), epoch)
		sample := Result{Route: "read", ServiceTime: 100 * time.Millisecond}
		for range 50 {
			l.Acquire(epoch, Request{Route: "read", Deadline: epoch.Add(time.Second)})
			l.Release(epoch, sample)
		}
		short := Request{Route: "read", Deadline: epoch.Add(50 * time.Millisecond)}
		Convey("a request with 50 ms left is refused", func() {
			d := l.Acquire(epoch, short)
			So(d.Outcome, ShouldEqual, Refused)
			So(d.Reason, ShouldEqual, ReasonDeadline)
		})
		Convey("a request that would meet its deadline only without waiting is refused as overload", func() {
			long := Request{Route: "read", Deadline: epoch.Add(time.Second)}
			l.Acquire(epoch, long)
			l.Acquire(epoch, long)
			d := l.Acquire(epoch, Request{Route: "read", Deadline: epoch.Add(120 * time.Millisecond)})
			So(d.Outcome, ShouldEqual, Refused)
			So(d.Reason, ShouldEqual, ReasonOverload)
			So(d.RetryAfter, ShouldEqual, 50*time.Millisecond)
		})
		Convey("a queued request is abandoned while there is time to retry on another server", func() {
			long := Request{Route: "read", Deadline: epoch.Add(time.Second)}
			l.Acquire(epoch, long)
			l.Acquire(epoch, long)
			w := l.Acquire(epoch, long).Waiter
			So(w.QueueDeadline(), ShouldEqual, epoch.Add(250*time.Millisecond))
			d := l.Abandon(w.QueueDeadline(), w)
			So(d.Reason, ShouldEqual, ReasonOverload)
		})
		Convey("one request per probe interval is admitted, so that a recovery is detected", func() {
			later := epoch.Add(2 * time.Second)
			short.Deadline = later.Add(50 * time.Millisecond)
			So(l.Acquire(later, short).Outcome, ShouldEqual, Granted)
			So(l.Acquire(later, short).Outcome, ShouldEqual, Refused)
		})
	})
}

// TestPauseDetector checks that calls after a process pause are reported as stale, and that
// a process without a pause reports none.
func TestPauseDetector(t *testing.T) {
	Convey("Given a process that calls Observe every 100 ms", t, func() {
		now := time.Hour
		d := NewPauseDetector(DefaultPauseConfig(), now)
		for range 50 {
			now += 100 * time.Millisecond
			So(d.Observe(now), ShouldBeFalse)
		}
		Convey("calls after a pause of 60 s are stale until the settle time has passed", func() {
			now += time.Minute
			So(d.Observe(now), ShouldBeTrue)
			So(d.Observe(now+500*time.Millisecond), ShouldBeTrue)
			So(d.Observe(now+1100*time.Millisecond), ShouldBeFalse)
		})
		Convey("a second pause makes calls stale again", func() {
			So(d.Observe(now+time.Minute), ShouldBeTrue)
			So(d.Observe(now+time.Minute+1100*time.Millisecond), ShouldBeFalse)
			So(d.Observe(now+2*time.Minute), ShouldBeTrue)
		})
		Convey("a gap of exactly MaxGap is not a pause", func() {
			So(d.Observe(now+DefaultPauseConfig().MaxGap), ShouldBeFalse)
		})
	})
}

// TestSetServerKeepsWorkInSlots guards against a release that changes the number of slots and
// thereby loses requests in flight or leaves waiters queued.
func TestSetServerKeepsWorkInSlots(t *testing.T) {
	Convey("A release that changes the slots keeps requests in flight and serves the waiters", t, func() {
		l := New(testConfig(1, 4), epoch)
		req := Request{Caller: "a", Deadline: epoch.Add(time.Second)}
		l.Acquire(epoch, req)
		w := l.Acquire(epoch, req).Waiter
		l.SetServer(epoch, mesh.Server{Slots: 2, Connections: 20})
		<-w.Done()
		So(w.Decision().Outcome, ShouldEqual, Granted)
		l.SetServer(epoch, mesh.Server{Slots: 1, Connections: 1})
		So(l.Load(), ShouldResemble, Load{InFlight: 2, Limit: 1, Sustained: 1})
		So(l.Acquire(epoch, req).Reason, ShouldEqual, ReasonOverload)
	})
}
