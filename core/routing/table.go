package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/steady"
)

// maxSampleAttempts is the number of random draws that Sample makes before it scans
// all servers of the range.
const maxSampleAttempts = 4

// Table is the immutable list of the servers of one service, ordered by distance:
// first the local failure domain, then the rest of the local region, then other regions.
type Table struct {
	Service   string
	Endpoints []*Endpoint
	// DomainCount and RegionCount are the number of servers in the local failure domain
	// and in the local region.
	DomainCount int
	RegionCount int
	SlowStart   time.Duration
	cfg         *Config
	// PickCount counts the picks of the round-robin policy. It is shared by successive
	// tables of a service.
	PickCount *atomic.Uint64
	// work holds the averages of the service. It is shared by successive tables.
	work *serviceWork
}

// Config returns the configuration of the directory that built the table.
func (t *Table) Config() *Config {
	return t.cfg
}

// usable reports whether e is neither blocked nor in tried and, if strict is set, is not
// suspect either.
func (t *Table) usable(now time.Time, e *Endpoint, tried []*Endpoint, strict bool) bool {
	if e.Blocked(now) || containsVM(tried, e.VM) {
		return false
	}
	return !strict || !e.Suspect(now)
}

// containsVM reports whether one of the endpoints is that of a VM. An endpoint is replaced when the entry of
// its server changes, also while a call is in progress that has tried the server.
func containsVM(endpoints []*Endpoint, vm string) bool {
	for _, e := range endpoints {
		if e.VM == vm {
			return true
		}
	}
	return false
}

// Sample returns a usable server in r other than exclude, each with the same probability,
// or nil if there is none.
func (t *Table) Sample(now time.Time, rnd rand.Source, r Range, tried []*Endpoint, exclude *Endpoint) *Endpoint {
	all := t.Endpoints[r.From:r.To]
	if len(all) == 0 {
		return nil
	}
	for range maxSampleAttempts {
		e := all[rnd.Uint64()%uint64(len(all))]
		if e != exclude && t.usable(now, e, tried, r.Strict) {
			return e
		}
	}
	return t.scan(now, rnd, r, tried, exclude)
}

// Best returns the usable server in r with the highest score, or nil if there is none.
func (t *Table) Best(now time.Time, r Range, tried []*Endpoint, score func(*Endpoint) uint64) *Endpoint {
	var best *Endpoint
	var highest uint64
	for _, e := range t.Endpoints[r.From:r.To] {
		if !t.usable(now, e, tried, r.Strict) {
			continue
		}
		if s := score(e); best == nil || s > highest {
			best, highest = e, s
		}
	}
	return best
}

// Range selects Endpoints[From:To] of a table.
type Range struct {
	From, To int
	// Strict excludes servers for which Endpoint.Suspect returns true.
	Strict bool
}

// scan chooses among all usable servers in r by reservoir sampling.
func (t *Table) scan(now time.Time, rnd rand.Source, r Range, tried []*Endpoint, exclude *Endpoint) *Endpoint {
	var chosen *Endpoint
	var count uint64
	for _, e := range t.Endpoints[r.From:r.To] {
		if e == exclude || !t.usable(now, e, tried, r.Strict) {
			continue
		}
		count++
		if rnd.Uint64()%count == 0 {
			chosen = e
		}
	}
	return chosen
}

// NextUsable returns the first usable server at or after position offset, modulo the
// length of the table, or nil if there is none.
func (t *Table) NextUsable(now time.Time, offset uint64, strict bool, tried []*Endpoint) *Endpoint {
	n := uint64(len(t.Endpoints))
	for i := range n {
		e := t.Endpoints[(offset+i)%n]
		if t.usable(now, e, tried, strict) {
			return e
		}
	}
	return nil
}

// DistanceCost returns the cost of the network distance to e, as a fraction of a server's
// limit.
func (t *Table) DistanceCost(e *Endpoint) float64 {
	switch e.distance {
	case sameDomain:
		return 0
	case sameRegion:
		return t.cfg.DomainCost
	default:
		return t.cfg.RegionCost
	}
}

// SelectedByWeight reports whether e competes without the extra cost of a server in warm-up. For such a
// server this is random with its weight as the probability, so that it gets that fraction of the
// requests of a fully warmed-up server.
func (t *Table) SelectedByWeight(now time.Time, rnd rand.Source, e *Endpoint) bool {
	weight := e.Weight(now, t.SlowStart)
	return weight >= 1 || float64(rnd.Uint64()>>11)/(1<<53) < weight
}

// FullRange returns the range of all servers of the table.
func (t *Table) FullRange(strict bool) Range {
	return Range{From: 0, To: len(t.Endpoints), Strict: strict}
}

// Unavailable returns the result for a table without a usable server. Its Wait is the
// shortest remaining refusal, or wait for this node's share of a cold server, of the servers that are
// not in tried, or else Config.EvacuatedWait if any server is evacuated.
func (t *Table) Unavailable(now time.Time, tried []*Endpoint) PickResult {
	var wait time.Duration
	for _, e := range t.Endpoints {
		remaining := e.refusalRemaining(now)
		if remaining == 0 || containsVM(tried, e.VM) {
			continue
		}
		if wait == 0 || remaining < wait {
			wait = remaining
		}
	}
	if wait == 0 && t.anyEvacuated() {
		wait = t.cfg.EvacuatedWait
	}
	return PickResult{Wait: wait}
}

// Locality is the failure domain and region of a node.
type Locality struct {
	Domain string
	Region string
}

// Directory holds the tables of all services. Update and Sweep must not run concurrently;
// Table is safe for concurrent use.
type Directory struct {
	cfg      Config
	locality Locality
	tables   atomic.Pointer[map[string]*Table]
	outliers map[*Endpoint]*outlierState
}

// NewDirectory returns an empty directory for a node in locality.
func NewDirectory(cfg Config, locality Locality) *Directory {
	d := &Directory{cfg: cfg, locality: locality, outliers: make(map[*Endpoint]*outlierState)}
	d.tables.Store(&map[string]*Table{})
	return d
}

// Table returns the current table of a service, or nil if the service has no known
// server.
func (d *Directory) Table(service string) *Table {
	return (*d.tables.Load())[service]
}

// Update replaces all tables. Endpoints of unchanged servers keep their counters; a
// server that is new, has a new address or was restarted begins its warm-up. Servers
// whose service is not in the snapshot are ignored.
func (d *Directory) Update(now time.Time, snapshot *mesh.Snapshot, servers []Server) {
	known := d.endpointsByVM()
	tables := make(map[string]*Table)
	for _, s := range servers {
		svc := snapshot.Service(s.Service)
		if svc == nil {
			continue
		}
		t := tables[s.Service]
		if t == nil {
			t = d.newTable(svc)
			tables[s.Service] = t
		}
		t.Endpoints = append(t.Endpoints, d.endpointFor(now, known[s.VM], s, svc, t.work, len(servers)))
	}
	for _, t := range tables {
		sortTable(t)
	}
	d.tables.Store(&tables)
	d.pruneOutliers(tables)
}

// newTable returns a table without servers that continues the pick count of the current
// table.
func (d *Directory) newTable(svc *mesh.Service) *Table {
	t := &Table{
		Service:   svc.Name,
		SlowStart: svc.Server.SlowStart.Duration(),
		cfg:       &d.cfg,
		PickCount: new(atomic.Uint64),
		work:      new(serviceWork),
	}
	if old := d.Table(svc.Name); old != nil {
		t.PickCount = old.PickCount
		t.work = old.work
	}
	return t
}

// endpointFor returns old if it describes the same server as s, or else a new endpoint
// that begins its warm-up. nodes is the number of nodes that may send to it.
func (d *Directory) endpointFor(now time.Time, old *Endpoint, s Server, svc *mesh.Service, work *serviceWork, nodes int) *Endpoint {
	leaving, evacuated, cold := s.Leaving, s.Evacuated, s.Cold
	s.Leaving, s.Evacuated, s.Cold = false, false, ColdReport{}
	e := old
	if e == nil || e.Server != s {
		e = &Endpoint{Server: s, cfg: &d.cfg, distance: d.distance(s), work: endpointWork{service: work}}
		e.cold.phase = newPhase(d.cfg.Seed, s.VM)
		e.warmUpStart.Store(steady.Nanos(now))
	}
	e.cold.configure(&svc.Server, nodes)
	e.cold.list(now, cold)
	e.leaving.Store(leaving)
	e.setEvacuated(now, evacuated)
	e.slots.Store(uint32(min(max(1, cmp.Or(s.Slots, svc.Server.Slots)), math.MaxUint32)))
	return e
}

func (d *Directory) endpointsByVM() map[string]*Endpoint {
	known := make(map[string]*Endpoint)
	for _, t := range *d.tables.Load() {
		for _, e := range t.Endpoints {
			known[e.VM] = e
		}
	}
	return known
}

// sortTable sorts the servers by distance and VM, and counts the local ones.
func sortTable(t *Table) {
	slices.SortFunc(t.Endpoints, func(a, b *Endpoint) int {
		return cmp.Or(a.distance-b.distance, strings.Compare(a.VM, b.VM))
	})
	for _, e := range t.Endpoints {
		if e.distance == sameDomain {
			t.DomainCount++
		}
		if e.distance <= sameRegion {
			t.RegionCount++
		}
	}
}

func (d *Directory) distance(s Server) int {
	switch {
	case s.Region != d.locality.Region:
		return otherRegion
	case s.Domain != d.locality.Domain:
		return sameRegion
	default:
		return sameDomain
	}
}

// Distances between the node and a server, in ascending order of cost.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)
