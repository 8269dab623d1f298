package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/mesh"
)

// rateModel offers requests to a rate-limited Limiter in virtual time and records the starts.
type rateModel struct {
	l        *Limiter
	now      time.Time
	waiting  []*Waiter
	inFlight int
	starts   []time.Time
}

func newRateModel(order Order, slots int) *rateModel {
	cfg := DefaultConfig()
	cfg.Order = order
	m := &rateModel{l: New(cfg, epoch), now: epoch}
	m.l.SetServer(epoch, mesh.Server{Slots: slots, Connections: 100})
	return m
}

func (m *rateModel) offer(timeout time.Duration) Decision {
	end := m.now.Add(timeout)
	d := m.l.Acquire(m.now, Request{Caller: "a", Route: "r", Objective: end, Deadline: end})
	switch d.Outcome {
	case Granted:
		m.start()
	case Queued:
		m.waiting = append(m.waiting, d.Waiter)
	}
	return d
}

func (m *rateModel) start() {
	m.inFlight++
	m.starts = append(m.starts, m.now)
}

// advance moves the time on, calls Refresh when the waiters must, and ends all requests.
func (m *rateModel) advance(d time.Duration) {
	for end := m.now.Add(d); ; {
		at, limited := m.l.RefreshAt(m.now)
		if !limited || len(m.waiting) == 0 || at.After(end) {
			m.now = end
			break
		}
		m.now = at
		m.l.Refresh(m.now)
		m.collect()
	}
	m.collect()
	for ; m.inFlight > 0; m.inFlight-- {
		m.l.Release(m.now, Result{Route: "r", ServiceTime: time.Millisecond})
	}
	m.collect()
}

// collect records the waiters that were granted and abandons those that waited too long.
func (m *rateModel) collect() {
	left := m.waiting[:0]
	for _, w := range m.waiting {
		select {
		case <-w.Done():
		default:
			if m.now.Before(w.QueueDeadline()) {
				left = append(left, w)
				continue
			}
			m.l.Abandon(m.now, w)
		}
		if w.Decision().Outcome == Granted {
			m.start()
		}
	}
	m.waiting = left
}

// Guards against more starts than the rate limit allows, in any span and for any load.
func TestStartsExceedRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 300).Draw(t, "rate")
		m := newRateModel(rapid.SampledFrom([]Order{OrderFair, OrderUrgency}).Draw(t, "order"), rapid.IntRange(1, 20).Draw(t, "slots"))
		m.l.SetRateLimit(epoch, rate, true)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			m.offer(time.Duration(rapid.IntRange(1, 2000).Draw(t, "timeout")) * time.Millisecond)
			m.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				m.l.Restart(m.now)
			}
		}
		for from := range m.starts {
			for to := from; to < len(m.starts); to++ {
				span := m.starts[to].Sub(m.starts[from]) + rateBurst
				if count := float64(to - from + 1); count > rate*span.Seconds()+1+1e-6 {
					t.Fatalf("%v starts in %v at %v per second", count, span-rateBurst, rate)
				}
			}
		}
	})
}

func TestRateLimit(t *testing.T) {
	Convey("A full load gets the whole rate", t, func() {
		m := newRateModel(OrderUrgency, 10)
		m.l.SetRateLimit(epoch, 50, true)
		for range 4000 {
			m.offer(300 * time.Millisecond)
			m.advance(time.Millisecond)
		}
		So(len(m.starts), ShouldBeBetween, 195, 210)
	})
	Convey("A request that the rate limit does not let start in time is refused at once, with the time after which to return", t, func() {
		m := newRateModel(OrderUrgency, 10)
		m.l.SetRateLimit(epoch, 2, true)
		So(m.offer(time.Second).Outcome, ShouldEqual, Granted)
		d := m.offer(300 * time.Millisecond)
		So(d.Outcome, ShouldEqual, Refused)
		So(d.Reason, ShouldEqual, ReasonRateLimit)
		So(d.RetryAfter, ShouldEqual, 500*time.Millisecond)
		So(m.offer(600*time.Millisecond).Outcome, ShouldEqual, Queued)
	})
	Convey("A server that accepts nothing still gets a request now and then, whose response may raise the limit", t, func() {
		m := newRateModel(OrderUrgency, 10)
		m.l.SetRateLimit(epoch, 0, true)
		for range 1000 {
			m.offer(20 * time.Millisecond)
			m.advance(10 * time.Millisecond)
		}
		So(len(m.starts), ShouldBeBetween, 4, 7)
	})
	Convey("Waiting requests start at once when the limit is removed", t, func() {
		m := newRateModel(OrderUrgency, 10)
		m.l.SetRateLimit(epoch, 1, true)
		m.offer(5 * time.Second)
		m.offer(5 * time.Second)
		So(m.waiting, ShouldHaveLength, 1)
		m.l.SetRateLimit(m.now, 0, false)
		m.collect()
		So(m.starts, ShouldHaveLength, 2)
	})
	Convey("The load that is reported to other nodes is that of a server with fewer slots", t, func() {
		m := newRateModel(OrderUrgency, 10)
		for range 20 {
			m.offer(time.Second)
			m.l.Release(m.now, Result{Route: "r", ServiceTime: 100 * time.Millisecond})
			m.inFlight--
		}
		m.l.SetRateLimit(m.now, 25, true)
		So(m.l.Load().Sustained, ShouldEqual, 3)
		m.l.SetRateLimit(m.now, 0, false)
		So(m.l.Load().Sustained, ShouldEqual, 10)
	})
}
