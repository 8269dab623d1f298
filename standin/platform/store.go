package platform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
)

// MaxValueBytes bounds every value of the store.
const MaxValueBytes = 1 << 20

// historyPerKey bounds the earlier revisions kept for ModeCrossed.
const historyPerKey = 8

// ErrTooLarge reports a value above MaxValueBytes.
var ErrTooLarge = errors.New("value above 1 MiB")

// Mode is how the service treats its readers.
type Mode string

const (
	// ModeNormal answers each read from the newest revision.
	ModeNormal Mode = "normal"
	// ModeDown answers no read: it closes the connection or sends status 503.
	ModeDown Mode = "down"
	// ModeStale answers from the content at the moment the mode began.
	ModeStale Mode = "stale"
	// ModeSlow delays each answer.
	ModeSlow Mode = "slow"
	// ModeCrossed answers about half of the reads from an earlier revision.
	ModeCrossed Mode = "crossed"
)

// ParseMode reads the name of a mode.
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

// Store holds keys with revisions from one global counter. It is safe for use
// from several goroutines.
type Store struct {
	mu       sync.Mutex
	revision uint64
	mode     Mode
	history  map[string][]Entry
	// frozen is the content that readers see in ModeStale.
	frozen map[string]Entry
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

// SetMode changes how readers are treated.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == ModeStale && s.mode != ModeStale {
		s.frozen = s.newest()
	}
	s.mode = m
	s.wakeReaders()
}

// Mode returns the mode in force.
func (s *Store) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// Read returns what a reader sees of key now. The entry is Deleted if the key is
// absent; its revision is then that of the store, or of the removal. The channel
// is closed at the next change of content or mode.
func (s *Store) Read(key string) (Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.visible(key)
	if !found {
		e = Entry{Revision: s.revision, Deleted: true}
	}
	return e, s.changed
}

// Earlier returns a random revision of key, the newest included.
func (s *Store) Earlier(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.history[key]
	if len(h) == 0 {
		return Entry{}, false
	}
	return h[rand.IntN(len(h))], true
}

func (s *Store) visible(key string) (Entry, bool) {
	if s.mode == ModeStale {
		e, found := s.frozen[key]
		return e, found
	}
	h := s.history[key]
	if len(h) == 0 {
		return Entry{}, false
	}
	return h[len(h)-1], true
}

func (s *Store) newest() map[string]Entry {
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
