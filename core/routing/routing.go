// Package routing chooses the backend server for each attempt of a call.
//
// A Directory holds one immutable Table per service. Directory.Update replaces all
// tables; requests load them through one atomic pointer. The state of a server
// (attempts of this node in flight, load reported by the server's node, failures) is
// kept in its Endpoint, whose counters are atomic and survive a table update. The
// policies are in the sub-packages p2c, random, roundrobin and shortestdelay.
package routing

import (
	"math/rand/v2"
	"time"
)

// Picker chooses a server from a table. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns a usable server that is not in tried, or a result without an
	// endpoint. rnd is used by this call only or is safe for concurrent use.
	Pick(now time.Time, rnd rand.Source, t *Table, tried []*Endpoint) PickResult
}

// PickResult is the result of Picker.Pick.
type PickResult struct {
	// Endpoint is the chosen server, or nil if no server may be used now.
	Endpoint *Endpoint
	// Wait is the time until the first server that refused may be retried. It is set
	// only if Endpoint is nil, and is 0 if waiting makes no server available.
	Wait time.Duration
}

// Config configures the scores and backoffs of servers and their ejection.
type Config struct {
	// DomainCost is added to the score of a server that is in the local region but in
	// another failure domain, as a fraction of the server's limit. Higher keeps more
	// calls in the local failure domain; lower balances load across domains sooner.
	DomainCost float64
	// RegionCost is the corresponding cost for a server in another region.
	RegionCost float64
	// SpilloverLoad is the load of the better candidate in the local region, as a
	// fraction of its limit, from which servers in other regions are considered too.
	SpilloverLoad float64
	// LoadHalfLife is the age at which a reported load counts half. Shorter relies on
	// recent reports only; longer smooths the load but follows changes late.
	LoadHalfLife time.Duration
	// WorkHalfLife is the age at which reported work has returned halfway to the server's average.
	// Longer makes nodes with equal old reports choose the same servers.
	WorkHalfLife time.Duration
	// SpeedHalfLife is the age at which a reported slowdown has returned halfway to the
	// server's usual one. Shorter retries a slow server sooner.
	SpeedHalfLife time.Duration
	// InitialWeight is the fraction of full weight with which a server starts its
	// warm-up.
	InitialWeight float64
	// LeavingBackoff is how long a server gets no attempts after it reported that it
	// is leaving. Afterwards it is used again unless the published list marks it as
	// leaving or it repeats the report.
	LeavingBackoff time.Duration
	// UnreachableBackoff is how long a server is avoided after its node could not be
	// reached. Longer saves failed attempts; shorter returns to a restarted node sooner.
	UnreachableBackoff time.Duration
	// Seed differs between nodes, so that they don't all send their first request to a cold server at the
	// same time.
	Seed uint64
	// EvacuatedWait is how long callers are told to wait if all servers of a service that could be used
	// are evacuated. Longer saves requests in vain; shorter returns to a restored failure domain sooner.
	EvacuatedWait time.Duration
	// Outlier configures the ejection of failing servers.
	Outlier OutlierConfig
}

// OutlierConfig configures when and for how long a failing server is ejected.
type OutlierConfig struct {
	// ConsecutiveFailures is the number of consecutive failures that ejects a server.
	ConsecutiveFailures uint32
	// Window is the period over which failure shares are compared.
	Window time.Duration
	// MinSamples is the minimum number of outcomes in a window for its failure share to
	// be compared.
	MinSamples uint64
	// Margin is how far the failure share of a server must exceed that of the other
	// servers of its service. Lower ejects sooner, but also more often by chance.
	Margin float64
	// BaseEjectionTime is the duration of the first ejection. Each further ejection
	// doubles it.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the maximum duration of an ejection.
	MaxEjectionTime time.Duration
	// MaxEjectedShare is the maximum fraction of the servers of a service that may be
	// ejected at a time.
	MaxEjectedShare float64
	// ProbationSuccesses is the number of successes that end the probation of a server
	// after its ejection. Until then this node sends it one request at a time.
	ProbationSuccesses uint32
	// EjectionDecay is the time without an ejection after which the duration of the
	// next one is halved.
	EjectionDecay time.Duration
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{
		DomainCost:         0.15,
		RegionCost:         0.5,
		SpilloverLoad:      1,
		LoadHalfLife:       500 * time.Millisecond,
		WorkHalfLife:       250 * time.Millisecond,
		SpeedHalfLife:      time.Second,
		InitialWeight:      0.1,
		LeavingBackoff:     5 * time.Second,
		UnreachableBackoff: 500 * time.Millisecond,
		EvacuatedWait:      time.Second,
		Outlier: OutlierConfig{
			ConsecutiveFailures: 5,
			Window:              5 * time.Second,
			MinSamples:          20,
			Margin:              0.3,
			BaseEjectionTime:    2 * time.Second,
			MaxEjectionTime:     time.Minute,
			MaxEjectedShare:     0.34,
			ProbationSuccesses:  3,
			EjectionDecay:       time.Minute,
		},
	}
}
