package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/steady"
)

// sampleTries bounds the random draws before all servers are scanned.
const sampleTries = 4

// Table is the immutable list of the servers of one service. Servers of the own
// failure domain stand first, then those of the own region, then all others.
type Table struct {
	Service   string
	Endpoints []*Endpoint
	// Domain and Region are the counts of servers in the own domain and region.
	Domain    int
	Region    int
	SlowStart time.Duration
	cfg       *Config
	// Turn counts picks for policies that go round.
	Turn *atomic.Uint64
}

// Config returns the configuration of the table's directory.
func (t *Table) Config() *Config {
	return t.cfg
}

// usable reports whether e may be chosen at all, and, if strict, whether nothing
// speaks against it.
func (t *Table) usable(now time.Time, e *Endpoint, tried []*Endpoint, strict bool) bool {
	if e.Blocked(now) || slices.Contains(tried, e) {
		return false
	}
	return !strict || !e.Suspect(now)
}

// Sample draws one usable server of Endpoints[from:to], each with equal chance,
// other than without. It returns nil if there is none. Strict leaves out suspects.
func (t *Table) Sample(now time.Time, rnd rand.Source, r Range, tried []*Endpoint, without *Endpoint) *Endpoint {
	all := t.Endpoints[r.From:r.To]
	if len(all) == 0 {
		return nil
	}
	for range sampleTries {
		e := all[rnd.Uint64()%uint64(len(all))]
		if e != without && t.usable(now, e, tried, r.Strict) {
			return e
		}
	}
	return t.scan(now, rnd, r, tried, without)
}

// Range selects a part of a table.
type Range struct {
	From, To int
	// Strict leaves out servers that Suspect reports.
	Strict bool
}

// scan chooses among all usable servers of r by reservoir sampling.
func (t *Table) scan(now time.Time, rnd rand.Source, r Range, tried []*Endpoint, without *Endpoint) *Endpoint {
	var chosen *Endpoint
	var count uint64
	for _, e := range t.Endpoints[r.From:r.To] {
		if e == without || !t.usable(now, e, tried, r.Strict) {
			continue
		}
		count++
		if rnd.Uint64()%count == 0 {
			chosen = e
		}
	}
	return chosen
}

// Next returns the first usable server from position turn on, or nil.
func (t *Table) Next(now time.Time, turn uint64, strict bool, tried []*Endpoint) *Endpoint {
	n := uint64(len(t.Endpoints))
	for i := range n {
		e := t.Endpoints[(turn+i)%n]
		if t.usable(now, e, tried, strict) {
			return e
		}
	}
	return nil
}

// Cost returns the score for the way to e, as a share of a server's limit.
func (t *Table) Cost(e *Endpoint) float64 {
	switch e.distance {
	case sameDomain:
		return 0
	case sameRegion:
		return t.cfg.DomainCost
	default:
		return t.cfg.RegionCost
	}
}

// All returns the range of the whole table.
func (t *Table) All(strict bool) Range {
	return Range{From: 0, To: len(t.Endpoints), Strict: strict}
}

// None returns the result for a table without a usable server.
func (t *Table) None(now time.Time, tried []*Endpoint) PickResult {
	var wait time.Duration
	for _, e := range t.Endpoints {
		left := e.refusalLeft(now)
		if left == 0 || slices.Contains(tried, e) {
			continue
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return PickResult{Wait: wait}
}

// Place is where a node is.
type Place struct {
	Domain string
	Region string
}

// Directory holds the tables of all services. Update and Sweep are called by one
// goroutine; Table by any.
type Directory struct {
	cfg      Config
	place    Place
	tables   atomic.Pointer[map[string]*Table]
	outliers map[*Endpoint]*outlierState
}

// NewDirectory returns a directory without servers, for a node at place.
func NewDirectory(cfg Config, place Place) *Directory {
	d := &Directory{cfg: cfg, place: place, outliers: make(map[*Endpoint]*outlierState)}
	d.tables.Store(&map[string]*Table{})
	return d
}

// Table returns the current table of a service, or nil if no server is known.
func (d *Directory) Table(service string) *Table {
	return (*d.tables.Load())[service]
}

// Update replaces all tables. Endpoints of servers that stay keep their counters;
// a server that is new or has a new address starts cold. A server whose service is
// not in the snapshot is left out.
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
		t.Endpoints = append(t.Endpoints, d.endpoint(now, known[s.VM], s, svc))
	}
	for _, t := range tables {
		sortTable(t)
	}
	d.tables.Store(&tables)
	d.forget(tables)
}

func (d *Directory) newTable(svc *mesh.Service) *Table {
	t := &Table{
		Service:   svc.Name,
		SlowStart: svc.Server.SlowStart.Duration(),
		cfg:       &d.cfg,
		Turn:      new(atomic.Uint64),
	}
	if old := d.Table(svc.Name); old != nil {
		t.Turn = old.Turn
	}
	return t
}

// endpoint returns old if it still describes s, or a new and cold endpoint.
func (d *Directory) endpoint(now time.Time, old *Endpoint, s Server, svc *mesh.Service) *Endpoint {
	leaving := s.Leaving
	s.Leaving = false
	e := old
	if e == nil || e.Server != s {
		e = &Endpoint{Server: s, cfg: &d.cfg, distance: d.distance(s)}
		e.coldSince.Store(steady.Nanos(now))
	}
	e.leaving.Store(leaving)
	e.slots.Store(uint32(max(1, cmp.Or(s.Slots, svc.Server.Slots))))
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

func sortTable(t *Table) {
	slices.SortFunc(t.Endpoints, func(a, b *Endpoint) int {
		return cmp.Or(a.distance-b.distance, strings.Compare(a.VM, b.VM))
	})
	for _, e := range t.Endpoints {
		if e.distance == sameDomain {
			t.Domain++
		}
		if e.distance <= sameRegion {
			t.Region++
		}
	}
}

func (d *Directory) distance(s Server) int {
	switch {
	case s.Region != d.place.Region:
		return otherRegion
	case s.Domain != d.place.Domain:
		return sameRegion
	default:
		return sameDomain
	}
}

// Distances of a server from the node, in order of cost.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)
