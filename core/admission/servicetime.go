package admission

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRoutes is the maximum number of routes with their own estimator. Samples of
	// further routes go to the overall estimator.
	maxRoutes = 256
	// initialSamples is the number of samples during which an estimator moves in steps of
	// initialStep.
	initialSamples = 16
	// initialStep and steadyStep are the relative changes of the estimated median per
	// sample.
	initialStep = 0.2
	steadyStep  = 0.05
	// meanStep is the weight of a sample in the mean after the initial samples.
	meanStep = 0.02
	// baselineRise is the relative increase of the baseline, applied at most once per
	// baselineInterval, and its relative decrease per sample.
	baselineRise     = 0.002
	baselineInterval = 100 * time.Millisecond
	// minCost is the minimum charge to a flow, in nanoseconds. It applies to a route without
	// samples or with a very short service time.
	minCost = float64(time.Millisecond)
)

// estimator estimates the median service time of one route. A concurrent update may
// overwrite another one; losing a sample does not noticeably affect the estimate.
type estimator struct {
	// median is the estimated median in nanoseconds, 0 before the first sample.
	median atomic.Int64
	// baseline is the estimated service time while the server is not slowed down, in
	// nanoseconds.
	baseline atomic.Int64
	// mean is the exponentially weighted mean in nanoseconds, 0 before the first sample. It
	// exceeds the median if a few requests take much longer than the others.
	mean    atomic.Int64
	samples atomic.Int64
	// class is the rankClass of the latest request, and running the number of requests in
	// slots. Both are used under OrderUrgency only.
	class, running atomic.Int32
	// The fields below belong to urgencyQueue and require Limiter.mu. credit is the slot time
	// that the route is owed, in nanoseconds; mark and ahead count its work in a pass over the
	// queue.
	credit float64
	mark   uint64
	ahead  float64
	// lastSample and lastRise are nanoseconds since the limiter was created.
	lastSample atomic.Int64
	lastRise   atomic.Int64
}

// serviceTimes estimates service times by route. Reading an estimate takes no lock.
type serviceTimes struct {
	cfg     Config
	origin  time.Time
	overall estimator
	byRoute atomic.Pointer[map[string]*estimator]
	mu      sync.Mutex
}

func newServiceTimes(cfg Config, now time.Time) *serviceTimes {
	t := &serviceTimes{cfg: cfg, origin: now}
	t.byRoute.Store(&map[string]*estimator{})
	return t
}

// median returns the estimated median service time of a route, or 0 if there is no sample.
func (t *serviceTimes) median(route string) time.Duration {
	if s := (*t.byRoute.Load())[route]; s != nil {
		return time.Duration(s.median.Load())
	}
	return 0
}

// overallMedian returns the estimated median service time over all routes.
func (t *serviceTimes) overallMedian() time.Duration {
	return time.Duration(t.overall.median.Load())
}

// work returns the expected service time of the route. Without a sample, it is that of all routes.
func (s *estimator) work(times *serviceTimes) time.Duration {
	if mean := s.mean.Load(); mean > 0 {
		return time.Duration(mean)
	}
	return times.overallMean()
}

// overallMean returns the mean service time over all routes.
func (t *serviceTimes) overallMean() time.Duration {
	return time.Duration(t.overall.mean.Load())
}

// cost returns the service time of a route that is charged to a flow, in nanoseconds.
func (t *serviceTimes) cost(route string) float64 {
	return max(float64(t.median(route)), minCost)
}

// wouldMissDeadline reports whether the estimated service time exceeds the remaining time
// of req. If its route had no sample for ProbeInterval, one request is admitted despite
// the estimate, to correct it.
func (t *serviceTimes) wouldMissDeadline(now time.Time, req Request) bool {
	remaining := req.Deadline.Sub(now)
	if remaining <= 0 {
		return true
	}
	s := (*t.byRoute.Load())[req.Route]
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

// record adds a sample and reports whether it is slow for its route.
func (t *serviceTimes) record(now time.Time, res Result) bool {
	at := now.Sub(t.origin)
	t.overall.record(at, res.ServiceTime)
	s := t.estimatorFor(res.Route)
	slow := s.samples.Load() >= initialSamples &&
		float64(res.ServiceTime) > t.cfg.SlowRatio*float64(s.baseline.Load())
	s.record(at, res.ServiceTime)
	return slow
}

// estimatorFor returns the estimator of a route. It creates one if there are fewer than
// maxRoutes, and otherwise returns the overall estimator.
func (t *serviceTimes) estimatorFor(route string) *estimator {
	if s := (*t.byRoute.Load())[route]; s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.byRoute.Load()
	if s := old[route]; s != nil {
		return s
	}
	if len(old) >= maxRoutes {
		return &t.overall
	}
	s := &estimator{}
	next := maps.Clone(old)
	next[route] = s
	t.byRoute.Store(&next)
	return s
}

func (s *estimator) record(at, sample time.Duration) {
	s.lastSample.Store(int64(at))
	n := s.samples.Add(1)
	if n == 1 {
		s.mean.Store(int64(sample))
		s.median.Store(int64(sample))
		s.baseline.Store(int64(sample))
		return
	}
	mean := s.mean.Load()
	s.mean.Store(mean + int64(max(meanStep, 1/float64(n))*float64(int64(sample)-mean)))
	move := steadyStep
	if n <= initialSamples {
		move = initialStep
	}
	s.median.Store(moveToward(s.median.Load(), sample, move, move))
	s.updateBaseline(at, sample, n)
}

// updateBaseline sets the baseline to the median during the initial samples. After that
// the baseline rises by baselineRise at most once per baselineInterval, and falls by up to
// baselineRise with each lower sample.
func (s *estimator) updateBaseline(at, sample time.Duration, n int64) {
	if n <= initialSamples {
		s.baseline.Store(s.median.Load())
		return
	}
	rise := 0.0
	if at-time.Duration(s.lastRise.Load()) >= baselineInterval {
		s.lastRise.Store(int64(at))
		rise = baselineRise
	}
	s.baseline.Store(moveToward(s.baseline.Load(), sample, rise, baselineRise))
}

// moveToward moves an estimate toward the sample by the fraction up or down of itself,
// without passing the sample.
func moveToward(estimate int64, sample time.Duration, up, down float64) int64 {
	switch {
	case int64(sample) > estimate:
		return min(int64(float64(estimate)*(1+up))+1, int64(sample))
	case int64(sample) < estimate:
		return max(int64(float64(estimate)*(1-down)), int64(sample), 1)
	default:
		return estimate
	}
}
