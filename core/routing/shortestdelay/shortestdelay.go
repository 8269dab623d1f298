// Package shortestdelay implements routing by the shortest expected delay: of a few random servers it
// picks the one where the request is expected to end first.
//
// The expected end follows from the work that the server has accepted, its slots, its speed and the
// expected work of the request (routing.Endpoint.Expect). Random candidates keep nodes with the same
// reports from choosing the same server. Servers of the local failure domain are preferred while one of
// them ends well within the latency objective. Without an expected work of the request, before the
// first report of a server's work and while the service is overloaded, the choice is that of p2c.
package shortestdelay

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/p2c"
)

const (
	// manyCandidates is the number of servers that are drawn in the local failure domain, and beyond it
	// if the local candidates are full. With 3, nodes with reports 0.5 s old chose the same servers.
	manyCandidates = 2
	// fewCandidates is the number of servers that are drawn beyond the local failure domain otherwise.
	fewCandidates = 1
	// safeShare is the share of the time until the objective within which a local server must be
	// expected to end for the request to stay in the local failure domain. The rest is for errors of the
	// estimate. At 0.5, requests whose work takes half of their objective left their domain as soon as
	// one server there was slow.
	safeShare = 0.6
	// largeBody is the size of a request body in bytes from which sending it to another failure domain
	// costs more than the distance: its bytes. Such a request leaves its domain only if it would miss its
	// objective there or was refused there. Each further largeBody adds the cost of the distance once,
	// up to maxBodyCost.
	largeBody   = 8 << 10
	maxBodyCost = 8
	// fullLoad is the accepted work from which a server counts as full, so that a request waits and may be
	// refused: as a multiple of the work of a server with one request per slot, and of the mean of the
	// service. A lower value sends more bytes to other domains, a higher one refuses more requests while
	// demand differs between domains.
	fullLoad = 1.2
	// fullCost is added to the expected end at a full server, as a multiple of the accepted work of a
	// request. Without it, fast servers refuse requests while others have free slots.
	fullCost = 0.5
	// overload is the share of refused attempts at the servers of the service from which the choice is that
	// of p2c: while nearly all servers are full, the expected end prefers fast servers that refuse, and
	// leaves slots of slow ones idle. A lower share gives up the gain near the capacity.
	overload = 0.15
	// warmUpCost is added to the expected end at a server in warm-up that was not selected by its
	// weight, as a multiple of the request's work; p2c has the same cost.
	warmUpCost = 2
)

// Picker implements routing.Picker for one request.
type Picker struct {
	// Work is the expected work of the request; 0 if unknown.
	Work time.Duration
	// Objective is the time until which a response meets the latency objective.
	Objective time.Time
	// BodyBytes is the size of the request body.
	BodyBytes int
}

// staysLocal reports whether the request is sent to the best candidate of the local failure domain
// without looking at others.
func (p *Picker) staysLocal(now time.Time, best candidate, tried int) bool {
	if best.endpoint == nil {
		return false
	}
	left := float64(p.Objective.Sub(now))
	if p.BodyBytes >= largeBody {
		return float64(best.score) <= left
	}
	return tried == 0 && !best.full && float64(best.score) <= left*safeShare
}

// bodyCost returns the multiple of the distance cost that applies to the request.
func (p *Picker) bodyCost() float64 {
	return min(1+float64(p.BodyBytes/largeBody), maxBodyCost)
}

// Applies reports whether the choice among the servers of t is by expected work, not that of p2c.
func (p *Picker) Applies(t *routing.Table) bool {
	return p.Work > 0 && t.AcceptedWork() != 0 && t.RefusedShare() < overload
}

// Costs are what the choice adds to the expected end of a request at a server.
type Costs struct {
	// Distance is the cost of the network distance. At a server that isn't full it is left out while the
	// local candidates are full, unless the request has a large body.
	Distance time.Duration
	// Full is the cost of a full server; 0 if it is not full.
	Full time.Duration
}

// Costs returns what the choice adds to the expected end x of the request at e.
func (p *Picker) Costs(t *routing.Table, e *routing.Endpoint, x routing.Expectation) Costs {
	accepted := t.AcceptedWork()
	costs := Costs{Distance: distanceCost(t, e, p.bodyCost(), accepted)}
	if isFull(t, x.PerSlot, accepted) {
		costs.Full = refusalCost(accepted)
	}
	return costs
}

// isFull reports whether a server with the outstanding work perSlot is full. accepted is the mean accepted work of a
// request, as for the functions below.
func isFull(t *routing.Table, perSlot, accepted time.Duration) bool {
	return float64(perSlot) >= fullLoad*float64(max(accepted, t.WorkPerSlot()))
}

// distanceCost returns the cost of the distance to e. As with p2c, it is a share of the work of a server
// with one request per slot.
func distanceCost(t *routing.Table, e *routing.Endpoint, bodyCost float64, accepted time.Duration) time.Duration {
	return time.Duration(bodyCost * t.DistanceCost(e) * float64(accepted))
}

// refusalCost returns the cost of a full server.
func refusalCost(accepted time.Duration) time.Duration {
	return time.Duration(fullCost * float64(accepted))
}

// Pick prefers servers of the local failure domain, then of the local region. It considers other regions
// if no server of the local one is usable or all candidates are full. Suspect servers are considered only
// if there is no other.
func (p *Picker) Pick(now time.Time, rnd rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	if !p.Applies(t) {
		return p2c.Picker{}.Pick(now, rnd, t, tried)
	}
	c := pickArgs{now: now, rnd: rnd, table: t, tried: tried, work: p.Work, bodyCost: p.bodyCost()}
	best := c.sample(routing.Range{To: t.DomainCount, Strict: true}, manyCandidates, true)
	if p.staysLocal(now, best, len(tried)) {
		return routing.PickResult{Endpoint: best.endpoint}
	}
	// A refused request would probably be refused by the next local server too.
	charged := len(tried) == 0 && !best.full || p.BodyBytes >= largeBody
	best = better(best, c.sample(routing.Range{From: t.DomainCount, To: t.RegionCount, Strict: true}, best.further(), charged))
	if best.endpoint == nil || best.full {
		best = better(best, c.sample(routing.Range{From: t.RegionCount, To: len(t.Endpoints), Strict: true}, best.further(), true))
	}
	if best.endpoint == nil {
		best = c.sample(t.FullRange(false), manyCandidates, true)
	}
	if best.endpoint == nil {
		return t.Unavailable(now, tried)
	}
	return routing.PickResult{Endpoint: best.endpoint}
}

// pickArgs holds the arguments of one call of Pick.
type pickArgs struct {
	now   time.Time
	rnd   rand.Source
	table *routing.Table
	tried []*routing.Endpoint
	work  time.Duration
	// bodyCost multiplies the cost of the distance.
	bodyCost float64
}

// candidate is a sampled server. A lower score is better: the expected end plus the cost of the network
// distance, of a full server and of a warm-up.
type candidate struct {
	endpoint *routing.Endpoint
	score    time.Duration
	full     bool
}

// further returns how many servers to draw beyond the ranges that gave c.
func (c candidate) further() int {
	if c.endpoint == nil || c.full {
		return manyCandidates
	}
	return fewCandidates
}

// sample returns the best of n random servers in r. The distance is part of their score if charged is
// set, and always of that of a full server.
func (c *pickArgs) sample(r routing.Range, n int, charged bool) candidate {
	var best candidate
	for range n {
		e := c.table.Sample(c.now, c.rnd, r, c.tried, best.endpoint)
		if e == nil {
			break
		}
		best = better(best, c.evaluate(e, charged))
	}
	return best
}

func (c *pickArgs) evaluate(e *routing.Endpoint, charged bool) candidate {
	x := e.Expect(c.now, c.work)
	accepted := c.table.AcceptedWork()
	score := x.End
	full := isFull(c.table, x.PerSlot, accepted)
	if charged || full {
		score += distanceCost(c.table, e, c.bodyCost, accepted)
	}
	if full {
		score += refusalCost(accepted)
	}
	if !c.table.SelectedByWeight(c.now, c.rnd, e) {
		score += warmUpCost * c.work
	}
	return candidate{endpoint: e, score: score, full: full}
}

// better returns the candidate with the lower score, and a if both are equal.
func better(a, b candidate) candidate {
	if a.endpoint == nil || (b.endpoint != nil && b.score < a.score) {
		return b
	}
	return a
}
