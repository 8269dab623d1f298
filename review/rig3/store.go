package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is the JSON form of an item of the store, or of the removal of a key.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store: reads, watches, an era, and nothing else.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	// answer, if it is set, may answer a call in place of the store and returns true then.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	return &store{revision: 1, era: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value and returns when it was acknowledged.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.revision, Created: created}
	s.items[key] = it
	s.events = append(s.events, it)
	s.wake()
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Rev: s.revision, Removed: true})
		s.wake()
	}
	return time.Now()
}

// backup is a copy of the content of a store.
type backup struct {
	revision uint64
	items    map[string]item
	events   []item
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backup{revision: s.revision, items: make(map[string]item), events: append([]item(nil), s.events...)}
	for k, v := range s.items {
		b.items[k] = v
	}
	return b
}

// restore makes the store come back from a copy of itself.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.events = b.revision, b.items, b.events
	s.era++
	s.wake()
}

func (s *store) setAnswer(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
	s.wake()
}

func (s *store) intercepted(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.answer
	s.mu.Unlock()
	return f != nil && f(w, r)
}

func (s *store) write(w http.ResponseWriter, status int, era uint64, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

// ServeHTTP answers the calls that the pages describe.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.intercepted(w, r) {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-key":
		s.mu.Lock()
		it, found := s.items[q.Get("key")]
		revision, era := s.revision, s.era
		s.mu.Unlock()
		if !found {
			s.write(w, http.StatusNotFound, era, nil)
			return
		}
		s.write(w, http.StatusOK, era, struct {
			item
			StoreRevision uint64 `json:"storeRevision"`
		}{it, revision})
	case "/-/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 50

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var page []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, it)
		}
	}
	revision, era := s.revision, s.era
	s.mu.Unlock()
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	more := len(page) > pageItems
	if more {
		page = page[:pageItems]
	}
	s.write(w, http.StatusOK, era, struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"hasMore"`
		StoreRevision uint64 `json:"storeRevision"`
	}{page, more, revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for expired := false; ; {
		s.mu.Lock()
		lost := after > s.revision
		var events []item
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, era, changed := s.revision, s.era, s.changed
		s.mu.Unlock()
		if lost {
			s.write(w, http.StatusGone, era, nil)
			return
		}
		if expired || len(events) > 0 {
			s.write(w, http.StatusOK, era, struct {
				Events        []item `json:"events"`
				StoreRevision uint64 `json:"storeRevision"`
			}{events, revision})
			return
		}
		select {
		case <-timeout:
			expired = true
		case <-changed:
			if s.intercepted(w, r) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// serve listens on a free loopback port and returns the address.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return l.Addr().String(), nil
}
