package retry

import (
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
)

// unitsPerRetry is the number of budget tokens that one retry costs.
const unitsPerRetry = 1000

// Budget is a token bucket that limits the retries of calls to one service: to a fraction
// of its calls, plus a small number per second so that a service with little traffic can
// retry at all. It is safe for concurrent use.
type Budget struct {
	cfg        atomic.Pointer[BudgetConfig]
	tokens     atomic.Int64 // in thousandths of a retry
	refilledAt atomic.Int64 // unix nanoseconds up to which PerSecond is credited
}

// BudgetConfig holds the limits of a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries credited per call. A higher ratio masks more
	// failures, but adds more load to servers that are already failing.
	Ratio float64
	// PerSecond is the number of retries credited per second, regardless of traffic.
	PerSecond float64
	// Burst is the maximum number of unused retries that accumulate.
	Burst int
}

// NewBudget returns a budget with Burst retries available.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	b := &Budget{}
	b.cfg.Store(&cfg)
	b.tokens.Store(int64(cfg.Burst) * unitsPerRetry)
	b.refilledAt.Store(steady.Nanos(now))
	return b
}

// SetConfig replaces the limits. The accumulated tokens are kept.
func (b *Budget) SetConfig(cfg BudgetConfig) {
	b.cfg.Store(&cfg)
}

// Clone returns a budget with the same limits and tokens that is independent of b.
func (b *Budget) Clone() *Budget {
	c := &Budget{}
	c.cfg.Store(b.cfg.Load())
	c.tokens.Store(b.tokens.Load())
	c.refilledAt.Store(b.refilledAt.Load())
	return c
}

// Deposit credits the budget for the first attempt of a call.
func (b *Budget) Deposit() {
	b.credit(int64(b.cfg.Load().Ratio * unitsPerRetry))
}

// Withdraw takes one retry from the budget, or returns false if the budget is exhausted.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	for {
		old := b.tokens.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}

// refill credits PerSecond for the time since the last refill. If several goroutines call
// it concurrently, only one of them credits the elapsed time.
func (b *Budget) refill(now time.Time) {
	last := b.refilledAt.Load()
	elapsed := time.Duration(steady.Nanos(now) - last)
	amount := int64(elapsed.Seconds() * b.cfg.Load().PerSecond * unitsPerRetry)
	if amount > 0 && b.refilledAt.CompareAndSwap(last, steady.Nanos(now)) {
		b.credit(amount)
	}
}

func (b *Budget) credit(amount int64) {
	limit := int64(b.cfg.Load().Burst) * unitsPerRetry
	for {
		old := b.tokens.Load()
		if old >= limit || b.tokens.CompareAndSwap(old, min(limit, old+amount)) {
			return
		}
	}
}
