package transfer

import "time"

const (
	// minMeasureTime is how long the window must stay full for one measurement: long enough
	// for a few parts of a body on a slow link.
	minMeasureTime = 30 * time.Millisecond
	// smoothingFactor is the weight of a new measurement in the moving average of the rate.
	smoothingFactor = 0.2
	// maxRoomGap is how long the window may have room, while the next part is being prepared,
	// and still count as full.
	maxRoomGap = 5 * time.Millisecond
	// rateExpiry is how long the estimate is used without a new measurement. An estimate that
	// is too low keeps the window from becoming full and would otherwise never be corrected.
	rateExpiry = 5 * time.Second
)

// rateMeter measures the rate of the link while the window is full, because only then do
// confirmations arrive at the rate of the link. It is guarded by Window.mu.
type rateMeter struct {
	// bytesPerSecond is the estimate as of measuredAt, or 0 before the first measurement.
	bytesPerSecond float64
	measuredAt     time.Time
	// measureStart is when the current measurement began, or zero if there is none.
	measureStart time.Time
	// confirmed is the number of bytes confirmed since measureStart.
	confirmed int
	// roomSince is the time from which the window has had room, or zero while it is full.
	roomSince time.Time
}

// estimate returns the rate in bytes per second, or 0 if there is none or it has expired.
func (m *rateMeter) estimate(now time.Time) float64 {
	if now.Sub(m.measuredAt) > rateExpiry {
		return 0
	}
	return m.bytesPerSecond
}

// markFull records that a part is waiting for room in the window. It starts a measurement if
// none is in progress.
func (m *rateMeter) markFull(now time.Time) {
	if m.measureStart.IsZero() || m.interrupted(now) {
		m.measureStart, m.confirmed = now, 0
	}
	m.roomSince = time.Time{}
}

// markNotFull records that no part is waiting for room.
func (m *rateMeter) markNotFull(now time.Time) {
	if m.roomSince.IsZero() {
		m.roomSince = now
	}
}

// interrupted reports whether the window has had room for too long for the current
// measurement to be valid.
func (m *rateMeter) interrupted(now time.Time) bool {
	return !m.roomSince.IsZero() && now.Sub(m.roomSince) > maxRoomGap
}

// recordConfirmed records that n more bytes were confirmed. It ends a measurement that was
// interrupted or has lasted minMeasureTime.
func (m *rateMeter) recordConfirmed(now time.Time, n int) {
	if m.measureStart.IsZero() {
		return
	}
	if m.interrupted(now) {
		m.measureStart = time.Time{}
		return
	}
	m.confirmed += n
	if elapsed := now.Sub(m.measureStart); elapsed >= minMeasureTime {
		m.update(now, float64(m.confirmed)/elapsed.Seconds())
		m.measureStart, m.confirmed = now, 0
	}
}

// update adds a measured rate to the moving average.
func (m *rateMeter) update(now time.Time, rate float64) {
	if old := m.estimate(now); old > 0 {
		rate = old + smoothingFactor*(rate-old)
	}
	m.bytesPerSecond, m.measuredAt = rate, now
}
