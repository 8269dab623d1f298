package ingress

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/shortestdelay"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/workload"
)

// placement holds what decides, together with the state of the servers, where the attempts of a request
// go. The request path and Plan make their decisions through it.
type placement struct {
	router *Router
	rank   uint32
	// objective is the time until which a response meets the route's latency objective, and deadline
	// the one until which the request must have ended.
	objective, deadline time.Time
	tried               []*routing.Endpoint
	// delay picks the server if the work of requests is learned.
	delay shortestdelay.Picker
}

// newPlacement returns the placement of a request that arrived at the given time.
func (r *Router) newPlacement(m *mesh.Match, arrived, deadline time.Time) placement {
	return placement{router: r, rank: rank(m), objective: arrived.Add(m.Route.Objective.Duration()), deadline: deadline}
}

// expect sets the expected work of the request, by which its server is chosen. The router must learn work.
func (p *placement) expect(now time.Time, r workload.Request) {
	expected := p.router.Work.Expected(steady.Nanos(now), r).Work
	p.delay = shortestdelay.Picker{Work: expected, Objective: p.objective, BodyBytes: r.BodyBytes}
}

// policy returns the policy that picks the servers of requests that are not suspected of crashing them.
func (p *placement) policy() routing.Picker {
	if p.router.Work != nil {
		return &p.delay
	}
	return p.router.Picker
}

// choose returns the server of the next attempt.
func (p *placement) choose(now time.Time, rnd rand.Source, policy routing.Picker, t *routing.Table) routing.PickResult {
	return policy.Pick(now, rnd, t, p.tried)
}

// lateness returns whether the request is refused because no server would start it in time: for its
// objective, or for its deadline if the objective has passed.
func (p *placement) lateness(now time.Time, rnd rand.Source, t *routing.Table) routing.Lateness {
	by := p.objective
	if !by.After(now) {
		by = p.deadline
	}
	return t.Lateness(now, rnd, p.rank, by, p.tried)
}
