// Package p2c implements routing by the power of two choices: it samples two servers at
// random and picks the better one.
//
// Sampling two avoids a thundering herd of all nodes on the one server that last reported
// the lowest load. The better server has the lower score: its estimated load plus the cost
// of the network distance. During its warm-up a server competes at this score only with a
// probability equal to its weight.
package p2c

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
)

// warmUpCost is added to the score of a server in warm-up that was not selected by its
// weight, as a fraction of a server's limit. It is the same for all servers, so that two
// of them still compare by load.
const warmUpCost = 2

// Picker implements routing.Picker. It is stateless.
type Picker struct{}

// Pick prefers servers of the local region. It considers other regions if no local server
// is usable or the load of the better local candidate has reached Config.SpilloverLoad.
// Suspect servers are considered only if there is no other.
func (Picker) Pick(now time.Time, rnd rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	c := pickArgs{now: now, rnd: rnd, table: t, tried: tried}
	local := c.pickLocal()
	if local.endpoint != nil && local.load < t.Config().SpilloverLoad {
		return routing.PickResult{Endpoint: local.endpoint}
	}
	remote := routing.Range{From: t.RegionCount, To: len(t.Endpoints), Strict: true}
	best := better(local, c.sampleTwo(remote, remote))
	if best.endpoint == nil {
		best = c.sampleTwo(t.FullRange(false), t.FullRange(false))
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
}

// candidate is a sampled server and its score; a lower score is better.
type candidate struct {
	endpoint *routing.Endpoint
	load     float64
	score    float64
}

// pickLocal samples one candidate in the local failure domain, or in the local region if
// the domain has no servers, and another in the local region, and returns the better one.
func (c *pickArgs) pickLocal() candidate {
	region := routing.Range{To: c.table.RegionCount, Strict: true}
	domain := routing.Range{To: c.table.DomainCount, Strict: true}
	if c.table.DomainCount == 0 {
		domain = region
	}
	return c.sampleTwo(domain, region)
}

// sampleTwo samples one candidate in each range and returns the better one.
func (c *pickArgs) sampleTwo(first, second routing.Range) candidate {
	a := c.table.Sample(c.now, c.rnd, first, c.tried, nil)
	b := c.table.Sample(c.now, c.rnd, second, c.tried, a)
	return better(c.evaluate(a), c.evaluate(b))
}

// evaluate returns the candidate for e, or an empty one if e is nil.
func (c *pickArgs) evaluate(e *routing.Endpoint) candidate {
	if e == nil {
		return candidate{}
	}
	load := e.Load(c.now)
	score := load + c.table.DistanceCost(e)
	if !c.table.SelectedByWeight(c.now, c.rnd, e) {
		score += warmUpCost
	}
	return candidate{endpoint: e, load: load, score: score}
}

// better returns the candidate with the lower score, and a if both are equal.
func better(a, b candidate) candidate {
	if a.endpoint == nil || (b.endpoint != nil && b.score < a.score) {
		return b
	}
	return a
}
