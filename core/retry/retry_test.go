package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/verdict"
)

var start = time.Unix(1_800_000_000, 0)

func drawOutcome(t *rapid.T) retry.Outcome {
	v := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
	o := retry.Outcome{Verdict: v}
	if v == verdict.Ran {
		o.Status = rapid.SampledFrom([]int{200, 404, 500, 503}).Draw(t, "status")
	}
	return o
}

// TestNonIdempotentReachesOneServer guards against a request that is not idempotent being
// retried after an attempt that may have run.
func TestNonIdempotentReachesOneServer(t *testing.T) {
	cfg := retry.DefaultConfig()
	rapid.Check(t, func(rt *rapid.T) {
		route := &mesh.Route{Retry: mesh.Retry{Attempts: rapid.IntRange(1, 20).Draw(rt, "attempts")}}
		if rapid.Bool().Draw(rt, "statuses") {
			route.Retry.Statuses = []int{500, 503}
		}
		budget := retry.NewBudget(start, retry.BudgetConfig{Ratio: 1, PerSecond: 1e6, Burst: 100})
		call := retry.NewCall(&cfg, route, budget, start.Add(time.Hour))
		reached := 0
		for {
			o := drawOutcome(rt)
			if o.Verdict != verdict.NotRun {
				reached++
			}
			if !call.Next(start, o, rand.NewPCG(1, 1)).Retry() {
				break
			}
		}
		if reached > 1 {
			rt.Fatalf("%d attempts of a non-idempotent request may have run, want at most 1", reached)
		}
		if call.Attempts() > route.Retry.Attempts {
			rt.Fatalf("call made %d attempts, limit is %d", call.Attempts(), route.Retry.Attempts)
		}
		if (call.Verdict() == verdict.NotRun) != (reached == 0) {
			rt.Fatalf("call verdict is %s, but %d attempts may have run", call.Verdict(), reached)
		}
	})
}

// TestRetriesStayWithinBudget guards against retries that multiply the load on a failing
// service beyond its retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	cfg := retry.DefaultConfig()
	rapid.Check(t, func(rt *rapid.T) {
		limits := retry.BudgetConfig{
			Ratio:     rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "ratio"),
			PerSecond: rapid.SampledFrom([]float64{0, 1, 7}).Draw(rt, "per second"),
			Burst:     rapid.IntRange(0, 10).Draw(rt, "burst"),
		}
		budget := retry.NewBudget(start, limits)
		route := &mesh.Route{Idempotent: true, Retry: mesh.Retry{Attempts: 4, Statuses: []int{503}}}
		now := start
		calls, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(rt, "calls") {
			calls++
			call := retry.NewCall(&cfg, route, budget, now.Add(time.Minute))
			for call.Next(now, drawOutcome(rt), rand.NewPCG(1, 1)).Retry() {
				retries++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
		}
		limit := float64(limits.Burst) + limits.Ratio*float64(calls) + limits.PerSecond*now.Sub(start).Seconds()
		if float64(retries) > limit+1e-6 {
			rt.Fatalf("%d retries for %d calls, budget allows at most %.2f", retries, calls, limit)
		}
	})
}

// TestDecisions checks the decision after the first attempt for each reason that Next
// returns.
func TestDecisions(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		outcome    retry.Outcome
		remaining  time.Duration
		attempts   int
		want       retry.Reason
	}{
		{"refused non-idempotent request is retried", false, retry.Outcome{Verdict: verdict.NotRun}, time.Second, 2, retry.Allowed},
		{"non-idempotent request with unknown outcome is not retried", false, retry.Outcome{Verdict: verdict.MayHaveRun}, time.Second, 2, retry.NotIdempotent},
		{"idempotent request with unknown outcome is retried", true, retry.Outcome{Verdict: verdict.MayHaveRun}, time.Second, 2, retry.Allowed},
		{"listed status is retried", true, retry.Outcome{Verdict: verdict.Ran, Status: 503}, time.Second, 2, retry.Allowed},
		{"other status is final", true, retry.Outcome{Verdict: verdict.Ran, Status: 500}, time.Second, 2, retry.Final},
		{"successful response is final", true, retry.Outcome{Verdict: verdict.Ran, Status: 200}, time.Second, 2, retry.Final},
		{"no attempts left", true, retry.Outcome{Verdict: verdict.NotRun}, time.Second, 1, retry.NoAttempts},
		{"no time left", true, retry.Outcome{Verdict: verdict.NotRun}, 0, 2, retry.NoTime},
	}
	cfg := retry.DefaultConfig()
	Convey("The first decision depends on verdict, status and route", t, func() {
		for _, c := range cases {
			route := &mesh.Route{Idempotent: c.idempotent, Retry: mesh.Retry{Attempts: c.attempts, Statuses: []int{503}}}
			budget := retry.NewBudget(start, cfg.Budget)
			call := retry.NewCall(&cfg, route, budget, start.Add(c.remaining))
			got := call.Next(start, c.outcome, rand.NewPCG(1, 1))
			SoMsg(c.name, got.Reason, ShouldEqual, c.want)
		}
	})
	Convey("An exhausted budget allows no retry", t, func() {
		route := &mesh.Route{Idempotent: true, Retry: mesh.Retry{Attempts: 9}}
		budget := retry.NewBudget(start, retry.BudgetConfig{})
		call := retry.NewCall(&cfg, route, budget, start.Add(time.Second))
		got := call.Next(start, retry.Outcome{Verdict: verdict.NotRun}, rand.NewPCG(1, 1))
		So(got.Reason, ShouldEqual, retry.NoBudget)
	})
}
