package membership

import (
	"errors"
	"fmt"
	"time"
)

// Config holds the timing and the bounds of the failure detector.
type Config struct {
	// TickInterval is the interval at which the driver sends a Tick. A shorter interval
	// reacts faster and uses more CPU time. View changes are published once per tick.
	// Default: 50 ms.
	TickInterval time.Duration
	// ProbeInterval is the time between two probes sent by a healthy node. A shorter
	// interval detects failures sooner and uses proportionally more bandwidth.
	// Default: 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for the ack of a direct ping before indirect
	// probes are sent. It must be below ProbeInterval and above the round-trip time
	// between failure domains. Default: 300 ms.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members requested to ping an unresponsive member.
	// More indirect probes tolerate more packet loss and asymmetric partitions and use
	// more bandwidth per failure. Default: 3.
	IndirectProbes int
	// SuspicionMultiplier times ProbeInterval times log10 of the fleet size is the
	// suspicion timeout. A higher value avoids false positives and delays the detection
	// of real failures. Default: 3.
	SuspicionMultiplier float64
	// RetransmitMultiplier times log10 of the fleet size is the number of times that a
	// node transmits one update. A higher value makes it more likely that the update
	// reaches every member and uses more bandwidth. Default: 6.
	RetransmitMultiplier int
	// MaxUpdateBytes is the maximum encoded size of the updates in one datagram, in
	// bytes. Together with about 160 bytes of other fields it should fit into an
	// unfragmented packet. Default: 1000.
	MaxUpdateBytes int
	// MaxAwareness is the maximum of the local health score. A node that misses many
	// acks may itself be at fault; it multiplies its probe timeouts by the score plus
	// one. Default: 4.
	MaxAwareness int
	// DeadProbeInterval is the time between two pings to a random dead member. These
	// pings detect healed partitions and restarted nodes. Default: 5 s.
	DeadProbeInterval time.Duration
	// RecoveryPeriod is how long dead members are pinged at four times the regular probe
	// rate after a dead member has returned or the process was paused. Default: 10 s.
	RecoveryPeriod time.Duration
	// PauseBound is the gap between two steps above which the process is considered to
	// have been paused. If it is too low, high load on the VM is mistaken for a pause.
	// Default: 2 s.
	PauseBound time.Duration
	// LeavingFanout is the number of members notified directly when the local node
	// starts or stops leaving; the others receive the update by gossip. A higher value
	// uses more bandwidth at each planned stop. Default: 64.
	LeavingFanout int
	// RefutationFanout is the number of members notified directly when the local node
	// refutes a suspicion. A higher value avoids false positives and uses more bandwidth
	// after a partition. Default: 16.
	RefutationFanout int
}

// DefaultConfig returns the configuration for a fleet on a single network.
func DefaultConfig() Config {
	return Config{
		TickInterval:         50 * time.Millisecond,
		ProbeInterval:        time.Second,
		ProbeTimeout:         300 * time.Millisecond,
		IndirectProbes:       3,
		SuspicionMultiplier:  3,
		RetransmitMultiplier: 6,
		MaxUpdateBytes:       1000,
		MaxAwareness:         4,
		DeadProbeInterval:    5 * time.Second,
		RecoveryPeriod:       10 * time.Second,
		PauseBound:           2 * time.Second,
		LeavingFanout:        64,
		RefutationFanout:     16,
	}
}

// Convergence returns the preset for fast failure detection and dissemination.
func Convergence() Config {
	c := DefaultConfig()
	c.ProbeInterval = 500 * time.Millisecond
	c.ProbeTimeout = 150 * time.Millisecond
	c.MaxUpdateBytes = 512
	c.DeadProbeInterval = 2 * time.Second
	return c
}

// Bytes returns the preset for low bandwidth use.
func Bytes() Config {
	c := DefaultConfig()
	c.TickInterval = 100 * time.Millisecond
	c.ProbeInterval = 2 * time.Second
	c.ProbeTimeout = 500 * time.Millisecond
	c.IndirectProbes = 2
	c.DeadProbeInterval = 10 * time.Second
	c.LeavingFanout = 16
	c.RefutationFanout = 8
	return c
}

// Validate returns an error if a value is out of range or inconsistent with the others.
func (c Config) Validate() error {
	switch {
	case c.TickInterval <= 0:
		return errors.New("membership: tick interval must be positive")
	case c.ProbeTimeout < c.TickInterval:
		return errors.New("membership: probe timeout must be at least the tick interval")
	case c.ProbeInterval <= c.ProbeTimeout:
		return errors.New("membership: probe interval must be above the probe timeout")
	case c.IndirectProbes < 0 || c.LeavingFanout < 0 || c.RefutationFanout < 0 || c.MaxAwareness < 0:
		return errors.New("membership: indirect probes, leaving fanout, refutation fanout and max awareness must not be negative")
	case c.SuspicionMultiplier <= 0 || c.RetransmitMultiplier <= 0:
		return errors.New("membership: suspicion and retransmit multipliers must be positive")
	case c.MaxUpdateBytes < 2*maxUpdateBytes:
		return fmt.Errorf("membership: max update bytes must be at least %d", 2*maxUpdateBytes)
	case c.DeadProbeInterval <= 0 || c.RecoveryPeriod <= 0:
		return errors.New("membership: dead probe interval and recovery period must be positive")
	case c.PauseBound <= 2*c.TickInterval:
		return errors.New("membership: pause bound must be above two tick intervals")
	}
	return nil
}
