package backend

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load is the response of /_load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// laggingLoad is a load figure that is updated at most once per lag, so that tests can report
// an outdated load.
type laggingLoad struct {
	mu       sync.Mutex
	lag      time.Duration
	reported int
	updated  time.Time
}

func (l *laggingLoad) update(inFlight int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.updated) >= l.lag {
		l.reported = inFlight
		l.updated = now
	}
}

func (l *laggingLoad) get() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reported
}

// serveHealth reports whether the server accepts requests, or the opposite with MisleadingHealth.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
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

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Load{InFlight: s.load.get(), Slots: s.config.Slots})
}

// serveDrain responds with status 503 once the server is leaving.
func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("staying\n"))
}

// startShutdown starts the graceful shutdown and responds before it has completed.
func (s *Server) startShutdown(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.CompareAndSwap(false, true) {
		close(s.stop)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveHistory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	_, _ = s.history.WriteTo(w)
}

// limitConns counts open connections and closes a new one that exceeds Config.Connections.
func (s *Server) limitConns(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > int64(s.config.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}
