package ingress

import "expvar"

// metrics holds the counters of all ingress listeners of this process. They are published
// under the key "calls" of /debug/vars.
var metrics = newCallMetrics()

// callMetrics holds the counters; newCallMetrics assigns their published names.
type callMetrics struct {
	// answered, notRun, mayHaveRun and failedAfterRun count calls by their result. notRun
	// includes requests that were refused without an attempt.
	answered, notRun, mayHaveRun, failedAfterRun expvar.Int
	// attempts counts all attempts; retries counts those after the first one of a call.
	attempts, retries expvar.Int
	// budgetExhausted counts calls that were not retried because the retry budget was
	// exhausted.
	budgetExhausted expvar.Int
	// mismatched counts responses that belonged to another request and were dropped.
	mismatched expvar.Int
	// truncated counts responses that ended before their body was complete.
	truncated expvar.Int
	// unresponsive counts sessions that were retired because a probe got no ack.
	unresponsive expvar.Int
	// ejected counts servers ejected as outliers. ejectionsSkipped counts outliers that were
	// not ejected because too many other servers already were.
	ejected, ejectionsSkipped expvar.Int
	// callerDisconnected counts callers that disconnected before their response.
	callerDisconnected expvar.Int
	// quarantined counts calls that were ended because servers crashed each time they ran
	// the request.
	quarantined expvar.Int
	// evacuated counts attempts that were refused because the failure domain of the server is evacuated,
	// and followed by another one.
	evacuated expvar.Int
	// otherDomain counts attempts at servers of other failure domains, while the work of requests is
	// learned.
	otherDomain expvar.Int
	// shed counts calls that were refused because no server would start them in time.
	shed expvar.Int
	// bodiesAsked counts attempts that asked before sending the body, bodiesRefused those of them that
	// sent none because the server's node refused.
	bodiesAsked, bodiesRefused expvar.Int
}

// newCallMetrics returns counters that are registered with expvar.
func newCallMetrics() *callMetrics {
	m := &callMetrics{}
	vars := expvar.NewMap("calls")
	vars.Set("answered", &m.answered)
	vars.Set("not_run", &m.notRun)
	vars.Set("may_have_run", &m.mayHaveRun)
	vars.Set("failed_after_run", &m.failedAfterRun)
	vars.Set("attempts", &m.attempts)
	vars.Set("retries", &m.retries)
	vars.Set("budget_spent", &m.budgetExhausted)
	vars.Set("crossed_answers", &m.mismatched)
	vars.Set("broken_answers", &m.truncated)
	vars.Set("silent_sessions", &m.unresponsive)
	vars.Set("ejected", &m.ejected)
	vars.Set("ejections_spared", &m.ejectionsSkipped)
	vars.Set("caller_gone", &m.callerDisconnected)
	vars.Set("quarantined", &m.quarantined)
	vars.Set("evacuated", &m.evacuated)
	vars.Set("attempts_other_domain", &m.otherDomain)
	vars.Set("shed", &m.shed)
	vars.Set("bodies_asked", &m.bodiesAsked)
	vars.Set("bodies_refused", &m.bodiesRefused)
	return m
}
