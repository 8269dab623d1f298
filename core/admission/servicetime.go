package admission

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRoutes bounds the routes that are measured apart; the others share one series.
	maxRoutes = 256
	// learnSamples is the number of first samples that move an estimate in large steps.
	learnSamples = 16
	// learnStep and step are the relative moves of the median estimate per sample.
	learnStep = 0.2
	step      = 0.05
	// baselineRise is the relative rise of the baseline at most every baselineInterval.
	baselineRise     = 0.002
	baselineInterval = 100 * time.Millisecond
	// minCost is charged to a flow for a route without samples or a very short one.
	minCost = float64(time.Millisecond)
)

// series estimates the service time of one route. Concurrent updates may lose a
// sample, which does no harm to the estimate.
type series struct {
	// median is the estimated median in nanoseconds, 0 before the first sample.
	median atomic.Int64
	// baseline is the median while the server is not slowed, in nanoseconds.
	baseline atomic.Int64
	samples  atomic.Int64
	// lastSample and lastRise are nanoseconds since the limiter was created.
	lastSample atomic.Int64
	lastRise   atomic.Int64
}

// serviceTimes estimates service times by route. Readers take no lock.
type serviceTimes struct {
	cfg    Config
	origin time.Time
	all    series
	routes atomic.Pointer[map[string]*series]
	mu     sync.Mutex
}

func newServiceTimes(cfg Config, now time.Time) *serviceTimes {
	t := &serviceTimes{cfg: cfg, origin: now}
	t.routes.Store(&map[string]*series{})
	return t
}

// estimate returns the median service time of a route, or 0 if there is no sample.
func (t *serviceTimes) estimate(route string) time.Duration {
	if s := (*t.routes.Load())[route]; s != nil {
		return time.Duration(s.median.Load())
	}
	return 0
}

// typical returns the median service time over all routes.
func (t *serviceTimes) typical() time.Duration {
	return time.Duration(t.all.median.Load())
}

// cost returns the service time in nanoseconds that a flow is charged for a route.
func (t *serviceTimes) cost(route string) float64 {
	return max(float64(t.estimate(route)), minCost)
}

// tooLate reports whether req can't be done in its remaining time. When no sample came
// for ProbeInterval, one request is let through to correct the estimate.
func (t *serviceTimes) tooLate(now time.Time, req Request) bool {
	remaining := req.Deadline.Sub(now)
	if remaining <= 0 {
		return true
	}
	s := (*t.routes.Load())[req.Route]
	if s == nil || time.Duration(s.median.Load()) <= remaining {
		return false
	}
	last := s.lastSample.Load()
	at := int64(now.Sub(t.origin))
	if time.Duration(at-last) < t.cfg.ProbeInterval {
		return true
	}
	return !s.lastSample.CompareAndSwap(last, at)
}

// add takes a sample and reports whether it is slow for its route.
func (t *serviceTimes) add(now time.Time, res Result) bool {
	at := now.Sub(t.origin)
	t.all.add(at, res.ServiceTime)
	s := t.series(res.Route)
	slow := s.samples.Load() >= learnSamples &&
		float64(res.ServiceTime) > t.cfg.SlowRatio*float64(s.baseline.Load())
	s.add(at, res.ServiceTime)
	return slow
}

// series returns the series of a route and creates it if there is room.
func (t *serviceTimes) series(route string) *series {
	if s := (*t.routes.Load())[route]; s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.routes.Load()
	if s := old[route]; s != nil {
		return s
	}
	if len(old) >= maxRoutes {
		return &t.all
	}
	s := &series{}
	next := maps.Clone(old)
	next[route] = s
	t.routes.Store(&next)
	return s
}

func (s *series) add(at, sample time.Duration) {
	s.lastSample.Store(int64(at))
	n := s.samples.Add(1)
	if n == 1 {
		s.median.Store(int64(sample))
		s.baseline.Store(int64(sample))
		return
	}
	move := step
	if n <= learnSamples {
		move = learnStep
	}
	s.median.Store(moveTowards(s.median.Load(), sample, move, move))
	s.addBaseline(at, sample, n)
}

// addBaseline lets the baseline fall as quickly as the median and rise slowly.
func (s *series) addBaseline(at, sample time.Duration, n int64) {
	if n <= learnSamples {
		s.baseline.Store(s.median.Load())
		return
	}
	rise := 0.0
	if at-time.Duration(s.lastRise.Load()) >= baselineInterval {
		s.lastRise.Store(int64(at))
		rise = baselineRise
	}
	s.baseline.Store(moveTowards(s.baseline.Load(), sample, rise, baselineRise))
}

// moveTowards changes an estimate by a share of itself in the direction of the sample.
func moveTowards(estimate int64, sample time.Duration, up, down float64) int64 {
	switch {
	case int64(sample) > estimate:
		return min(int64(float64(estimate)*(1+up))+1, int64(sample))
	case int64(sample) < estimate:
		return max(int64(float64(estimate)*(1-down)), int64(sample), 1)
	default:
		return estimate
	}
}
