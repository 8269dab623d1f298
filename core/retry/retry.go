// Package retry decides whether another attempt of a call may be made.
//
// The decision follows from the verdict on the attempts so far and from what the
// team answered for the route. A request that is not idempotent is sent again only
// if no attempt may have run.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/verdict"
)

// Config holds the limits that are the same for all routes.
type Config struct {
	Budget BudgetConfig
	// BaseBackoff is the longest wait before the second attempt; each further
	// attempt doubles it. The wait is drawn between 0 and that.
	BaseBackoff time.Duration
	// MaxBackoff bounds the wait before any attempt.
	MaxBackoff time.Duration
	// MinRemaining is the time to the deadline below which no attempt is started.
	MinRemaining time.Duration
	// FreeMoves is the number of attempts of a call that may follow refusals by nodes
	// without counting as retries: no server received the request. More finds the last
	// free server, and costs messages when all are busy.
	FreeMoves int
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		Budget:       BudgetConfig{Ratio: 0.1, PerSecond: 1, Burst: 10},
		BaseBackoff:  5 * time.Millisecond,
		MaxBackoff:   100 * time.Millisecond,
		MinRemaining: time.Millisecond,
	}
}

// Outcome is the end of one attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Status is the server's HTTP status if the request ran.
	Status int
	// Final says that no other attempt could help.
	Final bool
	// Reached says that a backend server received the request, also if it refused it.
	Reached bool
}

// Reason says why a call isn't tried again.
type Reason uint8

const (
	// Allowed means that another attempt may be made.
	Allowed Reason = iota
	// Final means that the outcome is the caller's answer.
	Final
	// NotIdempotent means that the request may have run and must not run twice.
	NotIdempotent
	// NoAttempts means that the route's attempts are used up.
	NoAttempts
	// NoTime means that the deadline is too near.
	NoTime
	// NoBudget means that the service's retry budget is spent.
	NoBudget
	// NoServer means that no other server may be asked.
	NoServer
)

// String returns the name used in logs, metrics and spans.
func (r Reason) String() string {
	names := [...]string{"allowed", "final", "not-idempotent", "no-attempts", "no-time", "no-budget", "no-server"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Decision says whether to make another attempt, and after which wait.
type Decision struct {
	Reason Reason
	Wait   time.Duration
}

// Retry reports whether another attempt may be made.
func (d Decision) Retry() bool {
	return d.Reason == Allowed
}

// Call follows the attempts of one call. It belongs to one goroutine.
type Call struct {
	cfg      *Config
	route    *mesh.Route
	budget   *Budget
	deadline time.Time
	attempts int
	moves    int
	verdict  verdict.Verdict
}

// NewCall starts a call that must end by deadline, and credits the budget with it.
func NewCall(cfg *Config, route *mesh.Route, budget *Budget, deadline time.Time) Call {
	budget.Deposit()
	return Call{cfg: cfg, route: route, budget: budget, deadline: deadline, verdict: verdict.NotRun}
}

// Remaining returns the time left until the deadline; it may be negative.
func (c *Call) Remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}

// Attempts returns the number of attempts that ended.
func (c *Call) Attempts() int {
	return c.attempts
}

// Verdict returns the verdict on the whole call: NotRun only if that holds for
// each attempt.
func (c *Call) Verdict() verdict.Verdict {
	return c.verdict
}

// Next records the outcome of an attempt and decides on another one. Withdrawing
// from the budget is part of an allowed decision.
func (c *Call) Next(now time.Time, o Outcome, rnd rand.Source) Decision {
	if c.movesOn(now, o) {
		return Decision{Reason: Allowed}
	}
	c.attempts++
	c.verdict = worst(c.verdict, o.Verdict)
	if reason := c.permitted(o); reason != Allowed {
		return Decision{Reason: reason}
	}
	if c.attempts >= c.route.Retry.Attempts {
		return Decision{Reason: NoAttempts}
	}
	wait := c.backoff(rnd)
	if c.Remaining(now)-wait < c.cfg.MinRemaining {
		return Decision{Reason: NoTime}
	}
	if !c.budget.Withdraw(now) {
		return Decision{Reason: NoBudget}
	}
	return Decision{Reason: Allowed, Wait: wait}
}

// movesOn reports whether the call goes on at another server without a retry, because
// no server received it.
func (c *Call) movesOn(now time.Time, o Outcome) bool {
	if o.Verdict != verdict.NotRun || o.Reached || o.Final || c.moves >= c.cfg.FreeMoves {
		return false
	}
	c.moves++
	return c.Remaining(now) >= c.cfg.MinRemaining
}

// permitted applies the rules that depend on the outcome alone.
func (c *Call) permitted(o Outcome) Reason {
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

// backoff draws the wait before the next attempt.
func (c *Call) backoff(rnd rand.Source) time.Duration {
	limit := c.cfg.BaseBackoff << min(c.attempts-1, maxDoublings)
	limit = min(limit, c.cfg.MaxBackoff)
	if limit <= 0 {
		return 0
	}
	return time.Duration(rnd.Uint64() % uint64(limit))
}

// maxDoublings keeps the doubled backoff far from overflow.
const maxDoublings = 16

// worst returns the verdict on two attempts together. Ran is certain knowledge
// only if the other attempt is known not to have run, or ran as well.
func worst(a, b verdict.Verdict) verdict.Verdict {
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
