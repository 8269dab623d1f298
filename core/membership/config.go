package membership

import (
	"errors"
	"fmt"
	"time"
)

// Config holds the timing and the bounds of the failure detector.
type Config struct {
	// TickInterval is how often the driver steps the machine without other events.
	// Shorter reacts faster and costs processor time. Changes are published to
	// readers of the view once per tick.
	TickInterval time.Duration
	// ProbeInterval is the time between two probes of a healthy node. Shorter finds
	// failures sooner and costs bytes in proportion.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct ping may take before indirect ones are sent.
	// It must be below ProbeInterval and above the round trip between domains.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to ping a silent one. More stands
	// more loss and asymmetric partitions and costs bytes at each failure.
	IndirectProbes int
	// SuspicionMultiplier times ProbeInterval times log10 of the fleet's size is how
	// long a suspect has to refute. More avoids false deaths and delays true ones.
	SuspicionMultiplier float64
	// RetransmitMultiplier times log10 of the fleet's size is how often a node sends
	// one update. More reaches every member more surely and costs bytes.
	RetransmitMultiplier int
	// MaxUpdateBytes bounds the updates in one datagram. Together with about 160
	// bytes of other fields it should fit an unfragmented packet.
	MaxUpdateBytes int
	// MaxAwareness bounds the factor by which a node that misses many answers, and so
	// may itself be at fault, lengthens its probes.
	MaxAwareness int
	// DeadProbeInterval is the time between two pings to a random dead member, by
	// which healed partitions and restarts are found.
	DeadProbeInterval time.Duration
	// RecoveryPeriod is how long after a dead member's return, or after a pause, dead
	// members are pinged at four times the rate of ordinary probes.
	RecoveryPeriod time.Duration
	// PauseBound is the gap between two steps above which the process counts as having
	// been paused. Too low takes a busy machine for a pause.
	PauseBound time.Duration
	// LeavingFanout is the number of members told directly when this node begins to
	// leave; the others learn it from updates. More costs bytes at each planned stop.
	LeavingFanout int
	// RefutationFanout is the number of members told directly when this node refutes a
	// suspicion. More avoids false deaths and costs bytes after a partition.
	RefutationFanout int
}

// DefaultConfig returns the timing for a fleet on one network.
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

// Convergence returns the preset that finds changes fast.
func Convergence() Config {
	c := DefaultConfig()
	c.ProbeInterval = 500 * time.Millisecond
	c.ProbeTimeout = 150 * time.Millisecond
	c.MaxUpdateBytes = 512
	c.DeadProbeInterval = 2 * time.Second
	return c
}

// Bytes returns the preset that sends little.
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

// Validate checks that the values fit together.
func (c Config) Validate() error {
	switch {
	case c.TickInterval <= 0:
		return errors.New("membership: tick interval must be positive")
	case c.ProbeTimeout < c.TickInterval:
		return errors.New("membership: probe timeout must be at least the tick interval")
	case c.ProbeInterval <= c.ProbeTimeout:
		return errors.New("membership: probe interval must be above the probe timeout")
	case c.IndirectProbes < 0 || c.LeavingFanout < 0 || c.RefutationFanout < 0 || c.MaxAwareness < 0:
		return errors.New("membership: counts must not be negative")
	case c.SuspicionMultiplier <= 0 || c.RetransmitMultiplier <= 0:
		return errors.New("membership: multipliers must be positive")
	case c.MaxUpdateBytes < 2*maxUpdateBytes:
		return fmt.Errorf("membership: update bytes must be at least %d", 2*maxUpdateBytes)
	case c.DeadProbeInterval <= 0 || c.RecoveryPeriod <= 0:
		return errors.New("membership: dead probe interval and recovery period must be positive")
	case c.PauseBound <= 2*c.TickInterval:
		return errors.New("membership: pause bound must be above two tick intervals")
	}
	return nil
}
