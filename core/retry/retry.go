// Package retry decides whether a call may be retried.
//
// The decision depends on the verdicts of the attempts so far and on the retry
// configuration of the route. A request that is not idempotent is retried only if no
// attempt may have run.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/verdict"
)

// Config holds the limits that apply to all routes.
type Config struct {
	// Budget holds the limits of the retry budget of each service.
	Budget BudgetConfig
	// BaseBackoff is the upper bound of the backoff before the second attempt. It doubles
	// with each further attempt. The backoff is drawn uniformly between 0 and the bound.
	BaseBackoff time.Duration
	// MaxBackoff limits the upper bound of the backoff before any attempt.
	MaxBackoff time.Duration
	// MinRemaining is the minimum time left before the deadline to start another attempt.
	MinRemaining time.Duration
	// MaxTransparentRetries is the maximum number of transparent retries of a call: attempts
	// after refusals by nodes, which do not count as retries because no backend server
	// received the request. A higher number is more likely to find the last server with a
	// free slot, but costs messages when all servers are busy.
	MaxTransparentRetries int
}

// DefaultConfig returns the limits used in production, without transparent retries.
func DefaultConfig() Config {
	return Config{
		Budget:       BudgetConfig{Ratio: 0.1, PerSecond: 1, Burst: 10},
		BaseBackoff:  5 * time.Millisecond,
		MaxBackoff:   100 * time.Millisecond,
		MinRemaining: time.Millisecond,
	}
}

// Outcome is the result of one attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Status is the HTTP status of the response if the verdict is Ran.
	Status int
	// Final means that another attempt could not succeed.
	Final bool
	// Reached means that a backend server received the request, even if it refused it.
	Reached bool
}

// Reason is the reason why a call is not retried.
type Reason uint8

const (
	// Allowed means that another attempt may be made.
	Allowed Reason = iota
	// Final means that the outcome is returned to the caller.
	Final
	// NotIdempotent means that the request may have run and is not idempotent.
	NotIdempotent
	// NoAttempts means that the maximum number of attempts of the route is reached.
	NoAttempts
	// NoTime means that too little time is left before the deadline.
	NoTime
	// NoBudget means that the retry budget of the service is exhausted.
	NoBudget
	// NoServer means that no other server is available for the call. Call.Next does not
	// return it; the ingress sets it.
	NoServer
	// Quarantined means that servers crashed each time they ran the request. Call.Next does
	// not return it; the ingress sets it.
	Quarantined
)

// String returns the name used in logs, metrics and spans.
func (r Reason) String() string {
	names := [...]string{"allowed", "final", "not-idempotent", "no-attempts", "no-time", "no-budget", "no-server", "quarantined"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Decision is the decision on another attempt. Wait is the backoff before it.
type Decision struct {
	Reason Reason
	Wait   time.Duration
}

// Retry reports whether another attempt may be made.
func (d Decision) Retry() bool {
	return d.Reason == Allowed
}

// Call tracks the attempts of one call. It is not safe for concurrent use.
type Call struct {
	cfg                *Config
	route              *mesh.Route
	budget             *Budget
	deadline           time.Time
	attempts           int
	transparentRetries int
	verdict            verdict.Verdict
	// reserved is set if the budget of the next retry was withdrawn already.
	reserved bool
}

// NewCall returns the state of a call that must end by deadline, and credits the budget for
// its first attempt.
func NewCall(cfg *Config, route *mesh.Route, budget *Budget, deadline time.Time) Call {
	budget.Deposit()
	return Call{cfg: cfg, route: route, budget: budget, deadline: deadline, verdict: verdict.NotRun}
}

// Remaining returns the time left until the deadline, which may be negative.
func (c *Call) Remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}

// Attempts returns the number of completed attempts, without those that were followed by a
// transparent retry.
func (c *Call) Attempts() int {
	return c.attempts
}

// Verdict returns the verdict on the whole call: NotRun only if it is the verdict on every
// attempt.
func (c *Call) Verdict() verdict.Verdict {
	return c.verdict
}

// Next records the outcome of an attempt and decides whether to make another one. If it
// allows a retry that is not transparent, it has withdrawn it from the budget.
func (c *Call) Next(now time.Time, o Outcome, rnd rand.Source) Decision {
	if c.retryTransparently(now, o) {
		return Decision{Reason: Allowed}
	}
	c.attempts++
	c.verdict = combine(c.verdict, o.Verdict)
	if reason := c.checkOutcome(o); reason != Allowed {
		return Decision{Reason: reason}
	}
	if c.attempts >= c.route.Retry.Attempts {
		return Decision{Reason: NoAttempts}
	}
	wait := c.backoff(rnd)
	if c.Remaining(now)-wait < c.cfg.MinRemaining {
		return Decision{Reason: NoTime}
	}
	if !c.reserved && !c.budget.Withdraw(now) {
		return Decision{Reason: NoBudget}
	}
	c.reserved = false
	return Decision{Reason: Allowed, Wait: wait}
}

// Reserve reports whether the call may be retried if the attempt in progress, of which it is not
// known whether it ran, is given up now. It withdraws the retry from the budget.
func (c *Call) Reserve(now time.Time) bool {
	if !c.route.Idempotent || c.attempts+1 >= c.route.Retry.Attempts || c.Remaining(now) < c.cfg.MaxBackoff+c.cfg.MinRemaining {
		return false
	}
	c.reserved = c.reserved || c.budget.Withdraw(now)
	return c.reserved
}

// retryTransparently reports whether the call may be sent to another server without counting
// as a retry, because no backend server received the request. It counts the transparent
// retry.
func (c *Call) retryTransparently(now time.Time, o Outcome) bool {
	if o.Verdict != verdict.NotRun || o.Reached || o.Final || c.transparentRetries >= c.cfg.MaxTransparentRetries {
		return false
	}
	c.transparentRetries++
	return c.Remaining(now) >= c.cfg.MinRemaining
}

// checkOutcome applies the rules that do not depend on time, attempts or budget.
func (c *Call) checkOutcome(o Outcome) Reason {
	switch {
	case o.Final:
		return Final
	case o.Verdict == verdict.Ran && !slices.Contains(c.route.Retry.Statuses, o.Status):
		return Final
	case c.verdict != verdict.NotRun && !c.route.Idempotent:
		return NotIdempotent
	default:
		return Allowed
	}
}

// backoff returns a random wait before the next attempt (exponential backoff with full
// jitter).
func (c *Call) backoff(rnd rand.Source) time.Duration {
	limit := c.cfg.BaseBackoff << min(c.attempts-1, maxDoublings)
	limit = min(limit, c.cfg.MaxBackoff)
	if limit <= 0 {
		return 0
	}
	return time.Duration(rnd.Uint64() % uint64(limit))
}

// maxDoublings prevents an overflow of the exponential backoff.
const maxDoublings = 16

// combine returns the verdict on two attempts together. Ran takes precedence over
// MayHaveRun, and MayHaveRun over NotRun. Ran combined with MayHaveRun leaves open whether
// the other attempt ran as well.
func combine(a, b verdict.Verdict) verdict.Verdict {
	switch {
	case a == b:
		return a
	case a == verdict.NotRun:
		return b
	case b == verdict.NotRun:
		return a
	default:
		return verdict.Ran
	}
}
