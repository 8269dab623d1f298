package platform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
)

// MaxValueBytes is the maximum size of a value in the store.
const MaxValueBytes = 1 << 20

// historyPerKey is the number of revisions kept per key for ModeCrossed, the newest included.
const historyPerKey = 8

// ErrTooLarge reports a value larger than MaxValueBytes.
var ErrTooLarge = errors.New("value above 1 MiB")

// Mode selects the failure that the service simulates for its readers.
type Mode string

const (
	// ModeNormal responds to each read with the newest revision.
	ModeNormal Mode = "normal"
	// ModeDown fails each read: it closes the connection or sends status 503.
	ModeDown Mode = "down"
	// ModeStale responds with the content as of the moment the mode was set.
	ModeStale Mode = "stale"
	// ModeSlow delays each response.
	ModeSlow Mode = "slow"
	// ModeCrossed responds to about half of the reads with a random kept revision.
	ModeCrossed Mode = "crossed"
)

// ParseMode returns the mode with the given name.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case ModeNormal, ModeDown, ModeStale, ModeSlow, ModeCrossed:
		return m, nil
	default:
		return "", fmt.Errorf("mode %q is none of normal, down, stale, slow, crossed", name)
	}
}

// Entry is one revision of a key. Value must not be changed.
type Entry struct {
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Store holds keys with revisions from one global counter. Its methods are safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	mode     Mode
	history  map[string][]Entry
	// staleContent is the content that readers receive in ModeStale.
	staleContent map[string]Entry
	// changed is closed and replaced at each write and each change of mode.
	changed chan struct{}
}

// NewStore returns an empty store in ModeNormal.
func NewStore() *Store {
	return &Store{mode: ModeNormal, history: make(map[string][]Entry), changed: make(chan struct{})}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value []byte) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return s.write(key, Entry{Value: value}), nil
}

// Delete removes a key and returns the revision of the removal.
func (s *Store) Delete(key string) uint64 {
	return s.write(key, Entry{Deleted: true})
}

func (s *Store) write(key string, e Entry) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision = s.revision
	h := append(s.history[key], e)
	if len(h) > historyPerKey {
		h = h[len(h)-historyPerKey:]
	}
	s.history[key] = h
	s.wakeReaders()
	return e.Revision
}

// SetMode sets the mode and wakes all waiting watches.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == ModeStale && s.mode != ModeStale {
		s.staleContent = s.newestEntries()
	}
	s.mode = m
	s.wakeReaders()
}

// Mode returns the current mode.
func (s *Store) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// Read returns the current entry of key as the mode presents it. If the key is absent, the
// entry is marked Deleted and its revision is that of the removal, or that of the store if
// there is no entry. The channel is closed at the next change of content or mode.
func (s *Store) Read(key string) (Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.visible(key)
	if !found {
		e = Entry{Revision: s.revision, Deleted: true}
	}
	return e, s.changed
}

// RandomRevision returns a random kept revision of key, possibly the newest.
func (s *Store) RandomRevision(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.history[key]
	if len(h) == 0 {
		return Entry{}, false
	}
	return h[rand.IntN(len(h))], true
}

// visible returns the entry that readers receive. The caller holds mu.
func (s *Store) visible(key string) (Entry, bool) {
	if s.mode == ModeStale {
		e, found := s.staleContent[key]
		return e, found
	}
	h := s.history[key]
	if len(h) == 0 {
		return Entry{}, false
	}
	return h[len(h)-1], true
}

// newestEntries returns the newestEntries entry of each key. The caller holds mu.
func (s *Store) newestEntries() map[string]Entry {
	all := make(map[string]Entry, len(s.history))
	for key, h := range s.history {
		all[key] = h[len(h)-1]
	}
	return all
}

func (s *Store) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
