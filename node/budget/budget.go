// Package budget bounds what a node holds at a time, such as the bytes of request bodies, without
// a lock.
package budget

import (
	"expvar"
	"strconv"
	"sync/atomic"
)

// published holds, for each named budget of this process, its limit, the units in use and the number
// of refusals, under the key "budgets" of /debug/vars.
var published = expvar.NewMap("budgets")

// Budget is a number of units of which at most limit are in use at a time. Create it with New. The nil
// Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
}

// New returns a budget of limit units that is published under name. A later one of the same name takes
// its place there.
func New(name string, limit int64) *Budget {
	b := &Budget{limit: limit}
	published.Set(name+"_limit", gauge(func() int64 { return limit }))
	published.Set(name+"_used", gauge(b.used.Load))
	published.Set(name+"_refused", gauge(b.refused.Load))
	return b
}

// Reserve takes n units, or none and returns false if fewer are left.
func (b *Budget) Reserve(n int64) bool { return b.ReserveAbove(n, 0) }

// ReserveAbove takes n units if at least kept are left then, or if no others are in use; or it takes none
// and returns false.
func (b *Budget) ReserveAbove(n, kept int64) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if left := b.limit - used - n; left < 0 || left < kept && used > 0 {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Limit returns the number of units that may be in use, 0 for no limit.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Release gives back n units that were reserved.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the units in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// gauge is an expvar.Var whose value is read when it is asked for.
type gauge func() int64

// String implements expvar.Var.
func (g gauge) String() string { return strconv.FormatInt(g(), 10) }
