// Package routing chooses the backend server for one attempt of a call.
//
// A Directory holds one immutable Table per service. The membership driver swaps
// tables; requests read them through one atomic pointer. What is learned about a
// server (own requests in flight, load that its node reported, failures) lives in
// its Endpoint, whose counters are atomics and survive a swap. The policies are
// in the sub-packages p2c, random and roundrobin.
package routing

import (
	"math/rand/v2"
	"time"
)

// Picker chooses a server from a table. It is called by many goroutines at once.
type Picker interface {
	// Pick returns a server that isn't in tried, or a result without an endpoint.
	// rnd is used by this call only, or is safe for concurrent use.
	Pick(now time.Time, rnd rand.Source, t *Table, tried []*Endpoint) PickResult
}

// PickResult is the outcome of a choice.
type PickResult struct {
	// Endpoint is the chosen server, or nil if none may be used now.
	Endpoint *Endpoint
	// Wait is the time until a server that refused may be asked again. It is set
	// only without an Endpoint, and 0 if no server will become free by waiting.
	Wait time.Duration
}

// Config holds the weights and limits of the choice.
type Config struct {
	// DomainCost is added to the score of a server in another failure domain of
	// the own region, as a share of a server's limit. Higher keeps more calls at
	// home, lower levels the load sooner.
	DomainCost float64
	// RegionCost is the same for a server in another region.
	RegionCost float64
	// SpillLoad is the load of the better candidate of the own region, as a share
	// of its limit, from which servers of other regions are considered as well.
	SpillLoad float64
	// LoadHalfLife is the age at which a reported load counts half. Shorter
	// trusts only fresh reports, longer smooths but follows changes late.
	LoadHalfLife time.Duration
	// ColdWeight is the share of full weight that a cold server starts with.
	ColdWeight float64
	// LeavingHold is how long a server that reported its own leave is left alone
	// before the published list or another attempt can bring it back.
	LeavingHold time.Duration
	// UnreachableHold is how long a server is left alone after its node couldn't
	// be reached. Longer saves attempts, shorter returns to a restarted node sooner.
	UnreachableHold time.Duration
	// Outlier configures the ejection of failing servers.
	Outlier OutlierConfig
}

// OutlierConfig says when a server is ejected for the outcomes seen.
type OutlierConfig struct {
	// Consecutive is the number of failures in a row that ejects a server.
	Consecutive uint32
	// Window is the time over which failure shares are compared.
	Window time.Duration
	// MinSamples is the number of outcomes within a window that a share needs.
	MinSamples uint64
	// Margin is how far a server's failure share must exceed that of the other
	// servers of its service. Lower ejects sooner, and more often by chance.
	Margin float64
	// Base is the duration of the first ejection; each further one doubles it.
	Base time.Duration
	// Max bounds the duration of an ejection.
	Max time.Duration
	// MaxShare bounds the ejected share of the servers of a service.
	MaxShare float64
	// ProbationSuccesses is the number of successes that end the probation of a
	// returned server. Until then it gets one request at a time from this node.
	ProbationSuccesses uint32
	// Forgive is the time without an ejection that halves the next duration.
	Forgive time.Duration
}

// DefaultConfig returns the weights and limits used in production.
func DefaultConfig() Config {
	return Config{
		DomainCost:      0.15,
		RegionCost:      0.5,
		SpillLoad:       1,
		LoadHalfLife:    500 * time.Millisecond,
		ColdWeight:      0.1,
		LeavingHold:     5 * time.Second,
		UnreachableHold: 500 * time.Millisecond,
		Outlier: OutlierConfig{
			Consecutive:        5,
			Window:             5 * time.Second,
			MinSamples:         20,
			Margin:             0.3,
			Base:               2 * time.Second,
			Max:                time.Minute,
			MaxShare:           0.34,
			ProbationSuccesses: 3,
			Forgive:            time.Minute,
		},
	}
}
