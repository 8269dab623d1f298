package distribution

import "time"

// Config holds the parameters of a Machine. All nodes of a deployment should use the same
// values.
type Config struct {
	// ReadersPerDomain is the number of nodes per failure domain that watch the platform.
	// More readers tolerate more failures and cost more source reads. Default 2.
	ReadersPerDomain int
	// LocalNeighbours and RemoteNeighbours are the numbers of sessions that a node opens
	// inside and outside its failure domain. More neighbours shorten propagation and send
	// more duplicate announcements. Defaults 3 and 2.
	LocalNeighbours  int
	RemoteNeighbours int
	// AntiEntropyInterval is the mean time between two version exchanges, which recover
	// from lost announcements. A shorter interval sends more bytes when idle.
	// Default 1 s.
	AntiEntropyInterval time.Duration
	// FetchTimeout is the time that a peer has to reply before the request goes to the
	// next peer. The time for a transfer at 4 MiB/s is added for chunks. A short timeout
	// recovers quickly from lost frames but may fetch the same bytes twice.
	// Default 150 ms.
	FetchTimeout time.Duration
	// RetryMin and RetryMax bound the exponential backoff after all peers and the source
	// failed to provide a release. Jitter changes each delay by up to half. Defaults 250
	// ms and 10 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// BatchBytes limits the total size of the chunks in one request to a peer. Larger
	// batches need fewer round trips and resend more bytes after a timeout.
	// Default 128 KiB.
	BatchBytes int
	// MaxReleaseBytes limits the total chunk size of a release; larger releases are
	// refused. The chunk store holds at most three releases. Default 4 MiB.
	MaxReleaseBytes int
	// SourceReadsPerSecond is the read budget at the platform, shared by all nodes.
	// Default 1600 of the 2000 reads per second that the platform allows.
	SourceReadsPerSecond float64
	// ReaderShare is the fraction of the budget that is reserved for readers, 0 to 1. The
	// other nodes share the rest. Default 0.5.
	ReaderShare float64
	// SourceChecksPerSecond is the total rate at which the nodes that are not readers
	// check the source. Default 5.
	SourceChecksPerSecond float64
	// SourceTimeout is the timeout of a source read. WatchWait is how long a watch waits
	// for a change, in addition to SourceTimeout. Defaults 2 s and 30 s.
	SourceTimeout time.Duration
	WatchWait     time.Duration
	// SourceBackoffMin and SourceBackoffMax bound the exponential backoff after failed
	// source calls. Jitter changes each delay by up to half. Defaults 500 ms and 15 s.
	SourceBackoffMin time.Duration
	SourceBackoffMax time.Duration
	// FleetSize is the number of VMs to assume until a VM list is held. It spreads the
	// first source reads of a fleet whose nodes all start at the same time. A larger
	// value delays every start. Default 300.
	FleetSize int
	// StartPeers is the number of peers that a node queries for their versions at start
	// and after a process pause. Default 16.
	StartPeers int
	// StartWait limits how long a starting node waits for the slowest of these peers once
	// at least one has replied. Default 2 s.
	StartWait time.Duration
	// StartAloneWait limits how long a starting node waits for replies from peers and for
	// newer releases that they announce. After that it activates what it has, if
	// necessary from the source alone. A longer wait makes it less likely that a stale
	// source brings back an old release, and delays the start of an isolated node.
	// Default 10 s.
	StartAloneWait time.Duration
	// PauseGap is the time between two steps above which the process is considered to
	// have been paused. It must be well above TickInterval. Default 2 s.
	PauseGap time.Duration
	// ResyncWait limits the wait for replies from peers after a process pause, ResyncMax
	// the whole resync phase. Defaults 1 s and 5 s.
	ResyncWait time.Duration
	ResyncMax  time.Duration
	// TickInterval is the interval at which the driver sends Tick events. Default 50 ms.
	TickInterval time.Duration
}

// DefaultConfig returns the Convergence preset.
func DefaultConfig() Config {
	return Convergence()
}

// Convergence returns the preset that favours a short convergence time over few control
// bytes.
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
		StartPeers:            16,
		StartWait:             2 * time.Second,
		StartAloneWait:        10 * time.Second,
		PauseGap:              2 * time.Second,
		ResyncWait:            time.Second,
		ResyncMax:             5 * time.Second,
		TickInterval:          50 * time.Millisecond,
	}
}

// Bytes returns the preset that favours few control bytes over a short convergence time:
// one reader per failure domain, fewer neighbours, less frequent exchanges and checks,
// and a longer fetch timeout.
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
