package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnladder.example/core/steady"
)

const (
	// WaitRanks is the number of ranks whose waits are kept. The last one stands for all further
	// ones.
	WaitRanks = 4
	// WaitRefused is added to the wait of a rank whose requests would be refused now, in milliseconds.
	// Waits are shorter.
	WaitRefused = 60_000
	// waitFresh is how long a reported wait is used. A queue of some slots changes completely within a
	// second.
	waitFresh = 500 * time.Millisecond
	// maxLooked bounds the servers whose waits are looked at for one request.
	maxLooked = 64
	// minLate is the number of servers that must be late if the waits of others are not known. A node
	// hears from some servers only within waitFresh. If a fifth of the servers could start a request, eight
	// random ones are all late in 17 % of the cases.
	minLate = 8
	// probeShare is the share of the requests to refuse that are tried nevertheless, so that wrong
	// values correct themselves.
	probeShare = 0.1
	// minShedRetryAfter and maxShedRetryAfter bound the hint to callers, before it is spread.
	minShedRetryAfter = 50 * time.Millisecond
	maxShedRetryAfter = 2 * time.Second
)

// Waits holds the expected wait for a slot of each rank in milliseconds, plus WaitRefused if a request
// that arrives now would be refused.
type Waits [WaitRanks]uint16

// storeWaits stores the waits that the server's node reported.
func (e *Endpoint) storeWaits(now time.Time, w Waits) {
	var packed uint64
	for i, ms := range w {
		packed |= uint64(ms) << (16 * i)
	}
	e.waits.Store(packed)
	e.waitsAt.Store(steady.Nanos(now))
}

// wait returns the reported wait for a rank in milliseconds, or false if the report is not fresh.
func (e *Endpoint) wait(now time.Time, rank uint32) (ms uint16, fresh bool) {
	at := e.waitsAt.Load()
	if at == 0 || time.Duration(steady.Nanos(now)-at) > waitFresh {
		return 0, false
	}
	return e.packedWait(rank), true
}

// packedWait returns the reported wait for a rank in milliseconds, whatever its age.
func (e *Endpoint) packedWait(rank uint32) uint16 {
	return uint16(e.waits.Load() >> (16 * min(rank, WaitRanks-1)))
}

// ServesMoreUrgent reports whether the server refuses a rank but not the most urgent one.
func (l *Load) ServesMoreUrgent(rank uint32) bool {
	if l == nil || !l.WaitsKnown {
		return false
	}
	return rank > 0 && l.Waits[0] < WaitRefused && l.Waits[min(rank, WaitRanks-1)] >= WaitRefused
}

// Lateness is the result of Table.Lateness.
type Lateness struct {
	// Refuse is set if the request is to be refused.
	Refuse bool
	// RetryAfter is when the caller may try again, spread at random.
	RetryAfter time.Duration
}

// Lateness reports whether no usable server would start a request of a rank by the given time, as far as
// their nodes reported lately: each server whose wait is known is late, and these are at least minLate
// servers or all usable ones.
func (t *Table) Lateness(now time.Time, rnd rand.Source, rank uint32, by time.Time, tried []*Endpoint) Lateness {
	late, unknown, shortest := 0, 0, uint16(WaitRefused)
	n := len(t.Endpoints)
	if n == 0 {
		return Lateness{}
	}
	first := int(rnd.Uint64() % uint64(n))
	for i := range min(n, maxLooked) {
		e := t.Endpoints[(first+i)%n]
		if e.Blocked(now) || slices.Contains(tried, e) {
			continue
		}
		ms, fresh := e.wait(now, rank)
		if !fresh {
			unknown++
			continue
		}
		if ms < WaitRefused && !now.Add(time.Duration(ms)*time.Millisecond).After(by) {
			return Lateness{}
		}
		late++
		shortest = min(shortest, ms%WaitRefused)
	}
	known := unknown == 0 && n <= maxLooked
	if late == 0 || (late < minLate && !known) || unit(rnd) < probeShare {
		return Lateness{}
	}
	wait := min(max(time.Duration(shortest)*time.Millisecond, minShedRetryAfter), maxShedRetryAfter)
	return Lateness{Refuse: true, RetryAfter: time.Duration((0.5 + unit(rnd)) * float64(wait))}
}

// unit returns a random number from 0 to 1.
func unit(rnd rand.Source) float64 { return float64(rnd.Uint64()>>11) / (1 << 53) }
