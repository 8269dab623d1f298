// Package loadtest plays the arrivals of several routes at one server's admission limiter in
// virtual time. It is used by tests only.
package loadtest

import (
	"math"
	"math/rand/v2"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/virtualtime"
)

// Route is one stream of requests with Poisson arrivals.
type Route struct {
	Name string
	Rank uint32
	// PerSecond is the mean arrival rate. Between BurstFrom and BurstTo it is multiplied by
	// BurstFactor.
	PerSecond          float64
	BurstFrom, BurstTo time.Duration
	BurstFactor        float64
	Work               time.Duration
	// Spread is the standard deviation of the logarithm of the work; 0 means constant work.
	Spread              float64
	Objective, Deadline time.Duration
}

// Result holds the outcomes of one route.
type Result struct {
	Offered, InTime, Late, Refused int
	// RefusedLate counts requests that were queued for over an eighth of their objective and then
	// refused.
	RefusedLate int
	// Expired counts requests that were granted a slot and ended after their deadline.
	Expired int
	// BusyTime is the slot time that the route used.
	BusyTime time.Duration
}

// InTimeShare returns the share of the offered requests that met their objective.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Offered, 1)) }

// ServedShare returns the share of the offered requests that were served before their deadline.
func (r Result) ServedShare() float64 {
	return float64(r.InTime+r.Late) / float64(max(r.Offered, 1))
}

// ended counts a request that was granted a slot and took the given time.
func (r *Result) ended(took time.Duration, route *Route) {
	switch {
	case took <= route.Objective:
		r.InTime++
	case took <= route.Deadline:
		r.Late++
	default:
		r.Expired++
	}
}

// Report is the outcome of a run.
type Report struct {
	Routes map[string]*Result
	// QueuedTime is how long requests were queued, and QueuedUse the mean share of the slots that
	// were in use during that time.
	QueuedTime time.Duration
	QueuedUse  float64
	// MaxQueued is the largest number of requests that were queued.
	MaxQueued int
}

// RunAll adds up the runs with the seeds from 1 to n.
func RunAll(n uint64, cfg admission.Config, slots int, length time.Duration, routes ...Route) Report {
	total := Report{Routes: make(map[string]*Result)}
	used := 0.0
	for seed := uint64(1); seed <= n; seed++ {
		r := Run(cfg, slots, seed, length, routes...)
		for name, x := range r.Routes {
			if total.Routes[name] == nil {
				total.Routes[name] = &Result{}
			}
			total.Routes[name].add(*x)
		}
		total.QueuedTime += r.QueuedTime
		used += r.QueuedUse * float64(r.QueuedTime)
		total.MaxQueued = max(total.MaxQueued, r.MaxQueued)
	}
	total.QueuedUse = used / float64(max(total.QueuedTime, 1))
	return total
}

func (r *Result) add(x Result) {
	r.Offered += x.Offered
	r.InTime += x.InTime
	r.Late += x.Late
	r.Refused += x.Refused
	r.RefusedLate += x.RefusedLate
	r.Expired += x.Expired
	r.BusyTime += x.BusyTime
}

// Run plays the arrivals of routes for length at a server with the given slots. The same seed gives
// the same arrivals and work.
func Run(cfg admission.Config, slots int, seed uint64, length time.Duration, routes ...Route) Report {
	p := newPlayer(cfg, slots)
	for i, r := range routes {
		p.offer(r, rand.New(rand.NewPCG(seed, uint64(i))), length)
	}
	p.tick(Epoch)
	p.Run(Epoch.Add(length + 5*time.Second))
	if p.report.QueuedTime > 0 {
		p.report.QueuedUse = p.used / float64(p.report.QueuedTime) / float64(slots)
	}
	return p.report
}

// Epoch is the time at which runs begin.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickInterval is how often the server's node refreshes its limiter.
const tickInterval = 100 * time.Millisecond

type player struct {
	*virtualtime.Clock
	limiter *admission.Limiter
	waiting []waiting
	used    float64
	report  Report
}

// waiting is a queued request.
type waiting struct {
	waiter  *admission.Waiter
	arrived time.Time
	route   *Route
	work    time.Duration
}

func newPlayer(cfg admission.Config, slots int) *player {
	p := &player{Clock: &virtualtime.Clock{Now: Epoch}, limiter: admission.New(cfg, Epoch)}
	p.OnAdvance, p.OnEvent = p.countUse, p.settle
	p.report.Routes = make(map[string]*Result)
	p.limiter.SetServer(Epoch, mesh.Server{Slots: slots, Connections: slots + 500})
	return p
}

// offer schedules the arrivals of a route.
func (p *player) offer(r Route, rnd *rand.Rand, length time.Duration) {
	p.report.Routes[r.Name] = &Result{}
	for t := time.Duration(0); ; {
		rate := r.PerSecond
		if t >= r.BurstFrom && t < r.BurstTo {
			rate *= r.BurstFactor
		}
		t += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if t >= length {
			return
		}
		work := time.Duration(float64(r.Work) * math.Exp(r.Spread*rnd.NormFloat64()-r.Spread*r.Spread/2))
		p.At(Epoch.Add(t), func() { p.arrive(&r, work) })
	}
}

func (p *player) arrive(r *Route, work time.Duration) {
	p.report.Routes[r.Name].Offered++
	d := p.limiter.Acquire(p.Now, admission.Request{
		Caller: "caller", Route: r.Name, Rank: r.Rank,
		Objective: p.Now.Add(r.Objective), Deadline: p.Now.Add(r.Deadline),
	})
	w := waiting{waiter: d.Waiter, arrived: p.Now, route: r, work: work}
	if d.Outcome == admission.Queued {
		p.waiting = append(p.waiting, w)
		return
	}
	p.decide(w, d)
}

// decide starts a granted request and counts a refused one.
func (p *player) decide(w waiting, d admission.Decision) {
	result := p.report.Routes[w.route.Name]
	if d.Outcome == admission.Refused {
		result.Refused++
		if p.Now.Sub(w.arrived) > w.route.Objective/8 {
			result.RefusedLate++
		}
		return
	}
	result.BusyTime += w.work
	p.After(w.work, func() {
		result.ended(p.Now.Sub(w.arrived), w.route)
		p.limiter.Release(p.Now, admission.Result{Route: w.route.Name, ServiceTime: w.work})
	})
}

// settle handles the waiters that were decided, and abandons those whose time is over.
func (p *player) settle() {
	for again := true; again; {
		again = false
		rest := p.waiting[:0]
		for _, w := range p.waiting {
			select {
			case <-w.waiter.Done():
				p.decide(w, w.waiter.Decision())
			default:
				if p.Now.Before(w.waiter.QueueDeadline()) {
					rest = append(rest, w)
					continue
				}
				p.decide(w, p.limiter.Abandon(p.Now, w.waiter))
				again = true
			}
		}
		p.waiting = rest
	}
	p.report.MaxQueued = max(p.report.MaxQueued, len(p.waiting))
}

func (p *player) tick(at time.Time) {
	p.At(at, func() {
		p.limiter.Refresh(p.Now)
		p.tick(at.Add(tickInterval))
	})
}

// countUse counts the use of the slots until the next event while requests are queued.
func (p *player) countUse(next time.Time) {
	if len(p.waiting) > 0 {
		passed := next.Sub(p.Now)
		p.report.QueuedTime += passed
		p.used += float64(passed) * float64(p.limiter.Load().InFlight)
	}
}
