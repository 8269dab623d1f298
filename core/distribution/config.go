package distribution

import "time"

// Config holds the parameters of a Machine. All nodes of a deployment should use
// the same values.
type Config struct {
	// ReadersPerDomain is the number of nodes per failure domain that watch the
	// platform. More readers survive more failures and cost more source reads.
	// Default 2.
	ReadersPerDomain int
	// LocalNeighbours and RemoteNeighbours are the sessions that a node opens inside
	// and outside its failure domain. More neighbours shorten the spread and repeat
	// more announcements. Defaults 3 and 2.
	LocalNeighbours  int
	RemoteNeighbours int
	// AntiEntropyInterval is the mean time between two version exchanges that repair
	// lost announcements. A shorter interval costs idle bytes. Default 1 s.
	AntiEntropyInterval time.Duration
	// FetchTimeout is how long a peer may take before the next one is asked. A short
	// timeout hides lost frames and may fetch the same bytes twice. Default 150 ms.
	FetchTimeout time.Duration
	// RetryMin and RetryMax bound the jittered exponential backoff after all peers and
	// the source failed to provide a release. Defaults 250 ms and 10 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// BatchBytes bounds the chunk bytes of one request to a peer. Larger batches need
	// fewer round trips and repeat more bytes after a timeout. Default 128 KiB.
	BatchBytes int
	// MaxReleaseBytes bounds the sum of a release's chunk sizes. The store holds at most
	// three releases. Default 4 MiB.
	MaxReleaseBytes int
	// SourceReadsPerSecond is the budget of all nodes together at the platform.
	// Default 1600 of the platform's 2000.
	SourceReadsPerSecond float64
	// ReaderShare is the readers' part of the budget, 0 to 1. Default 0.5.
	ReaderShare float64
	// SourceChecksPerSecond is the rate at which all nodes that are not readers together
	// check the source. Default 5.
	SourceChecksPerSecond float64
	// SourceTimeout bounds a read, WatchWait the time that a watch may wait for a change.
	// Defaults 2 s and 30 s.
	SourceTimeout time.Duration
	WatchWait     time.Duration
	// SourceBackoffMin and SourceBackoffMax bound the jittered exponential backoff after
	// failed source calls. Defaults 500 ms and 15 s.
	SourceBackoffMin time.Duration
	SourceBackoffMax time.Duration
	// FleetSize is the number of VMs assumed until a VM list is known. It spreads the
	// first reads of a fleet that starts at once; a large value delays every start.
	// Default 300.
	FleetSize int
	// StartAsk is the number of peers that a starting node asks for their versions.
	// Default 16.
	StartAsk int
	// StartWait bounds the wait for the slowest of these peers when at least one
	// answered. Default 2 s.
	StartWait time.Duration
	// StartAloneWait is the wait for a first peer before the node trusts the source
	// alone. A long wait makes a return to an old release less likely when the source is
	// stale and delays the start of an isolated node. Default 10 s.
	StartAloneWait time.Duration
	// PauseGap is the time between two steps above which the process is taken for
	// paused. It must be well above TickInterval. Default 2 s.
	PauseGap time.Duration
	// ResyncWait bounds the wait for peers after a pause, ResyncMax the whole phase.
	// Defaults 1 s and 5 s.
	ResyncWait time.Duration
	ResyncMax  time.Duration
	// TickInterval is how often the driver sends a Tick. Default 50 ms.
	TickInterval time.Duration
}

// DefaultConfig returns the preset Convergence.
func DefaultConfig() Config {
	return Convergence()
}

// Convergence is the preset that weighs a short time to convergence more.
func Convergence() Config {
	return Config{
		ReadersPerDomain:      2,
		LocalNeighbours:       3,
		RemoteNeighbours:      2,
		AntiEntropyInterval:   time.Second,
		FetchTimeout:          150 * time.Millisecond,
		RetryMin:              250 * time.Millisecond,
		RetryMax:              10 * time.Second,
		BatchBytes:            128 << 10,
		MaxReleaseBytes:       4 << 20,
		SourceReadsPerSecond:  1600,
		ReaderShare:           0.5,
		SourceChecksPerSecond: 5,
		SourceTimeout:         2 * time.Second,
		WatchWait:             30 * time.Second,
		SourceBackoffMin:      500 * time.Millisecond,
		SourceBackoffMax:      15 * time.Second,
		FleetSize:             300,
		StartAsk:              16,
		StartWait:             2 * time.Second,
		StartAloneWait:        10 * time.Second,
		PauseGap:              2 * time.Second,
		ResyncWait:            time.Second,
		ResyncMax:             5 * time.Second,
		TickInterval:          50 * time.Millisecond,
	}
}

// Bytes is the preset that weighs few control bytes more: one reader per failure
// domain, fewer neighbours, rarer exchanges and a longer fetch timeout.
func Bytes() Config {
	c := Convergence()
	c.ReadersPerDomain = 1
	c.LocalNeighbours = 2
	c.RemoteNeighbours = 1
	c.AntiEntropyInterval = 5 * time.Second
	c.FetchTimeout = 500 * time.Millisecond
	c.SourceChecksPerSecond = 1
	return c
}
