package admission

import (
	"container/heap"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/mesh"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is one server in virtual time behind a Limiter.
type run struct {
	l      *Limiter
	events events
	// service returns the service time, and whether the server sheds the request.
	service func(now time.Time, working int) (time.Duration, bool)
	working int
	peak    int
	done    map[string]int
	waiting []waitingCall
}

type waitingCall struct {
	w      *Waiter
	caller string
}

func newRun(cfg Config) *run {
	r := &run{l: New(cfg, epoch), done: make(map[string]int)}
	r.service = func(time.Time, int) (time.Duration, bool) { return 10 * time.Millisecond, false }
	return r
}

func (r *run) at(t time.Time, f func(time.Time)) { heap.Push(&r.events, event{t, f}) }

// offer lets a caller send a request every interval until the end.
func (r *run) offer(caller string, p mesh.Priority, every, patience, until time.Duration) {
	for t := every; t < until; t += every {
		r.at(epoch.Add(t), func(now time.Time) {
			d := r.l.Acquire(now, Request{Caller: caller, Route: "r", Priority: p, Deadline: now.Add(patience)})
			switch d.Outcome {
			case Granted:
				r.start(now, caller)
			case Queued:
				r.waiting = append(r.waiting, waitingCall{d.Waiter, caller})
			}
		})
	}
}

func (r *run) start(now time.Time, caller string) {
	r.working++
	r.peak = max(r.peak, r.working)
	took, shed := r.service(now, r.working)
	r.at(now.Add(took), func(now time.Time) {
		r.working--
		if !shed {
			r.done[caller]++
		}
		r.l.Release(now, Result{Route: "r", ServiceTime: took, Shed: shed})
	})
}

func (r *run) play(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at.Before(epoch.Add(until)) {
		e := heap.Pop(&r.events).(event)
		e.run(e.at)
		r.collect(e.at)
	}
}

func (r *run) collect(now time.Time) {
	kept := r.waiting[:0]
	for _, c := range r.waiting {
		select {
		case <-c.w.Done():
			if c.w.Decision().Outcome == Granted {
				r.start(now, c.caller)
			}
		default:
			kept = append(kept, c)
		}
	}
	r.waiting = kept
}

func TestCallersShareAnOverloadedServer(t *testing.T) {
	const length = 20 * time.Second
	Convey("Given a server that does 200 requests a second", t, func() {
		r := newRun(testConfig(2, 8))
		Convey("a caller that offers 2,000 leaves three that offer 40 each their whole demand", func() {
			r.offer("greedy", mesh.PriorityNormal, 500*time.Microsecond, time.Second, length)
			for _, caller := range []string{"a", "b", "c"} {
				r.offer(caller, mesh.PriorityNormal, 25*time.Millisecond, time.Second, length)
			}
			r.play(length)
			for _, caller := range []string{"a", "b", "c"} {
				So(r.done[caller], ShouldBeGreaterThan, 720)
			}
			So(r.done["greedy"], ShouldBeGreaterThan, 1400)
			So(r.peak, ShouldEqual, 2)
		})
		Convey("priorities divide it 16:4:1, and the lowest is not starved", func() {
			for caller, p := range map[string]mesh.Priority{"hi": mesh.PriorityHigh, "mid": mesh.PriorityNormal, "lo": mesh.PriorityLow} {
				r.offer(caller, p, time.Millisecond, time.Second, length)
			}
			r.play(length)
			total := float64(r.done["hi"] + r.done["mid"] + r.done["lo"])
			So(total, ShouldBeGreaterThan, 3900)
			So(float64(r.done["hi"])/total, ShouldAlmostEqual, 16.0/21, 0.06)
			So(float64(r.done["mid"])/total, ShouldAlmostEqual, 4.0/21, 0.05)
			So(float64(r.done["lo"])/total, ShouldAlmostEqual, 1.0/21, 0.03)
		})
	})
}

func TestLimitFollowsTheServer(t *testing.T) {
	const second = time.Second
	load := func(r *run, until time.Duration) {
		r.offer("a", mesh.PriorityNormal, 500*time.Microsecond, second, until)
	}
	Convey("A server that sheds above 3 lowers the limit of 10, which recovers after it", t, func() {
		r := newRun(testConfig(10, 20))
		sheds := 0
		r.service = func(now time.Time, working int) (time.Duration, bool) {
			ill := now.Sub(epoch) > 2*second && now.Sub(epoch) < 10*second
			if ill && working > 3 {
				sheds++
				return time.Millisecond, true
			}
			return 10 * time.Millisecond, false
		}
		load(r, 20*second)
		r.play(10 * second)
		So(r.l.Load().Limit, ShouldBeBetweenOrEqual, 2, 6)
		So(r.done["a"], ShouldBeGreaterThan, 2*1000*9/10+8*300*6/10)
		So(sheds, ShouldBeLessThan, 800)
		r.play(20 * second)
		So(r.l.Load().Limit, ShouldEqual, 10)
	})
	Convey("A server that slows gets down to half of its slots, and all again once it is well", t, func() {
		r := newRun(testConfig(10, 20))
		r.service = func(now time.Time, working int) (time.Duration, bool) {
			ill := now.Sub(epoch) > 2*second && now.Sub(epoch) < 6*second
			if ill && working > 3 {
				return 10 * time.Millisecond * time.Duration(working), false
			}
			return 10 * time.Millisecond, false
		}
		load(r, 20*second)
		lowest := 10
		for t := 2 * second; t < 6*second; t += 100 * time.Millisecond {
			r.play(t)
			lowest = min(lowest, r.l.Load().Limit)
		}
		So(lowest, ShouldEqual, 5)
		r.play(20 * second)
		So(r.l.Load().Limit, ShouldEqual, 10)
	})
	Convey("A cold server starts with a share of its slots and reaches all", t, func() {
		cfg := testConfig(10, 20)
		cfg.SlowStart = 4 * second
		r := newRun(cfg)
		load(r, 10*second)
		r.play(second / 10)
		So(r.peak, ShouldEqual, 3)
		r.play(2 * second)
		So(r.peak, ShouldEqual, 6)
		r.play(5 * second)
		So(r.peak, ShouldEqual, 10)
		r.l.Restart(epoch.Add(5 * second))
		So(r.l.Load().Limit, ShouldEqual, 3)
	})
}
