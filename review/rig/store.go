package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is the JSON form of an item of the platform's store, or of the removal of a key.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store: range reads and watches with one revision
// counter. It keeps all history. It implements http.Handler.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// put writes a value.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	it := storeItem{Key: key, Value: value, Rev: s.revision, Created: created}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers range reads and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": page, "hasMore": false, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		events, revision, changed := s.eventsAfter(query.Get("prefix"), after)
		if expired || len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-timeout:
			expired = true
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events after a revision, the present revision, and a channel that is
// closed at the next change.
func (s *store) eventsAfter(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, e := range s.events {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	// A write error means that the node has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// size returns the length of a value.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}
