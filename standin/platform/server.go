// Package platform is a stand-in for the platform's configuration service. It stores keys
// with revisions that nodes read and watch, limits the rate of reads, and has modes that
// simulate failures. Operators publish through its /admin paths.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// RevisionHeader carries the revision of the key's last change.
const RevisionHeader = "X-Revision"

// Config holds the limits and delays of the stand-in.
type Config struct {
	// ReadLimit is the maximum number of reads per second over all readers. A higher
	// limit would hide reconnect storms.
	ReadLimit uint64
	// SlowDelay is the delay of each response in ModeSlow.
	SlowDelay time.Duration
	// MaxWait is the upper limit of the wait that a watch requests.
	MaxWait time.Duration
}

// DefaultConfig returns the limits of the platform's configuration service.
func DefaultConfig() Config {
	return Config{ReadLimit: 2000, SlowDelay: 2 * time.Second, MaxWait: time.Minute}
}

// Server serves readers and publishing operators over HTTP.
type Server struct {
	config Config
	store  *Store
	meter  meter
}

// New returns a server with an empty store.
func New(config Config) *Server {
	return &Server{config: config, store: NewStore(), meter: meter{limit: config.ReadLimit}}
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.read)
	mux.HandleFunc("PUT /admin/kv/{key...}", s.put)
	mux.HandleFunc("DELETE /admin/kv/{key...}", s.remove)
	mux.HandleFunc("PUT /admin/mode/{mode}", s.setMode)
	mux.HandleFunc("GET /admin/stats", s.stats)
	mux.HandleFunc("POST /admin/stats/reset", s.resetPeaks)
	return mux
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.meter.admit(time.Now()) {
		http.Error(w, "over the limit of reads per second", http.StatusTooManyRequests)
		return
	}
	switch s.store.Mode() {
	case ModeDown:
		failRead(w)
		return
	case ModeSlow:
		if !delay(r, s.config.SlowDelay) {
			return
		}
	}
	key := r.PathValue("key")
	if r.URL.Query().Has("watch") {
		s.watch(w, r, key)
		return
	}
	e, _ := s.store.Read(key)
	s.respond(w, key, e)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		http.Error(w, "watch: expected a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		http.Error(w, "wait: expected a duration such as 30s", http.StatusBadRequest)
		return
	}
	s.meter.addWaitingWatches(+1)
	defer s.meter.addWaitingWatches(-1)
	timeout := time.NewTimer(min(wait, s.config.MaxWait))
	defer timeout.Stop()
	for {
		e, changed := s.store.Read(key)
		if s.store.Mode() == ModeDown {
			failRead(w)
			return
		}
		if e.Revision > after && !e.Deleted {
			s.respond(w, key, e)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.Header().Set(RevisionHeader, strconv.FormatUint(e.Revision, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) respond(w http.ResponseWriter, key string, e Entry) {
	if s.store.Mode() == ModeCrossed && rand.IntN(2) == 0 {
		if earlier, found := s.store.RandomRevision(key); found {
			e = earlier
		}
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(e.Revision, 10))
	if e.Deleted {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Value)))
	_, _ = w.Write(e.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, ErrTooLarge.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := s.store.Put(r.PathValue("key"), value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision := s.store.Delete(r.PathValue("key"))
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setMode(w http.ResponseWriter, r *http.Request) {
	mode, err := ParseMode(r.PathValue("mode"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetMode(mode)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	stats := s.meter.snapshot(time.Now())
	stats.Mode = s.store.Mode()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(stats)
}

func (s *Server) resetPeaks(w http.ResponseWriter, _ *http.Request) {
	s.meter.resetPeaks(time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// failRead fails a read: it closes the connection in about half of the cases and responds with
// status 503 in the others.
func failRead(w http.ResponseWriter) {
	if rand.IntN(2) == 0 {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "service is down", http.StatusServiceUnavailable)
}

// delay waits for d. It returns false if the reader disconnects first.
func delay(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
