package follow

import (
	"time"

	"auburnladder.example/core/source"
)

// Store is the key-value store. Its methods may be called from several goroutines.
type Store interface {
	// List returns the page of items that follows the key after; "" returns the first page.
	List(after string) (source.Page, error)
	// Watch returns the changes after a revision as soon as there are any, and no changes
	// when wait has passed. It returns source.ErrHistoryLost if the store no longer has the
	// changes since that revision, and source.ErrTooManyChanges if they are too large.
	Watch(after uint64, wait time.Duration) (source.Changes, error)
	// ReadOperator returns a page with the release item, if there is one, and all evacuations as they are
	// now. It may hold other items.
	ReadOperator() (source.Page, error)
	// WatchServers is Watch for the entries of servers only.
	WatchServers(after uint64, wait time.Duration) (source.Changes, error)
}

// Reading says which nodes read the store.
type Reading uint8

const (
	// ReadByTree lets one node watch the store; the others take its changes.
	ReadByTree Reading = iota
	// ReadByAll lets every node watch the store, as a baseline for measurements.
	ReadByAll
)

// Config holds the limits and intervals of a Follower's calls.
type Config struct {
	// Replica configures how removals after an outage of the store are treated.
	Replica source.Config
	// Reading selects the nodes that read the store. Default ReadByTree.
	Reading Reading
	// WatchWait is the longest wait of one watch under ReadByAll. A longer wait costs fewer
	// calls and detects an unresponsive connection later. Default 2 s.
	WatchWait time.Duration
	// RetryMin and RetryMax bound the jittered exponential backoff after failed calls.
	// Defaults 100 ms and 1 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// ReadShare is the fraction of ReadsPerSecond that all nodes together may use for the
	// watches that follow a change under ReadByAll. A smaller fraction delays the watches
	// and combines more changes into one call. Default 0.25.
	ReadShare float64
	// ReadsPerSecond is the rate of reads that the store allows to all nodes together.
	// Default 2000.
	ReadsPerSecond float64
	// CombineMax is the upper limit of the delay of a watch that results from ReadShare.
	// Default 500 ms.
	CombineMax time.Duration
	// LinkRate is the rate of the VM's network link in bytes per second; 0 if unknown. The wait of a
	// watch is shorter by the time that receiving a changed release takes.
	LinkRate float64
	// ApplyWithin is the time within which this node must apply a change. In a continuous
	// series of changes, those of one quarter of this time are combined into one call; the
	// rest is left for the call itself, building the release and requests in flight.
	// Default 2 s.
	ApplyWithin time.Duration
	// PeerInterval is the time between two rounds of requests to peers while this node's
	// copy is too old. Default 250 ms.
	PeerInterval time.Duration
	// PeersPerRound is the number of peers that are queried in one round. Default 2.
	PeersPerRound int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Replica:        source.DefaultConfig(),
		Reading:        ReadByTree,
		WatchWait:      2 * time.Second,
		RetryMin:       100 * time.Millisecond,
		RetryMax:       time.Second,
		ReadShare:      0.25,
		ReadsPerSecond: 2000,
		CombineMax:     500 * time.Millisecond,
		ApplyWithin:    2 * time.Second,
		PeerInterval:   250 * time.Millisecond,
		PeersPerRound:  2,
	}
}

const (
	// combineDivisor is the divisor of ApplyWithin that gives the time for which the changes
	// of a continuous series are combined into one call.
	combineDivisor = 4
	// combineBurst is the number of watches that may follow each other without that delay
	// after a time without changes.
	combineBurst = 3
)
