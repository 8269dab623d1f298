// Package quarantine finds the requests that crash the backend servers that run them, and
// decides which requests must not be sent to a server.
//
// A crash counts against every request that the server was running, so one crash shows
// nothing. Two rules separate the cause from the requests that ran beside it:
//
//   - When a server answers a request, the crashes known until then no longer count against it.
//   - A suspect is not started beside another suspect, which the node of each server enforces. So
//     a request that ran beside the cause once does not do so again.
//
// The records of all nodes merge into the same result in any order, and expire.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the limits of a Table.
type Config struct {
	// Threshold is the number of crashes from which a request is quarantined. With a lower
	// one fewer servers crash; with a higher one more coincidences are needed to quarantine
	// a request that is not the cause.
	Threshold int
	// TTL is how long a crash counts. With a longer one fewer servers crash under a request
	// that keeps coming; a shorter one ends a quarantine sooner that is wrong or whose cause
	// was fixed.
	TTL time.Duration
	// MaxRequests is the maximum number of requests with records. Each takes up to 300 bytes
	// of memory.
	MaxRequests int
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{Threshold: 3, TTL: 10 * time.Minute, MaxRequests: 1024}
}

// maxCrashes is the maximum number of crashes in one record; the latest ones are kept.
const maxCrashes = 8

// CrashID identifies one crash of one backend server.
type CrashID uint64

// Crash is a crash of a server that was running the request of a record.
type Crash struct {
	ID CrashID
	// At is when the crash was found, on the clock that Table's methods take.
	At time.Duration
	// Cleared is set once a server answered the request after the crash.
	Cleared bool
}

// Record holds the crashes with which a request was charged.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// State is the decision on a request.
type State uint8

const (
	// Free means that the request may be sent to any server.
	Free State = iota
	// Suspect means that the request may only be sent to a server that runs no other
	// suspect.
	Suspect
	// Quarantined means that the request must not be sent to a server.
	Quarantined
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "free"
	}
}

// Restriction says until when a request is suspect and until when it is quarantined, if nothing
// changes. The zero value belongs to a request without a record.
type Restriction struct {
	SuspectUntil     time.Duration
	QuarantinedUntil time.Duration
}

// State returns the state at the time now, and for a quarantined request the time left.
func (r Restriction) State(now time.Duration) (State, time.Duration) {
	switch {
	case now < r.QuarantinedUntil:
		return Quarantined, r.QuarantinedUntil - now
	case now < r.SuspectUntil:
		return Suspect, 0
	default:
		return Free, 0
	}
}

// Table holds the records known at one node. Its methods take the time on a clock that also
// counts while the VM is suspended. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[Fingerprint]*Record
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, records: make(map[Fingerprint]*Record)}
}

// Charge records the crash of a server that was running the given requests, and returns the
// records of those that are charged with it: the quarantined ones if there are any, as they are
// known to crash servers, and otherwise all. Requests with the zero fingerprint are ignored.
func (t *Table) Charge(now time.Duration, id CrashID, running []Fingerprint) []Record {
	t.expire(now)
	known := func(fp Fingerprint) bool {
		r := t.records[fp]
		return r != nil && r.Counting() >= t.cfg.Threshold
	}
	if slices.ContainsFunc(running, known) {
		running = slices.DeleteFunc(slices.Clone(running), func(fp Fingerprint) bool { return !known(fp) })
	}
	var records []Record
	for _, fp := range running {
		if fp != 0 {
			records = append(records, Record{Fingerprint: fp, Crashes: []Crash{{ID: id, At: now}}})
		}
	}
	return t.Merge(now, records)
}

// Clear records that a server answered the request, and returns its record if that changes it.
func (t *Table) Clear(now time.Duration, fp Fingerprint) []Record {
	r := t.records[fp]
	if r == nil {
		return nil
	}
	answered := Record{Fingerprint: fp, Crashes: slices.Clone(r.Crashes)}
	for i := range answered.Crashes {
		answered.Crashes[i].Cleared = true
	}
	return t.Merge(now, []Record{answered})
}

// Merge adds the records of another node and returns those that changed, as they are now.
func (t *Table) Merge(now time.Duration, records []Record) []Record {
	t.expire(now)
	var changed []Record
	for _, r := range records {
		if t.merge(now, r) {
			changed = append(changed, t.records[r.Fingerprint].clone())
		}
	}
	t.limit()
	return changed
}

// merge adds one record and reports whether it told anything new.
func (t *Table) merge(now time.Duration, r Record) bool {
	known := t.records[r.Fingerprint]
	if known == nil {
		known = &Record{Fingerprint: r.Fingerprint}
	}
	changed := false
	for _, c := range r.Crashes {
		if now < c.At+t.cfg.TTL && known.add(c) {
			changed = true
		}
	}
	if changed {
		t.records[r.Fingerprint] = known
	}
	return changed
}

// add adds a crash and reports whether it told anything new. Of two reports of one crash, the
// earlier time holds.
func (r *Record) add(c Crash) bool {
	i := slices.IndexFunc(r.Crashes, func(known Crash) bool { return known.ID == c.ID })
	if i >= 0 {
		known := &r.Crashes[i]
		known.At = min(known.At, c.At)
		changed := c.Cleared && !known.Cleared
		known.Cleared = known.Cleared || c.Cleared
		return changed
	}
	r.Crashes = append(r.Crashes, c)
	if len(r.Crashes) <= maxCrashes {
		return true
	}
	return r.dropOldest() != c.ID
}

// dropOldest drops the oldest crash and returns its identity.
func (r *Record) dropOldest() CrashID {
	oldest := 0
	for i, c := range r.Crashes {
		if c.older(r.Crashes[oldest]) {
			oldest = i
		}
	}
	id := r.Crashes[oldest].ID
	r.Crashes = slices.Delete(r.Crashes, oldest, oldest+1)
	return id
}

// older reports whether c comes before other in an order that is the same at all nodes.
func (c Crash) older(other Crash) bool {
	return cmp.Or(cmp.Compare(c.At, other.At), cmp.Compare(c.ID, other.ID)) < 0
}

// Counting returns the number of crashes that count against the request, as no server has answered
// it since.
func (r *Record) Counting() int {
	count := 0
	for _, c := range r.Crashes {
		if !c.Cleared {
			count++
		}
	}
	return count
}

// clone returns a copy that shares no memory with r.
func (r *Record) clone() Record {
	return Record{Fingerprint: r.Fingerprint, Crashes: slices.Clone(r.Crashes)}
}

// expire drops crashes that are older than the TTL, and empty records.
func (t *Table) expire(now time.Duration) {
	for fp, r := range t.records {
		r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return now >= c.At+t.cfg.TTL })
		if len(r.Crashes) == 0 {
			delete(t.records, fp)
		}
	}
}

// limit drops records beyond MaxRequests: those with the fewest crashes that count, and of
// these the oldest.
func (t *Table) limit() {
	excess := len(t.records) - t.cfg.MaxRequests
	if excess <= 0 {
		return
	}
	order := make([]*Record, 0, len(t.records))
	for _, r := range t.records {
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b *Record) int {
		return cmp.Or(
			cmp.Compare(a.Counting(), b.Counting()),
			cmp.Compare(a.newest(), b.newest()),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	for _, r := range order[:excess] {
		delete(t.records, r.Fingerprint)
	}
}

// newest returns the time of the latest crash.
func (r *Record) newest() time.Duration {
	newest := time.Duration(math.MinInt64)
	for _, c := range r.Crashes {
		newest = max(newest, c.At)
	}
	return newest
}

// Records returns the records of the given requests, without those that have none.
func (t *Table) Records(fps ...Fingerprint) []Record {
	var found []Record
	for _, fp := range fps {
		if r := t.records[fp]; r != nil {
			found = append(found, r.clone())
		}
	}
	return found
}

// All returns all records that have not expired.
func (t *Table) All(now time.Duration) []Record {
	t.expire(now)
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r.clone())
	}
	return all
}

// Restrictions returns the restrictions on all requests that are suspect or quarantined.
func (t *Table) Restrictions() map[Fingerprint]Restriction {
	restrictions := make(map[Fingerprint]Restriction, len(t.records))
	for fp, r := range t.records {
		if until := t.restriction(r); until != (Restriction{}) {
			restrictions[fp] = until
		}
	}
	return restrictions
}

// restriction returns until when the crashes of a record count.
func (t *Table) restriction(r *Record) Restriction {
	var ends []time.Duration
	for _, c := range r.Crashes {
		if !c.Cleared {
			ends = append(ends, c.At+t.cfg.TTL)
		}
	}
	if len(ends) == 0 {
		return Restriction{}
	}
	slices.Sort(ends)
	until := Restriction{SuspectUntil: ends[len(ends)-1]}
	if len(ends) >= t.cfg.Threshold {
		until.QuarantinedUntil = ends[len(ends)-t.cfg.Threshold]
	}
	return until
}

// Digest returns a hash of all records that have not expired, which does not depend on their
// order or their times. Two tables with the same records have the same digest.
func (t *Table) Digest(now time.Duration) uint64 {
	t.expire(now)
	var digest uint64
	for fp, r := range t.records {
		for _, c := range r.Crashes {
			digest += crashHash(fp, c)
		}
	}
	return digest
}
