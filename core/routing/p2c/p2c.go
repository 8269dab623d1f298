// Package p2c chooses the better of two servers drawn at random.
//
// Drawing two avoids that all nodes send to the one server that looked best a
// moment ago. The better one has the lower score: its estimated load plus the cost of
// the way to it. A cold server competes only now and then, as its weight says.
package p2c

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
)

// coldCost is added to the score of a cold server that isn't to compete, as a share of
// a server's limit. Two cold servers still compare by load.
const coldCost = 2

// Picker implements routing.Picker. It has no state.
type Picker struct{}

// Pick prefers the own region; it considers other regions when no server of the
// own one is usable or the better candidate is loaded to the spill limit.
func (Picker) Pick(now time.Time, rnd rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	c := choice{now: now, rnd: rnd, table: t, tried: tried}
	home := c.home()
	if home.endpoint != nil && home.load < t.Config().SpillLoad {
		return routing.PickResult{Endpoint: home.endpoint}
	}
	away := routing.Range{From: t.Region, To: len(t.Endpoints), Strict: true}
	best := better(home, c.drawTwo(away, away))
	if best.endpoint == nil {
		best = c.drawTwo(t.All(false), t.All(false))
	}
	if best.endpoint == nil {
		return t.None(now, tried)
	}
	return routing.PickResult{Endpoint: best.endpoint}
}

// choice holds the arguments of one Pick.
type choice struct {
	now   time.Time
	rnd   rand.Source
	table *routing.Table
	tried []*routing.Endpoint
}

// candidate is a server with its score; lower is better.
type candidate struct {
	endpoint *routing.Endpoint
	load     float64
	score    float64
}

// home draws one candidate from the own failure domain, if it has one, and another
// from the own region.
func (c *choice) home() candidate {
	region := routing.Range{To: c.table.Region, Strict: true}
	domain := routing.Range{To: c.table.Domain, Strict: true}
	if c.table.Domain == 0 {
		domain = region
	}
	return c.drawTwo(domain, region)
}

func (c *choice) drawTwo(first, second routing.Range) candidate {
	a := c.table.Sample(c.now, c.rnd, first, c.tried, nil)
	b := c.table.Sample(c.now, c.rnd, second, c.tried, a)
	return better(c.rate(a), c.rate(b))
}

func (c *choice) rate(e *routing.Endpoint) candidate {
	if e == nil {
		return candidate{}
	}
	load := e.Load(c.now)
	score := load + c.table.Cost(e)
	if !c.admits(e) {
		score += coldCost
	}
	return candidate{endpoint: e, load: load, score: score}
}

// admits reports whether e competes at its plain score. A cold server does so with
// its weight as the chance, so it gets that share of the requests of a warm one.
func (c *choice) admits(e *routing.Endpoint) bool {
	weight := e.Weight(c.now, c.table.SlowStart)
	return weight >= 1 || float64(c.rnd.Uint64()>>11)/(1<<53) < weight
}

func better(a, b candidate) candidate {
	if a.endpoint == nil || (b.endpoint != nil && b.score < a.score) {
		return b
	}
	return a
}
