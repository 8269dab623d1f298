package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/virtualtime"
)

// simulation runs a Limiter and its server in virtual time.
type simulation struct {
	l     *Limiter
	clock virtualtime.Clock
	// serve returns the service time of a request, and whether the server sheds it.
	serve     func(now time.Time, working int) (time.Duration, bool)
	working   int
	peak      int
	completed map[string]int
	waiting   []waitingCall
}

type waitingCall struct {
	w      *Waiter
	caller string
}

func newSimulation(cfg Config) *simulation {
	r := &simulation{l: New(cfg, epoch), completed: make(map[string]int)}
	r.clock.OnEvent = func() { r.startGranted(r.clock.Now) }
	r.serve = func(time.Time, int) (time.Duration, bool) { return 10 * time.Millisecond, false }
	return r
}

func (r *simulation) schedule(t time.Time, f func(time.Time)) {
	r.clock.At(t, func() { f(r.clock.Now) })
}

// offer schedules a request of a caller at each interval until the given time. Each
// request has timeout until its deadline.
func (r *simulation) offer(caller string, p mesh.Priority, interval, timeout, until time.Duration) {
	for t := interval; t < until; t += interval {
		r.schedule(epoch.Add(t), func(now time.Time) {
			d := r.l.Acquire(now, Request{Caller: caller, Route: "r", Priority: p, Deadline: now.Add(timeout)})
			switch d.Outcome {
			case Granted:
				r.start(now, caller)
			case Queued:
				r.waiting = append(r.waiting, waitingCall{d.Waiter, caller})
			}
		})
	}
}

func (r *simulation) start(now time.Time, caller string) {
	r.working++
	r.peak = max(r.peak, r.working)
	took, shed := r.serve(now, r.working)
	r.schedule(now.Add(took), func(now time.Time) {
		r.working--
		if !shed {
			r.completed[caller]++
		}
		r.l.Release(now, Result{Route: "r", ServiceTime: took, Shed: shed})
	})
}

func (r *simulation) runUntil(until time.Duration) { r.clock.Run(epoch.Add(until)) }

func (r *simulation) startGranted(now time.Time) {
	undecided := r.waiting[:0]
	for _, c := range r.waiting {
		select {
		case <-c.w.Done():
			if c.w.Decision().Outcome == Granted {
				r.start(now, c.caller)
			}
		default:
			undecided = append(undecided, c)
		}
	}
	r.waiting = undecided
}

// TestCallersShareAnOverloadedServer guards against a caller that takes more than its share
// of an overloaded server, and against starvation of low priorities.
func TestCallersShareAnOverloadedServer(t *testing.T) {
	const length = 20 * time.Second
	Convey("Given a server with a capacity of 200 requests per second", t, func() {
		r := newSimulation(testConfig(2, 8))
		Convey("a caller that sends 2,000 does not reduce the throughput of three that send 40 each", func() {
			r.offer("greedy", mesh.PriorityNormal, 500*time.Microsecond, time.Second, length)
			for _, caller := range []string{"a", "b", "c"} {
				r.offer(caller, mesh.PriorityNormal, 25*time.Millisecond, time.Second, length)
			}
			r.runUntil(length)
			for _, caller := range []string{"a", "b", "c"} {
				So(r.completed[caller], ShouldBeGreaterThan, 720)
			}
			So(r.completed["greedy"], ShouldBeGreaterThan, 1400)
			So(r.peak, ShouldEqual, 2)
		})
		Convey("priorities share the capacity 16:4:1, and the lowest is not starved", func() {
			for caller, p := range map[string]mesh.Priority{"hi": mesh.PriorityHigh, "mid": mesh.PriorityNormal, "lo": mesh.PriorityLow} {
				r.offer(caller, p, time.Millisecond, time.Second, length)
			}
			r.runUntil(length)
			total := float64(r.completed["hi"] + r.completed["mid"] + r.completed["lo"])
			So(total, ShouldBeGreaterThan, 3900)
			So(float64(r.completed["hi"])/total, ShouldAlmostEqual, 16.0/21, 0.06)
			So(float64(r.completed["mid"])/total, ShouldAlmostEqual, 4.0/21, 0.05)
			So(float64(r.completed["lo"])/total, ShouldAlmostEqual, 1.0/21, 0.03)
		})
	})
}

// TestLimitFollowsTheServer checks that the limit decreases when the server sheds or slows
// down, recovers with the server, and rises gradually during slow start.
func TestLimitFollowsTheServer(t *testing.T) {
	const second = time.Second
	load := func(r *simulation, until time.Duration) {
		r.offer("a", mesh.PriorityNormal, 500*time.Microsecond, second, until)
	}
	Convey("The limit of 10 decreases while the server sheds above 3 concurrent requests, and recovers afterwards", t, func() {
		r := newSimulation(testConfig(10, 20))
		sheds := 0
		r.serve = func(now time.Time, working int) (time.Duration, bool) {
			degraded := now.Sub(epoch) > 2*second && now.Sub(epoch) < 10*second
			if degraded && working > 3 {
				sheds++
				return time.Millisecond, true
			}
			return 10 * time.Millisecond, false
		}
		load(r, 20*second)
		r.runUntil(10 * second)
		So(r.l.Load().Limit, ShouldBeBetweenOrEqual, 2, 6)
		So(r.completed["a"], ShouldBeGreaterThan, 2*1000*9/10+8*300*6/10)
		So(sheds, ShouldBeLessThan, 800)
		r.runUntil(20 * second)
		So(r.l.Load().Limit, ShouldEqual, 10)
	})
	Convey("The limit decreases to half of the slots while the server is slow, and recovers afterwards", t, func() {
		r := newSimulation(testConfig(10, 20))
		r.serve = func(now time.Time, working int) (time.Duration, bool) {
			degraded := now.Sub(epoch) > 2*second && now.Sub(epoch) < 6*second
			if degraded && working > 3 {
				return 10 * time.Millisecond * time.Duration(working), false
			}
			return 10 * time.Millisecond, false
		}
		load(r, 20*second)
		lowest := 10
		for t := 2 * second; t < 6*second; t += 100 * time.Millisecond {
			r.runUntil(t)
			lowest = min(lowest, r.l.Load().Limit)
		}
		So(lowest, ShouldEqual, 5)
		r.runUntil(20 * second)
		So(r.l.Load().Limit, ShouldEqual, 10)
	})
	Convey("Slow start begins with a fraction of the slots and ends with all of them", t, func() {
		cfg := testConfig(10, 20)
		cfg.SlowStart = 4 * second
		r := newSimulation(cfg)
		load(r, 10*second)
		r.runUntil(second / 10)
		So(r.peak, ShouldEqual, 3)
		r.runUntil(2 * second)
		So(r.peak, ShouldEqual, 6)
		r.runUntil(5 * second)
		So(r.peak, ShouldEqual, 10)
		r.l.Restart(epoch.Add(5 * second))
		So(r.l.Load().Limit, ShouldEqual, 3)
	})
}
