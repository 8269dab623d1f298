package routing

import (
	"encoding/binary"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/steady"
)

// coldEntryLag is the age that an entry of the published list may have when it arrives. An entry that
// agrees with the latest reply of the server's node within this time is not taken for a new cold
// period.
const coldEntryLag = time.Second

// ColdReport is what the published list says about how much longer a server stays cold.
type ColdReport struct {
	// Report tells the entry from the others of the same run: the same one arrives repeatedly.
	Report uint64
	// Left is the remaining time as of when the entry was written; 0 if the server is warm.
	Left time.Duration
}

// coldShare limits the requests of this node to a server while it is cold. All nodes that may send to
// the server divide the rate that it tolerates evenly, so that their sum fits it without coordination.
// Its methods are safe for concurrent use, except that configure and list must not run concurrently with
// each other. The zero value is for a server that is never cold.
type coldShare struct {
	// until is when the server becomes warm as far as is known, 0 if it is warm, and next is when
	// this node may send the next request until then; Unix nanoseconds, like heardUntil.
	until atomic.Int64
	next  atomic.Int64
	// heardUntil is when the server becomes warm according to the latest reply of its node.
	heardUntil atomic.Int64
	// spacing is the time between two requests of this node in nanoseconds, 0 if the server is never
	// cold.
	spacing atomic.Int64
	// nodes is the number of nodes that divide the rate, and coldStart the longest time for which the
	// server is cold, in nanoseconds.
	nodes     atomic.Int64
	coldStart atomic.Int64
	// phase is the fraction of spacing before the first request of a cold period. It differs between
	// nodes, so that they do not all send at once.
	phase float64
	// report is the list entry that was applied last.
	report ColdReport
}

// newPhase returns the phase of a node for a server.
func newPhase(seed uint64, vm string) float64 {
	h := xxhash.New()
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	// Writes to an xxhash.Digest never fail.
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(vm)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// configure applies the service's limits and the number of nodes.
func (c *coldShare) configure(server *mesh.Server, nodes int) {
	coldStart, perSecond, ok := server.ColdLimits()
	if !ok {
		c.spacing.Store(0)
		c.until.Store(0)
		return
	}
	c.nodes.Store(int64(max(nodes, 1)))
	c.coldStart.Store(int64(coldStart))
	c.setRate(perSecond)
}

func (c *coldShare) setRate(perSecond float64) {
	spacing := float64(c.nodes.Load()) / perSecond * float64(time.Second)
	c.spacing.Store(int64(min(max(spacing, 1), math.MaxInt64/4)))
}

// list applies the server's entry in the published list.
func (c *coldShare) list(now time.Time, r ColdReport) {
	if r == c.report {
		return
	}
	c.report = r
	left := min(r.Left, time.Duration(c.coldStart.Load()))
	known := time.Duration(c.heardUntil.Load()-steady.Nanos(now)) + coldEntryLag
	if left <= 0 || c.spacing.Load() == 0 || left <= known {
		return
	}
	if until := steady.Nanos(now.Add(left)); until > c.until.Load() {
		c.begin(steady.Nanos(now), until)
	}
}

// hear applies what a reply of the server's node says. It replaces what the list says.
func (c *coldShare) hear(now time.Time, left time.Duration, perSecond float64) {
	if c.spacing.Load() == 0 {
		return
	}
	at := steady.Nanos(now)
	until := at + int64(min(max(left, 0), time.Duration(c.coldStart.Load())))
	c.heardUntil.Store(until)
	if until == at {
		if c.until.Load() != 0 {
			c.until.Store(0)
		}
		return
	}
	if perSecond > 0 {
		c.setRate(perSecond)
	}
	c.begin(at, until)
}

// begin sets the end of the cold period and begins a new one if there was none.
func (c *coldShare) begin(at, until int64) {
	if c.until.Load() <= at {
		c.next.Store(at + int64(c.phase*float64(c.spacing.Load())))
	}
	c.until.Store(until)
}

// heldUntil returns when this node may send the next request as far as the cold time decides; 0 if that
// does not limit it.
func (c *coldShare) heldUntil() int64 {
	until := c.until.Load()
	if until == 0 {
		return 0
	}
	return min(until, c.next.Load())
}

// claim takes this node's next request to the server, or returns false if it is not due.
func (c *coldShare) claim(at int64) bool {
	for {
		until, next := c.until.Load(), c.next.Load()
		if at >= until {
			return true
		}
		if at < next {
			return false
		}
		// A node that had no request when its turn came keeps it, but doesn't save up several.
		if c.next.CompareAndSwap(next, at+c.spacing.Load()) {
			return true
		}
	}
}

// Claim reports whether an attempt at the server may begin now, and counts it against this node's share
// if the server is cold. If it returns false, the server has become Blocked since it was picked.
func (e *Endpoint) Claim(now time.Time) bool {
	return e.cold.claim(steady.Nanos(now))
}
