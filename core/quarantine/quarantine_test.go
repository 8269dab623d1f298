package quarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/quarantine"
)

func state(t *quarantine.Table, now time.Duration, fp quarantine.Fingerprint) quarantine.State {
	s, _ := t.Restrictions()[fp].State(now)
	return s
}

// Guards against a request that is quarantined too early, for ever, or without a crash.
func TestQuarantine(t *testing.T) {
	const cause, beside = 1, 2
	cfg := quarantine.DefaultConfig()
	Convey("A request is quarantined at the threshold, until the TTL has passed", t, func() {
		table := quarantine.NewTable(cfg)
		So(state(table, 0, cause), ShouldEqual, quarantine.Free)
		table.Charge(time.Second, 1, []quarantine.Fingerprint{cause, beside, 0})
		table.Charge(2*time.Second, 2, []quarantine.Fingerprint{cause, cause})
		So(state(table, 2*time.Second, cause), ShouldEqual, quarantine.Suspect)
		So(table.Charge(3*time.Second, 2, []quarantine.Fingerprint{cause}), ShouldBeEmpty)
		table.Charge(3*time.Second, 3, []quarantine.Fingerprint{cause})
		So(state(table, 3*time.Second, cause), ShouldEqual, quarantine.Quarantined)
		So(state(table, 3*time.Second, beside), ShouldEqual, quarantine.Suspect)
		So(state(table, 3*time.Second, 0), ShouldEqual, quarantine.Free)
		So(state(table, time.Second+cfg.TTL, cause), ShouldEqual, quarantine.Suspect)
		So(state(table, 3*time.Second+cfg.TTL, cause), ShouldEqual, quarantine.Free)
	})
	Convey("An answer clears the crashes before it, at every node and in any order", t, func() {
		a, b := quarantine.NewTable(cfg), quarantine.NewTable(cfg)
		for id := range quarantine.CrashID(3) {
			a.Charge(0, id, []quarantine.Fingerprint{beside})
		}
		crashes := a.All(0)
		So(state(a, 0, beside), ShouldEqual, quarantine.Quarantined)
		b.Merge(0, a.Clear(0, beside))
		b.Merge(0, crashes)
		So(state(a, 0, beside), ShouldEqual, quarantine.Free)
		So(state(b, 0, beside), ShouldEqual, quarantine.Free)
		So(a.Clear(0, beside), ShouldBeEmpty)
	})
	Convey("A crash under a quarantined request does not count against others", t, func() {
		table := quarantine.NewTable(cfg)
		for id := range quarantine.CrashID(4) {
			table.Charge(0, id, []quarantine.Fingerprint{cause})
		}
		table.Charge(0, 5, []quarantine.Fingerprint{cause, beside})
		So(state(table, 0, beside), ShouldEqual, quarantine.Free)
	})
	Convey("A record keeps the latest crashes, in any order of their reports", t, func() {
		a, b := quarantine.NewTable(cfg), quarantine.NewTable(cfg)
		var records []quarantine.Record
		for id := range quarantine.CrashID(20) {
			records = append(records, a.Charge(time.Duration(id), id, []quarantine.Fingerprint{cause})...)
		}
		slices.Reverse(records)
		for _, r := range records {
			b.Merge(time.Second, []quarantine.Record{r})
		}
		So(len(a.All(time.Second)[0].Crashes), ShouldEqual, 8)
		So(b.Digest(time.Second), ShouldEqual, a.Digest(time.Second))
	})
	Convey("The table is bounded, and keeps the requests with the most crashes", t, func() {
		cfg := cfg
		cfg.MaxRequests = 2
		table := quarantine.NewTable(cfg)
		for id := range quarantine.CrashID(3) {
			table.Charge(0, id, []quarantine.Fingerprint{cause})
		}
		for fp := range quarantine.Fingerprint(20) {
			table.Charge(time.Second, quarantine.CrashID(100+fp), []quarantine.Fingerprint{100 + fp})
		}
		So(len(table.All(time.Second)), ShouldEqual, 2)
		So(state(table, time.Second, cause), ShouldEqual, quarantine.Quarantined)
	})
}

// Guards against nodes that never agree: records that arrive late, twice or in another order.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := make([]*quarantine.Table, 3)
		for i := range tables {
			tables[i] = quarantine.NewTable(quarantine.DefaultConfig())
		}
		var sent [][]quarantine.Record
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			table := rapid.SampledFrom(tables).Draw(rt, "table")
			fp := quarantine.Fingerprint(rapid.IntRange(1, 4).Draw(rt, "request"))
			now := time.Duration(step) * time.Second
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				sent = append(sent, table.Charge(now, quarantine.CrashID(step%5), []quarantine.Fingerprint{fp}))
			case 1:
				sent = append(sent, table.Clear(now, fp))
			default:
				if len(sent) > 0 {
					table.Merge(now, rapid.SampledFrom(sent).Draw(rt, "records"))
				}
			}
		}
		end := time.Minute
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(rt, "order") {
			for _, other := range tables {
				tables[i].Merge(end, other.All(end))
				other.Merge(end, tables[i].All(end))
			}
		}
		for _, table := range tables {
			table.Merge(end, tables[0].All(end))
			tables[0].Merge(end, table.All(end))
		}
		for _, table := range tables {
			table.Merge(end, tables[0].All(end))
			if table.Digest(end) != tables[0].Digest(end) || !maps.Equal(table.Restrictions(), tables[0].Restrictions()) {
				rt.Fatalf("tables differ: %v and %v", table.All(end), tables[0].All(end))
			}
		}
	})
}

// Guards against a quarantine that keeps requests out that only ran beside the cause.
func TestOnlyTheCauseIsQuarantined(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		s := newFleet(seed)
		s.run()
		if s.crashes > quarantine.DefaultConfig().Threshold+maxRunningAtFirstCrash {
			t.Errorf("seed %d: %d servers crashed", seed, s.crashes)
		}
		for fp := range s.table.Restrictions() {
			if fp != cause && state(s.table, s.now, fp) == quarantine.Quarantined {
				t.Errorf("seed %d: request %d is quarantined", seed, fp)
			}
		}
		if state(s.table, s.now, cause) != quarantine.Quarantined {
			t.Errorf("seed %d: the cause is not quarantined", seed)
		}
	}
}

const (
	cause = quarantine.Fingerprint(1)
	// popular are requests that ask for the same as others, the rest are asked for once.
	popular = 5
	// maxRunningAtFirstCrash is the number of other servers in fleet.
	maxRunningAtFirstCrash = servers - 1
	servers                = 6
	slots                  = 13
	serviceTime            = 75 * time.Millisecond
	downtime               = 3 * time.Second
	fleetTick              = time.Millisecond
	retries                = 3
)

// fleet simulates servers under load with a request that crashes them. It keeps suspects apart,
// and repeats requests whose server crashed.
type fleet struct {
	rnd     *rand.Rand
	table   *quarantine.Table
	now     time.Duration
	known   map[quarantine.Fingerprint]quarantine.Restriction
	nextID  quarantine.Fingerprint
	servers [servers]fleetServer
	crashes int
}

type fleetServer struct {
	downUntil time.Duration
	running   []fleetRequest
}

type fleetRequest struct {
	fp    quarantine.Fingerprint
	end   time.Duration
	tries int
}

func newFleet(seed uint64) *fleet {
	return &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), table: quarantine.NewTable(quarantine.DefaultConfig()), nextID: 1000}
}

// run plays 5 seconds with about 600 requests a second, of which 3 in 100 are the cause.
func (f *fleet) run() {
	for ; f.now < 5*time.Second; f.now += fleetTick {
		for i := range f.servers {
			f.advance(&f.servers[i])
		}
		if f.rnd.Float64() < 0.6 {
			f.send(fleetRequest{fp: f.next()})
		}
	}
}

// state returns the state of a request, from restrictions that learn keeps up to date.
func (f *fleet) state(fp quarantine.Fingerprint) quarantine.State {
	s, _ := f.known[fp].State(f.now)
	return s
}

func (f *fleet) learn(changed []quarantine.Record) {
	if len(changed) > 0 {
		f.known = f.table.Restrictions()
	}
}

func (f *fleet) next() quarantine.Fingerprint {
	switch r := f.rnd.Float64(); {
	case r < 0.03:
		return cause
	case r < 0.2:
		return quarantine.Fingerprint(2 + f.rnd.IntN(popular))
	default:
		f.nextID++
		return f.nextID
	}
}

// send starts a request at a random server that may run it, and drops it if there is none.
func (f *fleet) send(r fleetRequest) {
	kind := f.state(r.fp)
	if kind == quarantine.Quarantined || r.tries == retries {
		return
	}
	for _, i := range f.rnd.Perm(servers) {
		s := &f.servers[i]
		if s.downUntil > f.now || len(s.running) >= slots || kind == quarantine.Suspect && f.runsSuspect(s) {
			continue
		}
		r.end = f.now + time.Duration((0.5+f.rnd.Float64())*float64(serviceTime))
		s.running = append(s.running, r)
		return
	}
}

func (f *fleet) runsSuspect(s *fleetServer) bool {
	for _, r := range s.running {
		if f.state(r.fp) != quarantine.Free {
			return true
		}
	}
	return false
}

// advance ends the requests of a server that are due, and the server if the cause is one.
func (f *fleet) advance(s *fleetServer) {
	kept := s.running[:0:0]
	for _, r := range s.running {
		switch {
		case r.end > f.now:
			kept = append(kept, r)
		case r.fp == cause:
			f.crash(s)
			return
		default:
			f.learn(f.table.Clear(f.now, r.fp))
		}
	}
	s.running = kept
}

// crash ends a server and repeats the requests that it was running.
func (f *fleet) crash(s *fleetServer) {
	f.crashes++
	running := s.running
	s.running, s.downUntil = nil, f.now+downtime
	fps := make([]quarantine.Fingerprint, len(running))
	for i, r := range running {
		fps[i] = r.fp
	}
	f.learn(f.table.Charge(f.now, quarantine.CrashID(f.crashes), fps))
	for _, r := range running {
		r.tries++
		f.send(r)
	}
}

// Guards against requests that share a fingerprint although they ask for something else.
func TestFingerprint(t *testing.T) {
	Convey("Each part of a request changes its fingerprint, and parts are kept apart", t, func() {
		seen := make(map[quarantine.Fingerprint]string)
		for _, parts := range [][5]string{
			{"shop", "GET", "host", "/a", ""},
			{"bank", "GET", "host", "/a", ""},
			{"shop", "POST", "host", "/a", ""},
			{"shop", "GET", "other", "/a", ""},
			{"shop", "GET", "host", "/b", ""},
			{"shop", "GET", "host", "/a", "body"},
			{"shopG", "ET", "host", "/a", ""},
			{"shop", "GET", "host/", "a", ""},
			{"shop", "GET", "host", "/ab", "ody"},
		} {
			fp := quarantine.FingerprintOf(parts[0], parts[1], parts[2], parts[3], []byte(parts[4]))
			So(fp, ShouldNotEqual, 0)
			So(seen[fp], ShouldEqual, "")
			seen[fp] = fmt.Sprint(parts)
			So(quarantine.FingerprintOf(parts[0], parts[1], parts[2], parts[3], []byte(parts[4])), ShouldEqual, fp)
		}
	})
}
