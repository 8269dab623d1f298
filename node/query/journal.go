package query

import (
	"sync"
	"time"

	"auburnladder.example/core/statusapi"
)

// JournalSize is the number of entries that a journal holds. Newer entries overwrite the oldest.
const JournalSize = 512

// Journal is a ring buffer of the node's actions and their causes. Its methods are safe for
// concurrent use; the request path never uses it.
type Journal struct {
	now func() time.Time

	mu      sync.Mutex
	entries [JournalSize]statusapi.JournalEntry
	// recorded counts all entries since the start. Entry n, from 1, has the index (n-1) modulo
	// JournalSize.
	recorded uint64
}

// NewJournal returns an empty journal. now returns the time of entries that have none.
func NewJournal(now func() time.Time) *Journal {
	return &Journal{now: now}
}

// Record appends e, sets its number, and sets its time if that is zero. A nil journal records
// nothing.
func (j *Journal) Record(e statusapi.JournalEntry) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.At.IsZero() {
		e.At = j.now()
	}
	j.recorded++
	e.Number = j.recorded
	j.entries[(e.Number-1)%JournalSize] = e
}

// Since returns the entries with a number above after, oldest first, and the number of such
// entries that were overwritten. A nil journal has no entries.
func (j *Journal) Since(after uint64) (entries []statusapi.JournalEntry, dropped uint64) {
	if j == nil {
		return nil, 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if after >= j.recorded {
		return nil, 0
	}
	first := after + 1
	if oldest := j.recorded - min(j.recorded, JournalSize) + 1; oldest > first {
		dropped = oldest - first
		first = oldest
	}
	for n := first; n <= j.recorded; n++ {
		entries = append(entries, j.entries[(n-1)%JournalSize])
	}
	return entries, dropped
}

// refusedReleases returns the latest refusal of each release that the journal still holds,
// newest first.
func (j *Journal) refusedReleases() []statusapi.RefusedRelease {
	entries, _ := j.Since(0)
	var releases []statusapi.RefusedRelease
	seen := make(map[string]bool)
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		version := e.Release.String()
		if e.Kind != statusapi.JournalReleaseRefused || seen[version] {
			continue
		}
		seen[version] = true
		releases = append(releases, statusapi.RefusedRelease{Version: e.Release, Reason: e.Cause, Field: e.Field, At: e.At})
	}
	return releases
}

// conflicts returns the release conflicts that the journal still holds, newest first.
func (j *Journal) conflicts() []statusapi.Conflict {
	entries, _ := j.Since(0)
	var conflicts []statusapi.Conflict
	for i := len(entries) - 1; i >= 0; i-- {
		if e := entries[i]; e.Kind == statusapi.JournalReleaseConflict {
			conflicts = append(conflicts, statusapi.Conflict{Kept: e.Release, Dropped: e.Other, At: e.At})
		}
	}
	return conflicts
}
