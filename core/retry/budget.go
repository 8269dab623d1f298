package retry

import (
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
)

// milli is the number of budget units in one retry.
const milli = 1000

// Budget bounds the retries of the calls to one service: a share of its traffic,
// and a small number a second so that a quiet service can retry at all. It may be
// used by many goroutines at once.
type Budget struct {
	cfg      atomic.Pointer[BudgetConfig]
	tokens   atomic.Int64 // in thousandths of a retry
	refilled atomic.Int64 // unix nanoseconds up to which PerSecond is credited
}

// BudgetConfig holds the limits of a Budget.
type BudgetConfig struct {
	// Ratio is the share of calls that may be retried. Higher rides out more
	// failures, and adds more load to servers that are failing already.
	Ratio float64
	// PerSecond is the number of retries a second that need no traffic.
	PerSecond float64
	// Burst is the number of retries that can be saved up.
	Burst int
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	b := &Budget{}
	b.cfg.Store(&cfg)
	b.tokens.Store(int64(cfg.Burst) * milli)
	b.refilled.Store(steady.Nanos(now))
	return b
}

// SetConfig replaces the limits; what is saved up stays.
func (b *Budget) SetConfig(cfg BudgetConfig) {
	b.cfg.Store(&cfg)
}

// Deposit credits one call's first attempt.
func (b *Budget) Deposit() {
	b.credit(int64(b.cfg.Load().Ratio * milli))
}

// Withdraw takes one retry from the budget, or returns false if it is spent.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	for {
		old := b.tokens.Load()
		if old < milli {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-milli) {
			return true
		}
	}
}

// refill credits the retries that need no traffic. One of several goroutines that
// meet here credits the elapsed time.
func (b *Budget) refill(now time.Time) {
	last := b.refilled.Load()
	elapsed := time.Duration(steady.Nanos(now) - last)
	amount := int64(elapsed.Seconds() * b.cfg.Load().PerSecond * milli)
	if amount > 0 && b.refilled.CompareAndSwap(last, steady.Nanos(now)) {
		b.credit(amount)
	}
}

func (b *Budget) credit(amount int64) {
	limit := int64(b.cfg.Load().Burst) * milli
	for {
		old := b.tokens.Load()
		if old >= limit || b.tokens.CompareAndSwap(old, min(limit, old+amount)) {
			return
		}
	}
}
