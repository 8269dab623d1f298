package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/verdict"
	"auburnladder.example/core/workload"
	"auburnladder.example/node/settings"
	"github.com/valyala/fasthttp"
)

// planDraws is the number of first choices that Plan draws. It gives shares with a standard error of at most
// 0.03.
const planDraws = 256

// Plan returns where a request of the route m would go now. It makes the decisions of the request path, but
// changes nothing: no cold server's share, budget or position of a rotation is used, and no metric is counted.
func (g *Ingress) Plan(now time.Time, snapshot *mesh.Snapshot, m *mesh.Match, r workload.Request) statusapi.Plan {
	return g.plan(now, rand.NewPCG(rand.Uint64(), rand.Uint64()), snapshot, m, r)
}

func (g *Ingress) plan(now time.Time, rnd rand.Source, snapshot *mesh.Snapshot, m *mesh.Match, r workload.Request) statusapi.Plan {
	deadline := g.limitToStop(now.Add(m.Route.Deadline.Duration()))
	p := g.Router.newPlacement(m, now, deadline)
	if g.Router.Work != nil {
		p.expect(now, r)
	}
	plan := statusapi.Plan{
		Rank:        p.rank,
		DeadlineMs:  deadline.Sub(now).Milliseconds(),
		ObjectiveMs: int64(m.Route.Objective),
		BodyBytes:   r.BodyBytes,
	}
	if status, reason := g.check(snapshot, m, r.Caller, r.BodyBytes, deadline); status != 0 {
		plan.Refusal = &statusapi.PlannedRefusal{Status: status, Reason: reason}
		return plan
	}
	from := 0.0
	for _, part := range m.Parts {
		plan.Targets = append(plan.Targets, g.planTarget(now, rnd, p, m, part.Service, part.UpTo-from))
		from = part.UpTo
	}
	if len(m.Parts) == 0 {
		plan.Targets = append(plan.Targets, g.planTarget(now, rnd, p, m, m.Target, 1))
	}
	return plan
}

// planTarget returns where a request would go among the servers of one service.
func (g *Ingress) planTarget(now time.Time, rnd rand.Source, p placement, m *mesh.Match, target *mesh.Service, share float64) statusapi.PlannedTarget {
	planned := statusapi.PlannedTarget{Service: target.Name, Share: share, Configured: string(p.router.policyName)}
	planned.Policy = planned.Configured
	table := g.Router.Table(target.Name)
	if table == nil {
		planned.Refusal = g.plannedRefusal(errNoServer, 0)
		return planned
	}
	if p.router.Work != nil && !p.delay.Applies(table) {
		planned.Policy = string(settings.PolicyP2C)
	}
	planShares(now, rnd, &p, table.Preview(), &planned)
	for range planDraws {
		call := retry.NewCall(&g.Router.Retry, m.Route, g.Router.previewBudget(target.Name), p.deadline)
		planned.Attempts, planned.Refusal = g.planAttempts(now, rnd, p, call, table.Preview())
		// A probe among requests that are nearly all refused would not be typical.
		if refused := len(planned.Attempts) == 0; refused == (planned.RefusedShare > 0.5) {
			break
		}
	}
	return planned
}

// planAttempts returns the attempts of a call of which each is refused for overload, and what its caller gets.
func (g *Ingress) planAttempts(now time.Time, rnd rand.Source, p placement, call retry.Call, t *routing.Table) ([]statusapi.PlannedAttempt, statusapi.PlannedRefusal) {
	var attempts []statusapi.PlannedAttempt
	for {
		if late := p.lateness(now, rnd, t); late.Refuse {
			return attempts, g.plannedRefusal(errNoSlotInTime, late.RetryAfter)
		}
		picked := p.choose(now, rnd, p.policy(), t)
		if picked.Endpoint == nil {
			return attempts, g.plannedRefusal(errNoServer, picked.Wait)
		}
		attempts = append(attempts, statusapi.PlannedAttempt{VM: picked.Endpoint.VM, Domain: picked.Endpoint.Domain})
		decision := call.Next(now, retry.Outcome{Verdict: verdict.NotRun}, rnd)
		if !decision.Retry() {
			refusal := g.plannedRefusal(errNoServer, 0)
			refusal.Reason = "the last server refused; no retry: " + decision.Reason.String()
			return attempts, refusal
		}
		p.tried = append(p.tried, picked.Endpoint)
		now = now.Add(decision.Wait)
	}
}

// plannedRefusal returns the refusal of a request that has not run.
func (g *Ingress) plannedRefusal(err error, retryAfter time.Duration) statusapi.PlannedRefusal {
	r := statusapi.PlannedRefusal{Status: fasthttp.StatusServiceUnavailable, Reason: err.Error()}
	if retryAfter > 0 {
		r.RetryAfter = g.formatRetryAfter(retryAfter)
	}
	return r
}

// planShares draws first choices and sets their shares in planned.
func planShares(now time.Time, rnd rand.Source, p *placement, t *routing.Table, planned *statusapi.PlannedTarget) {
	counts := make(map[string]int)
	for range planDraws {
		if p.lateness(now, rnd, t).Refuse {
			continue
		}
		if picked := p.choose(now, rnd, p.policy(), t); picked.Endpoint != nil {
			counts[picked.Endpoint.VM]++
		}
	}
	planned.Draws = planDraws
	refused := planDraws
	for vm, n := range counts {
		planned.Shares = append(planned.Shares, statusapi.ServerShare{VM: vm, Share: float64(n) / planDraws})
		refused -= n
	}
	planned.RefusedShare = float64(refused) / planDraws
	slices.SortFunc(planned.Shares, func(a, b statusapi.ServerShare) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), strings.Compare(a.VM, b.VM))
	})
}
