package platform

import (
	"sync"
	"time"
)

const (
	// windowBuckets of bucketWidth each make up the window of one second.
	windowBuckets = 10
	bucketWidth   = 100 * time.Millisecond
)

// Stats is what the service counted since it started.
type Stats struct {
	Mode Mode `json:"mode"`
	// ReadsTotal counts the reads that were admitted, a watch as one.
	ReadsTotal uint64 `json:"reads_total"`
	// ReadsLastSecond and PeakReadsPerSecond count over a sliding second,
	// refused reads included.
	ReadsLastSecond    uint64 `json:"reads_last_second"`
	PeakReadsPerSecond uint64 `json:"peak_reads_per_second"`
	// WaitingWatches counts the watches that wait now.
	WaitingWatches     int64 `json:"waiting_watches"`
	PeakWaitingWatches int64 `json:"peak_waiting_watches"`
	// OverLimit counts reads refused with status 429.
	OverLimit uint64 `json:"over_limit"`
}

// meter counts reads over a sliding second and admits them up to a limit.
type meter struct {
	mu      sync.Mutex
	limit   uint64
	buckets [windowBuckets]uint64
	last    int64 // number of the newest bucket, in bucketWidth since the epoch
	stats   Stats
}

// admit counts a read that arrived at now and reports whether it is within the limit.
func (m *meter) admit(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	within := m.sum() < m.limit
	m.buckets[m.last%windowBuckets]++
	m.stats.PeakReadsPerSecond = max(m.stats.PeakReadsPerSecond, m.sum())
	if within {
		m.stats.ReadsTotal++
	} else {
		m.stats.OverLimit++
	}
	return within
}

func (m *meter) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketWidth)
	if current-m.last >= windowBuckets {
		m.buckets = [windowBuckets]uint64{}
		m.last = current
	}
	for m.last < current {
		m.last++
		m.buckets[m.last%windowBuckets] = 0
	}
}

func (m *meter) sum() uint64 {
	var total uint64
	for _, n := range m.buckets {
		total += n
	}
	return total
}

// watching adds delta to the number of waiting watches.
func (m *meter) watching(delta int64) {
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

// resetPeaks starts both peaks anew from the present values.
func (m *meter) resetPeaks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.stats.PeakReadsPerSecond = m.sum()
	m.stats.PeakWaitingWatches = m.stats.WaitingWatches
}
