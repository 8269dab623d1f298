package platform

import (
	"sync"
	"time"
)

const (
	// The sliding window of one second consists of windowBuckets buckets of bucketWidth.
	windowBuckets = 10
	bucketWidth   = 100 * time.Millisecond
)

// Stats holds the counters of the service since its start. The peaks can be reset.
type Stats struct {
	Mode Mode `json:"mode"`
	// ReadsTotal counts the admitted reads. A watch counts as one read.
	ReadsTotal uint64 `json:"reads_total"`
	// ReadsLastSecond and PeakReadsPerSecond are counted over a sliding window of one
	// second and include refused reads.
	ReadsLastSecond    uint64 `json:"reads_last_second"`
	PeakReadsPerSecond uint64 `json:"peak_reads_per_second"`
	// WaitingWatches is the current number of waiting watches.
	WaitingWatches     int64 `json:"waiting_watches"`
	PeakWaitingWatches int64 `json:"peak_waiting_watches"`
	// OverLimit counts reads refused with status 429.
	OverLimit uint64 `json:"over_limit"`
}

// meter counts reads over a sliding second and admits them up to a limit.
type meter struct {
	mu           sync.Mutex
	limit        uint64
	buckets      [windowBuckets]uint64
	newestBucket int64 // number of the newest bucket, in bucketWidth since the epoch
	stats        Stats
}

// admit counts a read at the time now and reports whether it is within the limit.
func (m *meter) admit(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	within := m.sum() < m.limit
	m.buckets[m.newestBucket%windowBuckets]++
	m.stats.PeakReadsPerSecond = max(m.stats.PeakReadsPerSecond, m.sum())
	if within {
		m.stats.ReadsTotal++
	} else {
		m.stats.OverLimit++
	}
	return within
}

// advance clears the buckets that have left the window. The caller holds mu.
func (m *meter) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketWidth)
	if current-m.newestBucket >= windowBuckets {
		m.buckets = [windowBuckets]uint64{}
		m.newestBucket = current
	}
	for m.newestBucket < current {
		m.newestBucket++
		m.buckets[m.newestBucket%windowBuckets] = 0
	}
}

func (m *meter) sum() uint64 {
	var total uint64
	for _, n := range m.buckets {
		total += n
	}
	return total
}

// addWaitingWatches adds delta to the number of waiting watches.
func (m *meter) addWaitingWatches(delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.WaitingWatches += delta
	m.stats.PeakWaitingWatches = max(m.stats.PeakWaitingWatches, m.stats.WaitingWatches)
}

func (m *meter) snapshot(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	s := m.stats
	s.ReadsLastSecond = m.sum()
	return s
}

// resetPeaks sets both peaks to the current values.
func (m *meter) resetPeaks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.stats.PeakReadsPerSecond = m.sum()
	m.stats.PeakWaitingWatches = m.stats.WaitingWatches
}
