// Package breaker implements a circuit breaker for the routes of a backend server whose requests fail
// because calls of the server are refused. It refuses new requests of such a route before they take a
// slot, except for probes, until probes succeed.
//
// Breaker is safe for concurrent use. The package starts no goroutines and reads no clock. A route
// without a failure has no state and costs one read of an empty map.
package breaker

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the limits of a Breaker.
type Config struct {
	// OpenShare is the share of failed requests at which a route is refused. It is above a half, since
	// the measured share varies by about 0.1.
	OpenShare float64
	// MinResults is the number of results after which a route may be refused. Fewer open it by chance.
	MinResults int
	// ResultWeight is the weight of a result in the share while the route is served, ProbeWeight
	// while it is refused: there are fewer probes.
	ResultWeight, ProbeWeight float64
	// CloseShare is the share of failed probes at which the route is served again.
	CloseShare float64
	// ProbeInterval is the time between two probes. A shorter one detects a recovery sooner and
	// lets more requests fail.
	ProbeInterval time.Duration
	// Idle is the time without a failure after which the state of a route is dropped.
	Idle time.Duration
	// MaxRoutes bounds the routes with state. Further routes are always served.
	MaxRoutes int
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		OpenShare:     0.6,
		MinResults:    20,
		ResultWeight:  0.07,
		ProbeWeight:   0.3,
		CloseShare:    0.2,
		ProbeInterval: 250 * time.Millisecond,
		Idle:          10 * time.Second,
		MaxRoutes:     256,
	}
}

// Breaker holds the state of the routes of one backend server. Create it with New.
type Breaker struct {
	cfg    Config
	routes atomic.Pointer[map[string]*route]
	mu     sync.Mutex // serializes changes of routes
}

// route is the state of one route.
type route struct {
	mu sync.Mutex
	// share is the weighted mean of the results, 1 for a failure.
	share   float64
	results int
	// openedAt is when the route was last refused; the zero time while it is served.
	openedAt    time.Time
	lastProbe   time.Time
	lastFailure time.Time
}

// New returns a breaker that serves all routes.
func New(cfg Config) *Breaker {
	b := &Breaker{cfg: cfg}
	b.routes.Store(&map[string]*route{})
	return b
}

// Allow reports whether a request of a route may take a slot. While the route is refused, it admits one
// probe per ProbeInterval.
func (b *Breaker) Allow(now time.Time, name string) bool {
	r := (*b.routes.Load())[name]
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.openedAt.IsZero():
		return true
	case now.Sub(r.lastProbe) >= b.cfg.ProbeInterval:
		r.lastProbe = now
		return true
	default:
		return false
	}
}

// RetryAfter returns when a refused request may be repeated.
func (b *Breaker) RetryAfter() time.Duration { return b.cfg.ProbeInterval }

// Change says whether a result changed how a route is served.
type Change uint8

const (
	// Unchanged means that the result changed nothing.
	Unchanged Change = iota
	// Opened means that the route is refused from now on.
	Opened
	// Closed means that the route is served again.
	Closed
)

// Record records a request of a route that was admitted at started and has ended; failed reports
// whether it failed because a call of the server did.
func (b *Breaker) Record(now, started time.Time, name string, failed bool) Change {
	r := (*b.routes.Load())[name]
	if r == nil {
		if !failed {
			return Unchanged
		}
		if r = b.add(now, name); r == nil {
			return Unchanged
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		r.lastFailure = now
	}
	if r.openedAt.IsZero() {
		return b.recordServed(now, r, failed)
	}
	if started.Before(r.openedAt) {
		// Admitted before the route was refused: no probe.
		return Unchanged
	}
	r.record(b.cfg.ProbeWeight, failed)
	if r.share > b.cfg.CloseShare {
		return Unchanged
	}
	r.openedAt, r.share, r.results = time.Time{}, 0, 0
	return Closed
}

// recordServed records a result of a route that is served. It requires r.mu.
func (b *Breaker) recordServed(now time.Time, r *route, failed bool) Change {
	r.results++
	r.record(max(b.cfg.ResultWeight, 1/float64(r.results)), failed)
	if r.results < b.cfg.MinResults || r.share < b.cfg.OpenShare {
		return Unchanged
	}
	r.openedAt, r.lastProbe, r.share = now, now, 1
	return Opened
}

func (r *route) record(weight float64, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	r.share += weight * (result - r.share)
}

// add returns the state of a route, which it creates; nil if there are MaxRoutes.
func (b *Breaker) add(now time.Time, name string) *route {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.routes.Load()
	if r := old[name]; r != nil {
		return r
	}
	if len(old) >= b.cfg.MaxRoutes {
		return nil
	}
	next := maps.Clone(old)
	next[name] = &route{lastFailure: now}
	b.routes.Store(&next)
	return next[name]
}

// Open drops the state of routes without a recent failure, and returns the number of routes that are
// refused.
func (b *Breaker) Open(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.routes.Load()
	if len(old) == 0 {
		return 0
	}
	open := 0
	next := make(map[string]*route, len(old))
	for name, r := range old {
		r.mu.Lock()
		if now.Sub(r.lastFailure) < b.cfg.Idle {
			next[name] = r
			if !r.openedAt.IsZero() {
				open++
			}
		}
		r.mu.Unlock()
	}
	if len(next) < len(old) {
		b.routes.Store(&next)
	}
	return open
}
