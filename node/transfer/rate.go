package transfer

import "time"

const (
	// measureFor is how long the window must stay full for one measurement: a few parts of
	// a body on a slow link.
	measureFor = 30 * time.Millisecond
	// measureWeight is the weight of a measurement against those before it.
	measureWeight = 0.2
	// fullGap is how long the window may have room, while the next part is prepared, and
	// still count as full.
	fullGap = 5 * time.Millisecond
	// rateExpiry is how long a rate is believed without a new measurement. A rate that is
	// too low keeps the window from being full and would never be corrected.
	rateExpiry = 5 * time.Second
)

// rateMeter measures the link while the window is full: only then do confirmations come as
// fast as the link allows.
type rateMeter struct {
	// bytesPerSecond is the estimate as of measured, 0 before the first.
	bytesPerSecond float64
	measured       time.Time
	// since is when the present measurement began, zero if there is none.
	since time.Time
	bytes int
	// roomSince is when the window was no longer full, zero while it is.
	roomSince time.Time
}

// at returns the rate in bytes a second, 0 if none is known.
func (m *rateMeter) at(now time.Time) float64 {
	if now.Sub(m.measured) > rateExpiry {
		return 0
	}
	return m.bytesPerSecond
}

// full notes that a part waits for room.
func (m *rateMeter) full(now time.Time) {
	if m.since.IsZero() || m.interrupted(now) {
		m.since, m.bytes = now, 0
	}
	m.roomSince = time.Time{}
}

// notFull notes that no part waits for room.
func (m *rateMeter) notFull(now time.Time) {
	if m.roomSince.IsZero() {
		m.roomSince = now
	}
}

func (m *rateMeter) interrupted(now time.Time) bool {
	return !m.roomSince.IsZero() && now.Sub(m.roomSince) > fullGap
}

// add notes that n bytes were confirmed.
func (m *rateMeter) add(now time.Time, n int) {
	if m.since.IsZero() {
		return
	}
	if m.interrupted(now) {
		m.since = time.Time{}
		return
	}
	m.bytes += n
	if elapsed := now.Sub(m.since); elapsed >= measureFor {
		m.learn(now, float64(m.bytes)/elapsed.Seconds())
		m.since, m.bytes = now, 0
	}
}

func (m *rateMeter) learn(now time.Time, rate float64) {
	if old := m.at(now); old > 0 {
		rate = old + measureWeight*(rate-old)
	}
	m.bytesPerSecond, m.measured = rate, now
}
