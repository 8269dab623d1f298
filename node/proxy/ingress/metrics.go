package ingress

import "expvar"

// metrics counts what the ingress of this process did, under the key "calls" of
// /debug/vars.
var metrics = newCallMetrics()

type callMetrics struct {
	// answered, notRun, mayHaveRun and failedAfterRun count calls by their end.
	answered, notRun, mayHaveRun, failedAfterRun expvar.Int
	// attempts and retries count attempts; retries leaves out first ones.
	attempts, retries expvar.Int
	// budgetSpent counts calls without another attempt for want of budget.
	budgetSpent expvar.Int
	// crossed counts answers to another request, which were dropped.
	crossed expvar.Int
	// broken counts answers that ended before they were whole.
	broken expvar.Int
	// silent counts sessions that were retired because a probe got no answer.
	silent expvar.Int
	// ejected and spared count outliers.
	ejected, spared expvar.Int
	// callerGone counts callers that left before their answer.
	callerGone expvar.Int
}

func newCallMetrics() *callMetrics {
	m := &callMetrics{}
	vars := expvar.NewMap("calls")
	vars.Set("answered", &m.answered)
	vars.Set("not_run", &m.notRun)
	vars.Set("may_have_run", &m.mayHaveRun)
	vars.Set("failed_after_run", &m.failedAfterRun)
	vars.Set("attempts", &m.attempts)
	vars.Set("retries", &m.retries)
	vars.Set("budget_spent", &m.budgetSpent)
	vars.Set("crossed_answers", &m.crossed)
	vars.Set("broken_answers", &m.broken)
	vars.Set("silent_sessions", &m.silent)
	vars.Set("ejected", &m.ejected)
	vars.Set("ejections_spared", &m.spared)
	vars.Set("caller_gone", &m.callerGone)
	return m
}
