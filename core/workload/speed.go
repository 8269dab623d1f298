package workload

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// fastStep is the weight of a sample in the momentary slowdown, usualStep in the usual one. A larger
	// fastStep follows a change sooner, but takes single long requests for one.
	fastStep  = 1.0 / 8
	usualStep = 1.0 / 64
	// speedPrior is the number of samples that the initial value 1 counts for.
	speedPrior = 8
	// maxStepRatio limits a sample to a multiple of the momentary slowdown.
	maxStepRatio = 3
	// speedHalfLife is the age at which the momentary slowdown has returned halfway to the usual one.
	speedHalfLife = time.Second
	// minSlowdown and maxSlowdown limit the estimate.
	minSlowdown = 0.1
	maxSlowdown = 50
)

// Speed estimates how long work takes at a server compared with the usual time; 1 is usual. The zero
// value has the slowdown 1.
type Speed struct {
	// usual is the lasting ratio of this server. If the server reports its slowdown, it is the ratio
	// that the reports don't explain.
	usual atomicFloat
	// fast is the momentary ratio.
	fast       atomicFloat
	samples    atomic.Uint64
	observedAt atomic.Int64
	// reported is the slowdown that the server reported last.
	reported   atomicFloat
	reportedAt atomic.Int64
}

// atomicFloat is a float64 that reads as 1 before the first Store.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64 {
	if b := f.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return 1
}

func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

// Report sets the slowdown that the server reports about itself, in percent of the usual time.
func (s *Speed) Report(at int64, percent uint32) {
	s.reported.Store(limitSlowdown(float64(percent) / 100))
	s.reportedAt.Store(at)
}

// Observe adds the service time of a request as a multiple of its expected work.
func (s *Speed) Observe(at int64, ratio float64) {
	n := s.samples.Add(1)
	usual, current := s.usual.Load(), s.Slowdown(at)
	ratio = min(ratio, maxStepRatio*current)
	step := max(usualStep, 1/float64(n+speedPrior))
	unexplained := ratio / s.decayed(at, s.reported.Load(), s.reportedAt.Load(), 1)
	s.usual.Store(limitSlowdown(usual + (unexplained-usual)*step))
	fast := s.decayed(at, s.fast.Load(), s.observedAt.Load(), usual)
	s.fast.Store(limitSlowdown(fast + (ratio-fast)*fastStep))
	s.observedAt.Store(at)
}

// Slowdown returns the present estimate. With a report it is the report times the usual ratio, without
// one the momentary ratio.
func (s *Speed) Slowdown(at int64) float64 {
	usual := s.usual.Load()
	if s.reportedAt.Load() != 0 {
		return limitSlowdown(usual * s.decayed(at, s.reported.Load(), s.reportedAt.Load(), 1))
	}
	return s.decayed(at, s.fast.Load(), s.observedAt.Load(), usual)
}

// decayed returns value, observed at since, as it has returned to normal by at.
func (s *Speed) decayed(at int64, value float64, since int64, normal float64) float64 {
	if since == 0 {
		return normal
	}
	age := float64(max(0, at-since)) / float64(speedHalfLife)
	// 1/(1+age) halves at the half-life and costs no exponential.
	return normal + (value-normal)/(1+age)
}

// Age returns the time since the last report or sample, or false if there is none.
func (s *Speed) Age(at int64) (time.Duration, bool) {
	last := max(s.reportedAt.Load(), s.observedAt.Load())
	return time.Duration(at - last), last != 0
}

func limitSlowdown(v float64) float64 { return min(max(v, minSlowdown), maxSlowdown) }
