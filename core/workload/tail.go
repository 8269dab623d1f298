package workload

import (
	"sync/atomic"
	"time"
)

// tailBounds are the lower bounds of the classes of service times, as multiples of the expected work.
var tailBounds = [...]float64{0, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4, 6, 8, 12}

// tailPrior are the counts before the first sample: most requests take about as long as expected, a few
// several times that.
var tailPrior = [len(tailBounds)]uint64{0, 2, 8, 16, 16, 8, 4, 2, 1, 1, 1, 0, 0}

const (
	// tailRefresh is the number of samples between two computations of the rests.
	tailRefresh = 32
	// tailWindow is the number of samples at which all counts are halved, so that old ones fade.
	tailWindow = 2048
	// openBound is the upper bound that is assumed for the last class.
	openBound = 20
	// overrunShare is the rest, as a share of the time so far, of a request that has run longer than
	// every sample.
	overrunShare = 0.5
	// restUnit is the unit in which rests are stored, as a share of the expected work.
	restUnit = 1.0 / 4096
)

// Tail learns how service times spread around the expected work, over all requests of a server. Create
// it with NewTail.
type Tail struct {
	counts  [len(tailBounds)]atomic.Uint64
	samples atomic.Uint64
	// rests holds the expected rest at each bound, in restUnit.
	rests [len(tailBounds)]atomic.Uint32
}

// NewTail returns a tail without samples.
func NewTail() *Tail {
	t := &Tail{}
	for i, n := range tailPrior {
		t.counts[i].Store(n)
	}
	t.refresh()
	return t
}

// Record adds a service time as a multiple of the expected work.
func (t *Tail) Record(ratio float64) {
	t.counts[classOf(ratio)].Add(1)
	n := t.samples.Add(1)
	if n%tailWindow == 0 {
		for i := range t.counts {
			t.counts[i].Store(t.counts[i].Load() / 2)
		}
	}
	if n%tailRefresh == 0 {
		t.refresh()
	}
}

// classOf returns the last class whose bound is at most ratio.
func classOf(ratio float64) int {
	i := 0
	for i+1 < len(tailBounds) && ratio >= tailBounds[i+1] {
		i++
	}
	return i
}

// refresh computes the expected rest at each bound.
func (t *Tail) refresh() {
	var count, sum float64 // of the classes from i on
	for i := len(tailBounds) - 1; i >= 0; i-- {
		upper := float64(openBound)
		if i+1 < len(tailBounds) {
			upper = tailBounds[i+1]
		}
		n := float64(t.counts[i].Load())
		count += n
		sum += n * (tailBounds[i] + upper) / 2
		rest := tailBounds[i] * overrunShare
		if count > 0 {
			rest = sum/count - tailBounds[i]
		}
		t.rests[i].Store(uint32(rest / restUnit))
	}
}

// Rest returns the expected rest of a request that has run for ratio times its expected work, as a
// multiple of that work.
func (t *Tail) Rest(ratio float64) float64 {
	i := classOf(ratio)
	rest := float64(t.rests[i].Load()) * restUnit
	if i+1 == len(tailBounds) {
		return max(rest, ratio*overrunShare)
	}
	next := float64(t.rests[i+1].Load()) * restUnit
	return rest + (next-rest)*(ratio-tailBounds[i])/(tailBounds[i+1]-tailBounds[i])
}

// maxTracked is the maximum number of running requests whose time so far is taken into account. Further
// ones count with their whole expected work.
const maxTracked = 64

// Outstanding sums the expected rest of the requests that a server has accepted. The zero value is
// empty.
type Outstanding struct {
	// whole is the expected work of the requests that count in full, in nanoseconds.
	whole atomic.Int64
	// used is the number of leading entries of running that have been used.
	used    atomic.Int32
	running [maxTracked]runningEntry
}

// runningEntry is one running request. expected is 0 if the entry is free.
type runningEntry struct {
	expected atomic.Int64
	since    atomic.Int64
}

// Slot identifies a running request within Outstanding. The zero value identifies none.
type Slot struct{ entry *runningEntry }

// AddWaiting adds a request that waits for a slot.
func (o *Outstanding) AddWaiting(expected time.Duration) { o.whole.Add(int64(expected)) }

// RemoveWaiting removes a request that was added by AddWaiting.
func (o *Outstanding) RemoveWaiting(expected time.Duration) { o.whole.Add(-int64(expected)) }

// Begin adds a request that starts to run. The caller must call End with the result.
func (o *Outstanding) Begin(at int64, expected time.Duration) Slot {
	stored := max(1, int64(expected))
	for i := range o.running {
		r := &o.running[i]
		if r.expected.Load() != 0 || !r.expected.CompareAndSwap(0, stored) {
			continue
		}
		r.since.Store(at)
		for n := o.used.Load(); int(n) <= i && !o.used.CompareAndSwap(n, int32(i+1)); n = o.used.Load() {
		}
		return Slot{entry: r}
	}
	o.whole.Add(int64(expected))
	return Slot{}
}

// End removes a request that was added by Begin with the same expected work.
func (o *Outstanding) End(s Slot, expected time.Duration) {
	if s.entry == nil {
		o.whole.Add(-int64(expected))
		return
	}
	s.entry.since.Store(0)
	s.entry.expected.Store(0)
}

// Rest returns the expected rest of all requests, at a server that takes slowdown times as long as
// usual.
func (o *Outstanding) Rest(at int64, slowdown float64, t *Tail) time.Duration {
	rest := float64(o.whole.Load())
	for i := range o.running[:o.used.Load()] {
		r := &o.running[i]
		expected := float64(r.expected.Load())
		if expected == 0 {
			continue
		}
		var done float64
		if since := r.since.Load(); since != 0 {
			done = float64(max(0, at-since)) / slowdown
		}
		rest += expected * t.Rest(done/expected)
	}
	return time.Duration(max(0, rest))
}
