package routing_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/p2c"
	"auburnladder.example/core/routing/random"
	"auburnladder.example/core/routing/roundrobin"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	home     = routing.Place{Domain: "a", Region: "r1"}
	policies = []routing.Picker{p2c.Picker{}, random.Picker{}, &roundrobin.Picker{}}
)

const (
	slots     = 10
	slowStart = 4 * time.Second
)

func testSnapshot(t testing.TB) *mesh.Snapshot {
	svc := mesh.Service{
		Name:   "programma",
		Hosts:  []string{"programma.example"},
		Server: mesh.Server{Slots: slots, Connections: slots, SlowStart: mesh.Millis(slowStart.Milliseconds())},
		Stop:   mesh.Stop{Method: mesh.StopNone, Grace: 1000},
	}
	data, err := svc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	ref := release.ChunkRef{Name: svc.Name, Digest: release.DigestOf(data), Size: len(data)}
	v := &release.Verified{Manifest: &release.Manifest{Chunks: []release.ChunkRef{ref}}}
	s, err := mesh.Build(v, func(release.Digest) ([]byte, bool) { return data, true })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func peerAddr(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// servers returns n servers in failure domains a, b and c of region r1.
func servers(n int) []routing.Server {
	list := make([]routing.Server, n)
	for i := range list {
		list[i] = routing.Server{
			VM: fmt.Sprintf("vm%02d", i), Service: "programma", Peer: peerAddr(1000 + i),
			Domain: string(rune('a' + i%3)), Region: "r1",
		}
	}
	return list
}

func newDirectory(t testing.TB, list []routing.Server) (*routing.Directory, *routing.Table) {
	d := routing.NewDirectory(routing.DefaultConfig(), home)
	d.Update(start, testSnapshot(t), list)
	return d, d.Table("programma")
}

func finish(e *routing.Endpoint, now time.Time, o routing.Outcome) {
	e.Start()
	e.Done(now, o)
}

func TestPoliciesNeverReturnExcludedServers(t *testing.T) {
	snapshot := testSnapshot(t)
	rapid.Check(t, func(rt *rapid.T) {
		list := servers(rapid.IntRange(1, 9).Draw(rt, "servers"))
		d := routing.NewDirectory(routing.DefaultConfig(), home)
		d.Update(start, snapshot, list)
		table := d.Table("programma")
		now := start.Add(time.Hour)
		blocked := make(map[*routing.Endpoint]bool)
		var tried []*routing.Endpoint
		for i, e := range table.Endpoints {
			switch rapid.IntRange(0, 4).Draw(rt, fmt.Sprintf("state%d", i)) {
			case 0:
				finish(e, now, routing.Outcome{Kind: routing.Refused, RetryAfter: time.Second})
				blocked[e] = true
			case 1:
				finish(e, now, routing.Outcome{Kind: routing.Success, Load: &routing.Load{Leaving: true}})
				blocked[e] = true
			case 2:
				tried = append(tried, e)
				blocked[e] = true
			}
		}
		rnd := rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)
		for _, p := range policies {
			for range 50 {
				res := p.Pick(now.Add(time.Millisecond), rnd, table, tried)
				if res.Endpoint == nil && len(blocked) < len(list) {
					rt.Fatalf("%T finds none of %d usable servers", p, len(list)-len(blocked))
				}
				if blocked[res.Endpoint] {
					rt.Fatalf("%T returned excluded server %s", p, res.Endpoint.VM)
				}
			}
		}
	})
}

func TestTableUpdates(t *testing.T) {
	Convey("Given a table of three servers", t, func() {
		list := servers(3)
		d, table := newDirectory(t, list)
		first := table.Endpoints[0]
		first.Start()

		Convey("counters survive an update, and a leaving server is excluded at once", func() {
			list[0].Leaving = true
			d.Update(start.Add(time.Second), testSnapshot(t), list)
			next := d.Table("programma")
			So(next.Endpoints[0], ShouldPointTo, first)
			So(next.Endpoints[0].InFlight(), ShouldEqual, 1)
			So(next.Endpoints[0].Blocked(start.Add(time.Second)), ShouldBeTrue)
		})
		Convey("a server with a new address is another, cold one", func() {
			list[0].Peer = peerAddr(9)
			later := start.Add(time.Minute)
			d.Update(later, testSnapshot(t), list)
			e := d.Table("programma").Endpoints[0]
			So(e, ShouldNotPointTo, first)
			So(e.Weight(later, slowStart), ShouldEqual, routing.DefaultConfig().ColdWeight)
			So(e.Weight(later.Add(slowStart/2), slowStart), ShouldAlmostEqual, 0.55)
			So(e.Weight(later.Add(slowStart), slowStart), ShouldEqual, 1)
		})
		Convey("a service without servers has no table", func() {
			d.Update(start, testSnapshot(t), nil)
			So(d.Table("programma"), ShouldBeNil)
		})
		Convey("the wait of a table where all refuse is the shortest one", func() {
			for i, e := range table.Endpoints {
				finish(e, start, routing.Outcome{Kind: routing.Refused, RetryAfter: time.Duration(i+1) * time.Second})
			}
			for _, p := range policies {
				res := p.Pick(start, rand.NewPCG(1, 1), table, nil)
				So(res.Endpoint, ShouldBeNil)
				So(res.Wait, ShouldEqual, time.Second)
			}
		})
	})
}

func TestReportedLoad(t *testing.T) {
	Convey("A reported load counts without the own share and decays", t, func() {
		_, table := newDirectory(t, servers(1))
		e := table.Endpoints[0]
		e.Start()
		finish(e, start, routing.Outcome{Kind: routing.Success, Load: &routing.Load{InFlight: 6, Queued: 3, Limit: 20}})
		So(e.Load(start), ShouldAlmostEqual, (1+8+1)/20.0)
		So(e.Load(start.Add(routing.DefaultConfig().LoadHalfLife)), ShouldAlmostEqual, (1+4+1)/20.0)
		So(e.Load(start.Add(time.Hour)), ShouldAlmostEqual, (1+0+1)/20.0)
	})
}

func TestOwnRegionFirst(t *testing.T) {
	Convey("Servers of another region are used only when the own ones are loaded or gone", t, func() {
		list := servers(4)
		list[2].Region, list[3].Region = "r2", "r2"
		_, table := newDirectory(t, list)
		now := start.Add(time.Hour)
		rnd := rand.NewPCG(1, 2)
		pickRegions := func() (own, other int) {
			for range 1000 {
				if (p2c.Picker{}).Pick(now, rnd, table, nil).Endpoint.Region == "r1" {
					own++
				} else {
					other++
				}
			}
			return own, other
		}
		_, other := pickRegions()
		So(other, ShouldEqual, 0)
		for range 3 * slots {
			table.Endpoints[0].Start()
			table.Endpoints[1].Start()
		}
		own, _ := pickRegions()
		So(own, ShouldEqual, 0)
	})
}

func TestColdServerGetsItsWeight(t *testing.T) {
	Convey("A cold server gets some requests, and more as it warms up", t, func() {
		list := servers(4)
		for i := range list {
			list[i].Domain = home.Domain
		}
		d, _ := newDirectory(t, list[:3])
		now := start.Add(time.Hour)
		d.Update(now, testSnapshot(t), list)
		table := d.Table("programma")
		share := func(age time.Duration) float64 {
			const picks = 20000
			rnd := rand.NewPCG(3, 4)
			cold := 0
			for range picks {
				if (p2c.Picker{}).Pick(now.Add(age), rnd, table, nil).Endpoint.VM == list[3].VM {
					cold++
				}
			}
			return float64(cold) / picks
		}
		So(share(0), ShouldAlmostEqual, 0.1/4, 0.02)
		So(share(slowStart/2), ShouldAlmostEqual, 0.55/4, 0.04)
		So(share(slowStart), ShouldAlmostEqual, 0.25, 0.03)
	})
}

// serverSim serves requests of one backend server in virtual time.
type serverSim struct {
	service time.Duration
	freeAt  [slots]time.Time
}

// add queues a request at now and returns its end.
func (s *serverSim) add(now time.Time) time.Time {
	first := 0
	for i := range s.freeAt {
		if s.freeAt[i].Before(s.freeAt[first]) {
			first = i
		}
	}
	begin := now
	if s.freeAt[first].After(now) {
		begin = s.freeAt[first]
	}
	s.freeAt[first] = begin.Add(s.service)
	return s.freeAt[first]
}

// lateShare offers 0.6 of the capacity to six servers, one of them ten times
// slower, and returns the share of requests that take over 100 ms.
func lateShare(t testing.TB, p routing.Picker) float64 {
	const requests = 10000
	_, table := newDirectory(t, servers(6))
	sims := make(map[*routing.Endpoint]*serverSim)
	for i, e := range table.Endpoints {
		sims[e] = &serverSim{service: 10 * time.Millisecond}
		if i == 0 {
			sims[e].service = 100 * time.Millisecond
		}
	}
	type running struct {
		endpoint *routing.Endpoint
		end      time.Time
	}
	var active []running
	rnd := rand.NewPCG(1, 2)
	now := start.Add(time.Hour)
	late := 0
	for range requests {
		now = now.Add(time.Second / 3000)
		left := active[:0]
		for _, r := range active {
			if r.end.After(now) {
				left = append(left, r)
				continue
			}
			r.endpoint.Done(r.end, routing.Outcome{Kind: routing.Success})
		}
		active = left
		e := p.Pick(now, rnd, table, nil).Endpoint
		e.Start()
		end := sims[e].add(now)
		active = append(active, running{e, end})
		if end.Sub(now) > 100*time.Millisecond {
			late++
		}
	}
	return float64(late) / requests
}

func TestSlowServerGetsFewRequests(t *testing.T) {
	Convey("P2C avoids a slow server that random and round robin overload", t, func() {
		So(lateShare(t, p2c.Picker{}), ShouldBeLessThan, 0.02)
		So(lateShare(t, random.Picker{}), ShouldBeGreaterThan, 0.1)
		So(lateShare(t, roundrobin.Picker{}), ShouldBeGreaterThan, 0.1)
	})
}
