package loadtest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/p2c"
	"auburnladder.example/core/virtualtime"
)

// Fleet is a service with several servers that are used by several ingresses.
type Fleet struct {
	Servers, Ingresses, Slots int
	Admission                 admission.Config
	// Slowest and Fastest are the factors of the work at the slowest and fastest server.
	Slowest, Fastest float64
	// Hop is the one-way time between an ingress and a server.
	Hop time.Duration
	// Attempts bounds the attempts of one request at different servers. A client repeats a refused
	// request once, after Retry-After, if that is at most a third of its remaining time.
	Attempts int
	// IgnoreWaits makes the ingresses ignore the waits in replies, ReportAge makes reports that much
	// older than they claim to be.
	IgnoreWaits bool
	ReportAge   time.Duration
}

// FleetReport is the outcome of Fleet.Run.
type FleetReport struct {
	Routes map[string]*Result
	// Attempts is the number of attempts, Shed the number of refusals without an attempt.
	Attempts, Shed int
}

// Run plays the arrivals of routes, whose rates are those of the whole service, for length.
func (f Fleet) Run(seed uint64, length time.Duration, routes ...Route) FleetReport {
	p := f.newPlayer(seed)
	for _, r := range routes {
		p.report.Routes[r.Name] = &Result{}
		p.offer(r, length)
	}
	for _, s := range p.servers {
		s.tick(Epoch)
	}
	p.clock.Run(Epoch.Add(length + 6*time.Second))
	return p.report
}

// RunAll adds up the runs with the seeds from 1 to n.
func (f Fleet) RunAll(n uint64, length time.Duration, routes ...Route) FleetReport {
	total := FleetReport{Routes: make(map[string]*Result)}
	for seed := uint64(1); seed <= n; seed++ {
		r := f.Run(seed, length, routes...)
		for name, x := range r.Routes {
			if total.Routes[name] == nil {
				total.Routes[name] = &Result{}
			}
			total.Routes[name].add(*x)
		}
		total.Attempts += r.Attempts
		total.Shed += r.Shed
	}
	return total
}

type fleetPlayer struct {
	Fleet
	clock   *virtualtime.Clock
	rnd     *rand.Rand
	source  rand.Source
	servers []*fleetServer
	tables  []*routing.Table
	report  FleetReport
}

// fleetServer is one server with its node.
type fleetServer struct {
	clock   *virtualtime.Clock
	limiter *admission.Limiter
	factor  float64
	waiting []fleetWaiter
	reports []timedLoad
}

type fleetWaiter struct {
	waiter *admission.Waiter
	decide func(admission.Decision)
}

type timedLoad struct {
	at   time.Time
	load routing.Load
}

func (f Fleet) newPlayer(seed uint64) *fleetPlayer {
	source := rand.NewPCG(seed, 1)
	p := &fleetPlayer{Fleet: f, clock: &virtualtime.Clock{Now: Epoch}, source: source, rnd: rand.New(source)}
	p.report.Routes = make(map[string]*Result)
	list := make([]routing.Server, f.Servers)
	for i := range list {
		list[i] = routing.Server{VM: fmt.Sprint(i), Service: Service, Domain: "d", Region: "r", Slots: f.Slots, Peer: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))}
		l := admission.New(f.Admission, Epoch)
		l.SetServer(Epoch, mesh.Server{Slots: f.Slots, Connections: f.Slots + 500})
		factor := f.Fastest + (f.Slowest-f.Fastest)*float64(i)/float64(max(f.Servers-1, 1))
		p.servers = append(p.servers, &fleetServer{clock: p.clock, limiter: l, factor: factor})
	}
	snapshot := Snapshot(mesh.Server{Slots: f.Slots, Connections: f.Slots})
	for range f.Ingresses {
		d := routing.NewDirectory(routing.DefaultConfig(), routing.Locality{Domain: "d", Region: "r"})
		d.Update(Epoch, snapshot, list)
		p.tables = append(p.tables, d.Table(Service))
	}
	return p
}

// Service is the name of the service of Snapshot.
const Service = "service"

// Snapshot returns a configuration with one service whose servers have the given limits.
func Snapshot(server mesh.Server) *mesh.Snapshot {
	svc := mesh.Service{
		Name: Service, Hosts: []string{"service.example"}, Server: server,
		Stop: mesh.Stop{Method: mesh.StopNone, Grace: 1000},
	}
	data, err := svc.Encode()
	if err != nil {
		panic(err)
	}
	ref := release.ChunkRef{Name: svc.Name, Digest: release.DigestOf(data), Size: len(data)}
	v := &release.Verified{Manifest: &release.Manifest{Chunks: []release.ChunkRef{ref}}}
	snapshot, err := mesh.Build(v, func(release.Digest) ([]byte, bool) { return data, true })
	if err != nil {
		panic(err)
	}
	return snapshot
}

func (p *fleetPlayer) offer(r Route, length time.Duration) {
	for t := time.Duration(0); ; {
		rate := r.PerSecond
		if t >= r.BurstFrom && t < r.BurstTo {
			rate *= r.BurstFactor
		}
		t += time.Duration(p.rnd.ExpFloat64() / rate * float64(time.Second))
		if t >= length {
			return
		}
		c := &fleetCall{fleetPlayer: p, route: &r, clientLeft: 1}
		c.work = float64(r.Work) * math.Exp(r.Spread*p.rnd.NormFloat64()-r.Spread*r.Spread/2)
		p.clock.After(t, func() {
			c.arrived = c.clock.Now
			p.report.Routes[r.Name].Offered++
			c.begin()
		})
	}
}

// fleetCall is one request of a client.
type fleetCall struct {
	*fleetPlayer
	route      *Route
	work       float64
	arrived    time.Time
	table      *routing.Table
	tried      []*routing.Endpoint
	clientLeft int
	retryAfter time.Duration
}

func (c *fleetCall) deadline() time.Time { return c.arrived.Add(c.route.Deadline) }

// begin starts the request at a random ingress.
func (c *fleetCall) begin() {
	c.table, c.tried, c.retryAfter = c.tables[c.rnd.IntN(len(c.tables))], nil, 0
	c.attempt()
}

func (c *fleetCall) attempt() {
	now := c.clock.Now
	by := c.arrived.Add(c.route.Objective)
	if !by.After(now) {
		by = c.deadline()
	}
	if l := c.table.Lateness(now, c.source, c.route.Rank, by, c.tried); l.Refuse && !c.IgnoreWaits {
		c.report.Shed++
		c.retryAfter = l.RetryAfter
		c.refused()
		return
	}
	picked := p2c.Picker{}.Pick(now, c.source, c.table, c.tried)
	if picked.Endpoint == nil || len(c.tried) == c.Attempts {
		c.refused()
		return
	}
	e := picked.Endpoint
	e.Start()
	c.report.Attempts++
	c.tried = append(c.tried, e)
	c.clock.After(c.Hop, func() { c.serve(e) })
}

// refused repeats the request once as its client would.
func (c *fleetCall) refused() {
	left := c.deadline().Sub(c.clock.Now)
	if c.clientLeft > 0 && c.retryAfter <= left/3 {
		c.clientLeft--
		c.clock.After(c.retryAfter, c.begin)
		return
	}
	c.report.Routes[c.route.Name].Refused++
}

func (c *fleetCall) serve(e *routing.Endpoint) {
	s := c.servers[int(e.Peer.Port())-1]
	s.acquire(admission.Request{
		Caller: "caller", Route: c.route.Name, Rank: c.route.Rank,
		Objective: c.arrived.Add(c.route.Objective), Deadline: c.deadline(),
		First: len(c.tried) == 1 && c.Attempts > 1,
	}, func(d admission.Decision) { c.decided(s, e, d) })
}

func (c *fleetCall) decided(s *fleetServer, e *routing.Endpoint, d admission.Decision) {
	if d.Outcome == admission.Granted {
		work := time.Duration(c.work * s.factor)
		c.report.Routes[c.route.Name].BusyTime += work
		c.clock.After(work, func() {
			s.limiter.Release(c.clock.Now, admission.Result{Route: c.route.Name, ServiceTime: work})
			s.settle()
			load := s.load(c.ReportAge)
			c.clock.After(c.Hop, func() { c.responded(e, load) })
		})
		return
	}
	load := s.load(c.ReportAge)
	c.clock.After(c.Hop, func() {
		after := min(d.RetryAfter, 100*time.Millisecond)
		if load.ServesMoreUrgent(c.route.Rank) {
			after = 0
		}
		e.Done(c.clock.Now, routing.Outcome{Kind: routing.Refused, RetryAfter: after, Load: &load})
		if c.retryAfter == 0 || d.RetryAfter < c.retryAfter {
			c.retryAfter = d.RetryAfter
		}
		c.attempt()
	})
}

func (c *fleetCall) responded(e *routing.Endpoint, load routing.Load) {
	e.Done(c.clock.Now, routing.Outcome{Kind: routing.Success, Load: &load})
	c.report.Routes[c.route.Name].ended(c.clock.Now.Sub(c.arrived), c.route)
}

func (s *fleetServer) acquire(req admission.Request, decide func(admission.Decision)) {
	d := s.limiter.Acquire(s.clock.Now, req)
	if d.Outcome == admission.Queued {
		s.waiting = append(s.waiting, fleetWaiter{waiter: d.Waiter, decide: decide})
		s.clock.After(d.Waiter.QueueDeadline().Sub(s.clock.Now), s.settle)
	} else {
		decide(d)
	}
	s.settle()
}

// settle handles the waiters that were decided or whose time is over.
func (s *fleetServer) settle() {
	for i := 0; i < len(s.waiting); {
		w := s.waiting[i]
		select {
		case <-w.waiter.Done():
		default:
			if s.clock.Now.Before(w.waiter.QueueDeadline()) {
				i++
				continue
			}
			s.limiter.Abandon(s.clock.Now, w.waiter)
		}
		s.waiting = slices.Delete(s.waiting, i, i+1)
		w.decide(w.waiter.Decision())
	}
}

func (s *fleetServer) tick(at time.Time) {
	s.limiter.Refresh(s.clock.Now)
	s.settle()
	s.clock.After(tickInterval, func() { s.tick(at.Add(tickInterval)) })
}

// load returns the load that the server's node reports, as it was age ago.
func (s *fleetServer) load(age time.Duration) routing.Load {
	l := s.limiter.Load()
	now := routing.Load{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit)}
	waits, known := s.limiter.RankWaits()
	now.WaitsKnown = known
	for i, w := range waits {
		now.Waits[i] = uint16(min(w.Wait/time.Millisecond, 5000))
		if w.Refusing {
			now.Waits[i] += routing.WaitRefused
		}
	}
	if age == 0 {
		return now
	}
	s.reports = append(s.reports, timedLoad{at: s.clock.Now, load: now})
	for len(s.reports) > 1 && s.clock.Now.Sub(s.reports[1].at) >= age {
		s.reports = s.reports[1:]
	}
	old := s.reports[0].load
	now.Waits = old.Waits
	return now
}
