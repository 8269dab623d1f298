package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of a key.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store. It never fails. It implements http.Handler.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: []byte(value), Rev: s.rev, Created: s.rev}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/kv-key":
		s.serveKey(w, r)
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "storeRevision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		events, rev, changed := s.eventsAfter(query.Get("prefix"), after)
		if expired || len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-end:
			expired = true
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) (events []item, rev uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, e := range s.events {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.rev, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	// An error means that the node has left.
	_ = json.NewEncoder(w).Encode(v)
}
