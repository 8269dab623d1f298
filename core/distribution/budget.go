package distribution

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// readerBurst and peerBurst bound the source calls that a reader and any other node
	// may make at once.
	readerBurst = 8
	peerBurst   = 1
	// primaryReaders is the number of readers of the whole fleet that fetch many chunks
	// at once; the others wait for them. They have primaryShare of the readers' budget.
	primaryReaders = 2
	primaryShare   = 0.5
)

// peerRate is the budget in reads per second of one node that is not a reader.
func (m *Machine) peerRate(vms int) rate.Limit {
	return rate.Limit(m.cfg.SourceReadsPerSecond * (1 - m.cfg.ReaderShare) / float64(max(1, vms)))
}

// sourceSpread is the time in which all nodes that are not readers may make one call.
func (m *Machine) sourceSpread() time.Duration {
	vms := len(m.view)
	if m.list == nil {
		vms = m.cfg.FleetSize
	}
	return time.Duration(float64(time.Second) / float64(m.peerRate(vms)))
}

// assignRole decides whether the node is a reader and sets its share of the budget.
// Before a VM list is held the view may hold a few seeds only, among which every
// starting node would take itself for a reader.
func (m *Machine) assignRole(now time.Time) {
	m.reader, m.primary = false, false
	if m.list == nil {
		return
	}
	readers := allReaders(m.view, m.cfg.ReadersPerDomain)
	rank := slices.Index(readers, m.self.ID)
	m.reader, m.primary = rank >= 0, rank >= 0 && rank < primaryReaders
	limit, burst := m.peerRate(len(m.view)), peerBurst
	if m.reader {
		limit, burst = m.readerRate(len(readers)), readerBurst
	}
	m.source.limiter.SetLimitAt(now, limit)
	m.source.limiter.SetBurstAt(now, burst)
}

// readerRate is the budget of this reader in reads per second, out of the given number
// of readers.
func (m *Machine) readerRate(readers int) rate.Limit {
	total := m.cfg.SourceReadsPerSecond * m.cfg.ReaderShare
	switch {
	case readers <= primaryReaders:
		return rate.Limit(total / float64(readers))
	case m.primary:
		return rate.Limit(total * primaryShare / primaryReaders)
	default:
		return rate.Limit(total * (1 - primaryShare) / float64(readers-primaryReaders))
	}
}

// sourceTurn returns when the node may make the given number of calls to the source: a
// reader at once unless there are many, for which the primary readers go first; other
// nodes spread, so that a common cause does not make them all call together.
func (m *Machine) sourceTurn(now time.Time, calls int) time.Time {
	if !m.reader {
		return now.Add(m.upTo(m.sourceSpread()))
	}
	if m.primary || calls <= readerBurst {
		return now
	}
	primaryRate := m.cfg.SourceReadsPerSecond * m.cfg.ReaderShare * primaryShare / primaryReaders
	return now.Add(m.jitter(2 * time.Duration(float64(calls)/primaryRate*float64(time.Second))))
}
