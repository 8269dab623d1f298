package backend

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load is the answer of /_load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// laggingLoad reports a number that is up to lag old.
type laggingLoad struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   int
	updated time.Time
}

func (l *laggingLoad) update(inFlight int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.updated) >= l.lag {
		l.shown = inFlight
		l.updated = now
	}
}

func (l *laggingLoad) get() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shown
}

// health says whether the server takes work, or the opposite if it misleads.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	healthy := !s.leaving.Load()
	if s.config.MisleadingHealth {
		healthy = !healthy
	}
	if !healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) showLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Load{InFlight: s.load.get(), Slots: s.config.Slots})
}

// drain answers 503 once the server wants to leave.
func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("staying\n"))
}

// beginStop starts the graceful shutdown and answers before it ends.
func (s *Server) beginStop(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.CompareAndSwap(false, true) {
		close(s.stop)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) showHistory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	_, _ = s.history.WriteTo(w)
}

// countConn closes a new connection above the limit.
func (s *Server) countConn(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > int64(s.config.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}
