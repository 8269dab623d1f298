package distribution

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// readerBurst and nonReaderBurst limit the source calls that a reader and any other
	// node can make in a burst.
	readerBurst    = 8
	nonReaderBurst = 1
	// primaryReaders is the number of readers in the whole fleet that read a large number
	// of chunks without delay; the other readers wait, so that they can fetch the chunks
	// from peers. The primary readers have the fraction primaryShare of the readers'
	// budget.
	primaryReaders = 2
	primaryShare   = 0.5
)

// nonReaderRate returns the budget of one node that is not a reader, in reads per second,
// in a fleet of the given number of VMs.
func (m *Machine) nonReaderRate(vms int) rate.Limit {
	return rate.Limit(m.cfg.SourceReadsPerSecond * (1 - m.cfg.ReaderShare) / float64(max(1, vms)))
}

// sourceSpreadWindow returns the time in which every node that is not a reader can make
// one call within the budget.
func (m *Machine) sourceSpreadWindow() time.Duration {
	vms := len(m.view)
	if m.vmList == nil {
		vms = m.cfg.FleetSize
	}
	return time.Duration(float64(time.Second) / float64(m.nonReaderRate(vms)))
}

// assignRole decides whether the node is a reader and sets its share of the budget.
// Without a VM list the node is no reader: the view may hold only a few seeds, and every
// starting node would choose itself.
func (m *Machine) assignRole(now time.Time) {
	m.reader, m.primaryReader = false, false
	if m.vmList == nil {
		return
	}
	readers := allReaders(m.view, m.cfg.ReadersPerDomain)
	rank := slices.Index(readers, m.self.ID)
	m.reader, m.primaryReader = rank >= 0, rank >= 0 && rank < primaryReaders
	limit, burst := m.nonReaderRate(len(m.view)), nonReaderBurst
	if m.reader {
		limit, burst = m.readerRate(len(readers)), readerBurst
	}
	m.source.limiter.SetLimitAt(now, limit)
	m.source.limiter.SetBurstAt(now, burst)
}

// readerRate returns the budget of this reader in reads per second, given the total
// number of readers.
func (m *Machine) readerRate(readers int) rate.Limit {
	total := m.cfg.SourceReadsPerSecond * m.cfg.ReaderShare
	switch {
	case readers <= primaryReaders:
		return rate.Limit(total / float64(readers))
	case m.primaryReader:
		return rate.Limit(total * primaryShare / primaryReaders)
	default:
		return rate.Limit(total * (1 - primaryShare) / float64(readers-primaryReaders))
	}
}

// sourceCallTime returns when the node may make the given number of calls to the source.
// A reader makes them immediately, except that many calls wait for the primary readers to
// go first. Other nodes wait for a random time, so that an event seen by all of them does
// not cause a burst.
func (m *Machine) sourceCallTime(now time.Time, calls int) time.Time {
	if !m.reader {
		return now.Add(m.randomUpTo(m.sourceSpreadWindow()))
	}
	if m.primaryReader || calls <= readerBurst {
		return now
	}
	primaryRate := m.cfg.SourceReadsPerSecond * m.cfg.ReaderShare * primaryShare / primaryReaders
	return now.Add(m.jitter(2 * time.Duration(float64(calls)/primaryRate*float64(time.Second))))
}
