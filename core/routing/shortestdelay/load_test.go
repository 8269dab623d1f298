package shortestdelay_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"auburnladder.example/core/admission/loadtest"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/p2c"
	"auburnladder.example/core/routing/shortestdelay"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/virtualtime"
	"auburnladder.example/core/workload"
)

const (
	ingresses   = 80
	servers     = 30
	serviceName = loadtest.Service
	latency     = time.Millisecond // one way
	shortQueue  = 0.5              // admission.slotsPerWaiter
	deadline    = 2 * time.Second
	warmUp      = 4 * time.Second // of learning, not counted
	duration    = 16 * time.Second
)

var (
	start   = time.Unix(1_800_000_000, 0)
	domains = []string{"a", "b", "c"}
	routes  = []route{
		{"view", 90 * time.Millisecond, 300 * time.Millisecond, 0.8},
		{"archive", 360 * time.Millisecond, 1500 * time.Millisecond, 0.2},
	}
)

type route struct {
	name            string
	work, objective time.Duration
	share           float64
}

// scenario is a load in virtual time. It is the same for each policy.
type scenario struct {
	load        float64 // arrivals as a share of the capacity
	spread      bool    // servers take 0.6 to 1.6 times the usual time
	slow        bool    // one in five servers takes five times as long for 6 s
	tail        bool    // 3 in 100 requests take seven times as long
	figure      bool    // servers report their slowdown
	reportDelay time.Duration
	seed        uint64
	skew        float64 // share of the requests that arrive in the first failure domain; 0 for a third
	domainCost  float64
	queue       float64 // queued requests per slot from which a server refuses; 0 for shortQueue
}

// result is what a scenario measured, from the end of warmUp on.
type result struct {
	within, served, remote float64
	// utilisation is the share of the slots that are busy or have no waiting request to run.
	utilisation float64
	p99         time.Duration
	share       float64 // mean of the largest share of the requests of 100 ms at one server
}

func (r result) String() string {
	return fmt.Sprintf("within objective %.4f, served %.4f, p99 %v, utilisation %.4f, other domains %.3f, largest share %.3f",
		r.within, r.served, r.p99.Round(time.Millisecond), r.utilisation, r.remote, r.share)
}

// ingress is a node that sends requests.
type ingress struct {
	table *routing.Table
	work  *workload.Estimator
}

// server is a backend server with the node beside it.
type server struct {
	slots, running int
	factor         float64
	slowed         bool
	queue          []*request
	speed          workload.Speed
	tail           *workload.Tail
	outstanding    workload.Outstanding
	fleet, own     *workload.Estimator
}

type request struct {
	route    *route
	cost     float64 // service time as a multiple of the route's work
	arrived  time.Time
	from     *ingress
	tried    []*routing.Endpoint
	endpoint *routing.Endpoint
	server   *server
	work     time.Duration // as the ingress expects
	unqueued bool
	expected time.Duration // as the server's node expects
	slot     workload.Slot
	begun    time.Time
}

type simulation struct {
	scenario
	newPolicy bool
	virtualtime.Clock
	rnd       *rand.Rand // of the load, the same for each policy
	picks     *rand.PCG
	ingresses []*ingress
	servers   map[string]*server
	slots     int

	counted, good, remote int
	times                 []time.Duration
	waiting, busy         int
	measured, idleTime    float64
	since                 time.Time
	window                map[*server]int
	windowEnd             time.Time
	largest               float64 // sum over the windows
	windows               int
}

func snapshot() *mesh.Snapshot {
	return loadtest.Snapshot(mesh.Server{Slots: 10, Connections: 500})
}

// simulate runs a scenario with p2c or the policy of this package.
func simulate(t testing.TB, sc scenario, newPolicy bool) result {
	s := &simulation{
		scenario: sc, newPolicy: newPolicy, Clock: virtualtime.Clock{Now: start}, since: start,
		rnd: rand.New(rand.NewPCG(sc.seed, 11)), picks: rand.NewPCG(1, 2),
		servers: make(map[string]*server), window: make(map[*server]int),
	}
	s.OnAdvance = s.integrate
	s.build(snapshot())
	var mean, capacity float64
	for _, r := range routes {
		mean += r.share * r.work.Seconds()
	}
	if sc.tail {
		mean *= 0.97 + 0.03*7
	}
	for i := range servers {
		sv := s.servers[vmName(i)]
		capacity += float64(sv.slots) / sv.factor
	}
	s.arrive(mean / (capacity * sc.load))
	if sc.slow {
		// Twice, so that the second time finds what was learned in the first one.
		for _, at := range []time.Duration{warmUp + time.Second, warmUp + 8*time.Second} {
			s.At(start.Add(at), func() { s.setSlow(true) })
			s.At(start.Add(at+6*time.Second), func() { s.setSlow(false) })
		}
	}
	s.Run(start.Add(time.Hour))
	slices.Sort(s.times)
	return result{
		served: float64(len(s.times)) / float64(s.counted),
		within: float64(s.good) / float64(s.counted), remote: float64(s.remote) / float64(s.counted),
		p99: s.times[len(s.times)*99/100], utilisation: 1 - s.idleTime/s.measured, share: s.largest / float64(s.windows),
	}
}

func vmName(i int) string { return fmt.Sprintf("vm%02d", i) }

func (s *simulation) build(snap *mesh.Snapshot) {
	var list []routing.Server
	for i := range servers {
		sv := &server{slots: 7 + i%7, factor: 1, tail: workload.NewTail(), own: workload.NewEstimator()}
		if s.spread {
			sv.factor = 0.6 + float64(i*7%servers)/(servers-1)
		}
		s.slots += sv.slots
		s.servers[vmName(i)] = sv
		list = append(list, routing.Server{
			VM: vmName(i), Service: serviceName, Domain: domains[i%len(domains)], Region: "r", Slots: sv.slots,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		})
	}
	cfg := routing.DefaultConfig()
	cfg.DomainCost = s.domainCost
	for i := range ingresses {
		d := routing.NewDirectory(cfg, routing.Locality{Domain: domains[i%len(domains)], Region: "r"})
		d.Update(start.Add(-time.Hour), snap, list)
		in := &ingress{table: d.Table(serviceName), work: workload.NewEstimator()}
		s.ingresses = append(s.ingresses, in)
		if i < servers {
			s.servers[vmName(i)].fleet = in.work
		}
	}
}

func (s *simulation) setSlow(slow bool) {
	for i := 0; i < servers; i += 5 {
		s.servers[vmName(i)].slowed = slow
	}
}

// integrate adds the time until t to the utilisation.
func (s *simulation) integrate(t time.Time) {
	if s.since.After(start.Add(warmUp)) && s.Now.Sub(start) < warmUp+duration {
		d := t.Sub(s.since).Seconds()
		s.measured += d * float64(s.slots)
		s.idleTime += d * float64(min(s.waiting, s.slots-s.busy))
	}
	s.since = t
}

// arrive generates the next request, and the one after it after a random interval.
func (s *simulation) arrive(interval float64) {
	if s.Now.Sub(start) >= warmUp+duration {
		return
	}
	r := &request{route: &routes[0], arrived: s.Now, cost: 0.7 + 0.6*s.rnd.Float64()}
	if s.rnd.Float64() >= routes[0].share {
		r.route = &routes[1]
	}
	if long := s.rnd.Float64() < 0.03; long && s.tail {
		r.cost *= 7
	}
	r.from = s.ingresses[s.rnd.IntN(ingresses)]
	if s.rnd.Float64() < s.skew {
		r.from = s.ingresses[s.rnd.IntN(ingresses/len(domains))*len(domains)]
	}
	next := time.Duration(s.rnd.ExpFloat64() * interval * float64(time.Second))
	s.send(r)
	s.After(next, func() { s.arrive(interval) })
}

func (s *simulation) send(r *request) {
	r.work = r.from.work.Expected(steady.Nanos(s.Now), workload.Request{Route: r.route.name}).Work
	var p routing.Picker = p2c.Picker{}
	if s.newPolicy {
		p = &shortestdelay.Picker{Work: r.work, Objective: r.arrived.Add(r.route.objective)}
	}
	r.endpoint = p.Pick(s.Now, s.picks, r.from.table, r.tried).Endpoint
	if r.endpoint == nil {
		s.count(r, false)
		return
	}
	r.server = s.servers[r.endpoint.VM]
	r.unqueued = r.endpoint.Load(s.Now) <= 1
	r.endpoint.Start()
	r.endpoint.StartWork(r.work)
	s.countShare(r.server)
	s.After(latency, func() { s.admit(r) })
}

// countShare counts the requests of each 100 ms by server.
func (s *simulation) countShare(sv *server) {
	if s.Now.After(s.windowEnd) {
		var sum, most int
		for _, n := range s.window {
			sum, most = sum+n, max(most, n)
		}
		if s.Now.Sub(start) > warmUp && sum > 50 {
			s.largest += float64(most) / float64(sum)
			s.windows++
		}
		clear(s.window)
		s.windowEnd = s.Now.Add(100 * time.Millisecond)
	}
	s.window[sv]++
}

func (s *simulation) admit(r *request) {
	sv := r.server
	if sv.running >= sv.slots && len(sv.queue) >= int(max(s.queue, shortQueue)*float64(sv.slots)) {
		s.refuse(r)
		return
	}
	r.expected = workload.ExpectedAt(sv.fleet, sv.own, steady.Nanos(s.Now), workload.Request{Route: r.route.name})
	sv.outstanding.AddWaiting(r.expected)
	sv.queue = append(sv.queue, r)
	s.waiting++
	s.dispatch(sv)
}

// refuse replies that the queue is full. The ingress tries one other server.
func (s *simulation) refuse(r *request) {
	load := r.server.load(s.Now)
	s.After(latency, func() {
		r.endpoint.EndWork(r.work)
		r.endpoint.Done(s.Now, routing.Outcome{Kind: routing.Refused, RetryAfter: 100 * time.Millisecond, Load: load})
		if len(r.tried) == 0 {
			r.tried = append(r.tried, r.endpoint)
			s.send(r)
			return
		}
		s.count(r, false)
	})
}

func (s *simulation) dispatch(sv *server) {
	for sv.running < sv.slots && len(sv.queue) > 0 {
		r := sv.queue[0]
		sv.queue = sv.queue[1:]
		s.waiting--
		sv.outstanding.RemoveWaiting(r.expected)
		if s.Now.Sub(r.arrived) > deadline {
			s.reply(r, false)
			continue
		}
		sv.running++
		s.busy++
		r.begun = s.Now
		r.slot = sv.outstanding.Begin(steady.Nanos(s.Now), r.expected)
		s.After(time.Duration(float64(r.route.work)*r.cost*sv.slowness()), func() { s.end(r) })
	}
}

func (sv *server) slowness() float64 {
	if sv.slowed {
		return 5 * sv.factor
	}
	return sv.factor
}

func (s *simulation) end(r *request) {
	sv, at := r.server, steady.Nanos(s.Now)
	sv.running--
	s.busy--
	sv.outstanding.End(r.slot, r.expected)
	if s.figure {
		sv.speed.Report(at, uint32(100*sv.slowness()))
	}
	took := s.Now.Sub(r.begun)
	workload.RecordRun(sv.own, &sv.speed, sv.tail, at, workload.Request{Route: r.route.name}, r.expected, took)
	s.dispatch(sv)
	s.reply(r, true)
}

// load returns the load that the server's node reports.
func (sv *server) load(now time.Time) *routing.Load {
	slowdown := sv.speed.Slowdown(steady.Nanos(now))
	return &routing.Load{
		InFlight: uint32(sv.running), Queued: uint32(len(sv.queue)), Limit: uint32(sv.slots),
		Work: sv.outstanding.Rest(steady.Nanos(now), slowdown, sv.tail), SlowdownPercent: uint32(100 * slowdown),
	}
}

func (s *simulation) reply(r *request, served bool) {
	load := r.server.load(s.Now)
	s.After(latency, func() {
		r.endpoint.EndWork(r.work)
		if s.reportDelay == 0 {
			r.endpoint.Done(s.Now, routing.Outcome{Kind: routing.Success, Load: load})
		} else {
			r.endpoint.Done(s.Now, routing.Outcome{Kind: routing.Success})
			s.After(s.reportDelay, func() {
				r.endpoint.Start()
				r.endpoint.Done(s.Now, routing.Outcome{Kind: routing.Cancelled, Load: load})
			})
		}
		if served && r.unqueued && load.Queued == 0 {
			r.from.work.Record(steady.Nanos(s.Now), workload.Request{Route: r.route.name}, s.Now.Sub(r.arrived))
		}
		s.count(r, served)
	})
}

// count adds a request that has ended to the result.
func (s *simulation) count(r *request, served bool) {
	if r.arrived.Sub(start) < warmUp {
		return
	}
	took := s.Now.Sub(r.arrived)
	s.counted++
	if !served {
		return
	}
	if took <= r.route.objective {
		s.good++
	}
	if r.endpoint.Domain != r.from.table.Endpoints[0].Domain {
		s.remote++
	}
	s.times = append(s.times, took)
}
