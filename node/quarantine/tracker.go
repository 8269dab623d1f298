// Package quarantine keeps the node's records of requests that crash backend servers, answers
// the request path from them, and spreads them to all nodes.
//
// A new record is sent at once to a few random nodes, which pass it on in the same way. In
// addition, each node regularly asks a random one for the records that it lacks; that repairs
// what was lost and fills the table of a node that has just started.
package quarantine

import (
	"expvar"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/quarantine"
	"auburnladder.example/core/steady"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
)

// stats holds the expvar counters and gauges of the package.
var stats = expvar.NewMap("quarantine")

// gauge is an integer expvar.Var. A new value replaces the variable in the map.
type gauge int

// String implements expvar.Var.
func (g gauge) String() string { return strconv.Itoa(int(g)) }

// Config holds the limits and intervals of a Tracker.
type Config struct {
	// Table limits the records and decides when a request is quarantined.
	Table quarantine.Config
	// Fanout is the number of nodes to which a new record is sent. More reach all nodes with
	// fewer rounds, and cost messages.
	Fanout int
	// PushInterval is the minimum time between two rounds of sending new records, which
	// combines those of a series of crashes.
	PushInterval time.Duration
	// PullInterval is the time between two requests for missing records. It bounds how long
	// a node misses a record that no other node sent to it.
	PullInterval time.Duration
}

// DefaultConfig returns the configuration of a node in production.
func DefaultConfig() Config {
	return Config{
		Table:        quarantine.DefaultConfig(),
		Fanout:       8,
		PushInterval: 20 * time.Millisecond,
		PullInterval: time.Second,
	}
}

// Tracker holds the node's records. Its methods are safe for concurrent use.
type Tracker struct {
	cfg Config
	// vm is the ID of this node's VM.
	vm    string
	peers Peers
	log   zerolog.Logger
	// boot is a clock that also counts while the VM is suspended.
	boot func() time.Duration
	// restrictions is what the table says about each restricted request; nil if there is none.
	restrictions atomic.Pointer[map[quarantine.Fingerprint]quarantine.Restriction]
	// wake receives a value when there are records to send.
	wake chan struct{}

	mu    sync.Mutex
	table *quarantine.Table
	// unsent are the requests whose records have changed since the last round of sending.
	unsent []quarantine.Fingerprint
}

// New returns a tracker without records for the node of a VM. Run must be running for it to
// spread them.
func New(cfg Config, vm string, peers Peers, log zerolog.Logger) *Tracker {
	return &Tracker{
		cfg:   cfg,
		vm:    vm,
		peers: peers,
		log:   log,
		boot:  steady.Boot,
		wake:  make(chan struct{}, 1),
		table: quarantine.NewTable(cfg.Table),
	}
}

// State returns whether the request may be sent to a server, and for a quarantined request the
// time left.
func (t *Tracker) State(fp quarantine.Fingerprint) (quarantine.State, time.Duration) {
	restrictions := t.restrictions.Load()
	if restrictions == nil || fp == 0 {
		return quarantine.Free, 0
	}
	r, restricted := (*restrictions)[fp]
	if !restricted {
		return quarantine.Free, 0
	}
	return r.State(t.boot())
}

// RecordCrash records that a server crashed that was running the given requests.
func (t *Tracker) RecordCrash(id quarantine.CrashID, running []quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed(t.table.Charge(t.boot(), id, running))
}

// RecordAnswer records that a server answered the request, which costs next to nothing unless
// the request is restricted.
func (t *Tracker) RecordAnswer(fp quarantine.Fingerprint) {
	if state, _ := t.State(fp); state == quarantine.Free {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed(t.table.Clear(t.boot(), fp))
}

// Merge adds records that another node sent.
func (t *Tracker) Merge(records []*peerpb.CrashRecord) {
	if len(records) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.boot()
	t.changed(t.table.Merge(now, fromWire(now, records)))
}

// Records returns the records of the given requests for another node, without those that have
// none.
func (t *Tracker) Records(fps []quarantine.Fingerprint) []*peerpb.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return toWire(t.boot(), t.table.Records(fps...))
}

// changed publishes the restrictions after a change of the given records, and has the records
// sent to other nodes. It requires mu.
func (t *Tracker) changed(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	before := t.restrictions.Load()
	t.publish()
	for _, r := range records {
		t.logQuarantine(before, r)
		if !slices.Contains(t.unsent, r.Fingerprint) {
			t.unsent = append(t.unsent, r.Fingerprint)
		}
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// publish makes the restrictions of the table visible to State. It requires mu.
func (t *Tracker) publish() {
	restrictions := t.table.Restrictions()
	t.restrictions.Store(&restrictions)
	now, quarantined := t.boot(), 0
	for _, r := range restrictions {
		if state, _ := r.State(now); state == quarantine.Quarantined {
			quarantined++
		}
	}
	stats.Set("restricted", gauge(len(restrictions)))
	stats.Set("quarantined", gauge(quarantined))
}

// logQuarantine logs that a request became quarantined, or that it no longer is because a server
// answered it.
func (t *Tracker) logQuarantine(before *map[quarantine.Fingerprint]quarantine.Restriction, r quarantine.Record) {
	now := t.boot()
	old := quarantine.Free
	if before != nil {
		old, _ = (*before)[r.Fingerprint].State(now)
	}
	state, left := t.State(r.Fingerprint)
	switch {
	case state == quarantine.Quarantined && old != quarantine.Quarantined:
		t.log.Warn().Str("event", "request-quarantined").Stringer("fingerprint", r.Fingerprint).Int("crashes", r.Counting()).
			Dur("left_ms", left).Msg("requests that ask for this are refused: servers crashed each time they ran one")
	case state != quarantine.Quarantined && old == quarantine.Quarantined:
		t.log.Info().Str("event", "quarantine-lifted").Stringer("fingerprint", r.Fingerprint).
			Msg("requests that ask for this are served again: a server answered one")
	}
}
