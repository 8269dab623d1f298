// Package workload estimates how long requests occupy a backend server.
//
// An Estimator learns the expected work of a request from the service times of similar ones. A Tail
// learns how service times spread around that expectation, and thereby how much is left of a request
// that is already running. Speed estimates how a server's speed compares with the usual one, and
// Outstanding sums the work that a server has accepted.
//
// Work is service time at a server of the usual speed. All types are safe for concurrent use; reading
// them takes no lock and allocates nothing. Samples of concurrent updates may be lost, which does not
// noticeably affect an estimate. The package reads no clock: times are passed in as nanoseconds, as
// steady.Nanos returns them.
package workload

import (
	"maps"
	"math/bits"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRoutes is the maximum number of routes with their own estimate, maxCells that of the
	// combinations of a route and further features. Requests beyond them use the estimate of their
	// route, or the one over all routes. A cell takes about 200 bytes.
	maxRoutes = 256
	maxCells  = 1024
	// steadyStep is the weight of a sample once an estimate has 1/steadyStep samples.
	steadyStep = 1.0 / 64
	// maxSampleRatio limits a sample to a multiple of the estimate, so that a rare request that takes
	// many times as long does not displace the estimate of the others.
	maxSampleRatio = 4
	// priorSamples is the number of samples that the estimate of the route counts in that of a cell.
	priorSamples = 8
	// sizeStep is the number of powers of two per class of body sizes: a class spans a factor of 4.
	sizeStep = 2
)

// Request describes a request by what is visible before it runs.
type Request struct {
	Route  string
	Method string
	// Caller is the calling service or class of clients.
	Caller string
	// BodyBytes is the size of the request body.
	BodyBytes int
}

// Estimate is the expected work of a request.
type Estimate struct {
	// Work is 0 without any sample.
	Work time.Duration
	// Samples is the number of samples of the request's route, and Age the time since the last one.
	Samples uint64
	Age     time.Duration
}

// key identifies a cell. Only the route is set in the key of a route's own cell.
type key struct {
	route, method, caller string
	size                  uint8
}

// keyOf returns the key of the cell of r.
func keyOf(r Request) key {
	return key{route: r.Route, method: r.Method, caller: r.Caller, size: 1 + uint8(bits.Len(uint(max(0, r.BodyBytes)))/sizeStep)}
}

// cell is the mean service time of one kind of request.
type cell struct {
	// route is the cell of the route; nil in the cell of a route.
	route   *cell
	mean    atomic.Int64 // nanoseconds, 0 before the first sample
	samples atomic.Uint64
	last    atomic.Int64
}

// Estimator learns the expected work of requests. The zero value is not usable; see NewEstimator.
type Estimator struct {
	overall cell
	cells   atomic.Pointer[map[key]*cell]
	mu      sync.Mutex // serializes the replacement of cells
	routes  int
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	e := &Estimator{}
	e.cells.Store(&map[key]*cell{})
	return e
}

// Expected returns the expected work of r. The estimate of its combination of features is blended with
// that of its route in proportion to the samples. A route without samples has the mean of all requests.
func (e *Estimator) Expected(at int64, r Request) Estimate {
	c := (*e.cells.Load())[keyOf(r)]
	if c == nil {
		return e.Route(at, r.Route)
	}
	est := c.route.estimate(at)
	n := float64(c.samples.Load())
	est.Work += time.Duration(float64(c.mean.Load()-int64(est.Work)) * n / (n + priorSamples))
	return est
}

// Route returns the expected work of a request of a route about which nothing else is known.
func (e *Estimator) Route(at int64, route string) Estimate {
	if c := (*e.cells.Load())[key{route: route}]; c != nil {
		return c.estimate(at)
	}
	return Estimate{Work: time.Duration(e.overall.mean.Load())}
}

func (c *cell) estimate(at int64) Estimate {
	return Estimate{
		Work:    time.Duration(c.mean.Load()),
		Samples: c.samples.Load(),
		Age:     time.Duration(at - c.last.Load()),
	}
}

// Record adds the service time of a request. It takes a lock only for a new combination of features.
func (e *Estimator) Record(at int64, r Request, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	e.overall.record(at, serviceTime)
	c := (*e.cells.Load())[keyOf(r)]
	if c == nil {
		c = e.addCell(r)
	}
	if c == nil {
		return
	}
	c.record(at, serviceTime)
	if c.route != nil {
		c.route.record(at, serviceTime)
	}
}

// addCell returns the cell of r and creates it if the bounds allow, the cell of the route otherwise,
// or nil if there is no room for the route either.
func (e *Estimator) addCell(r Request) *cell {
	cells := *e.cells.Load()
	route := cells[key{route: r.Route}]
	if len(cells) >= maxCells+maxRoutes || route == nil && len(cells) >= maxCells {
		return route
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next := maps.Clone(*e.cells.Load())
	route = next[key{route: r.Route}]
	if route == nil {
		if e.routes >= maxRoutes {
			return nil
		}
		e.routes++
		route = &cell{}
		next[key{route: strings.Clone(r.Route)}] = route
	}
	k := keyOf(r)
	c := next[k]
	if c == nil {
		c = &cell{route: route}
		k.route, k.method, k.caller = strings.Clone(k.route), strings.Clone(k.method), strings.Clone(k.caller)
		next[k] = c
	}
	e.cells.Store(&next)
	return c
}

func (c *cell) record(at int64, serviceTime time.Duration) {
	c.last.Store(at)
	n := c.samples.Add(1)
	mean := c.mean.Load()
	if n == 1 || mean == 0 {
		c.mean.Store(int64(serviceTime))
		return
	}
	sample := min(int64(serviceTime), maxSampleRatio*mean)
	c.mean.Store(max(1, mean+int64(float64(sample-mean)*max(1/float64(n), steadyStep))))
}

// Cells returns the number of cells.
func (e *Estimator) Cells() int { return len(*e.cells.Load()) }
