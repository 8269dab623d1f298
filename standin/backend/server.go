// Package backend is a small stand-in for a backend server: a number of slots,
// cold start, load shedding, graceful shutdown, faults on request, and a history
// of every request that reached it.
package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// RequestIDHeader names the caller's request.
	RequestIDHeader = "X-Request-Id"
	// VMHeader names the VM that answered.
	VMHeader = "X-Backend-VM"

	maxBodyBytes = 64 << 20
	maxBigBytes  = 256 << 20
)

// Config describes one backend server.
type Config struct {
	Service string
	VM      string
	// Slots is the number of requests worked on at once; more are shed with 503.
	Slots int
	// Connections bounds the open connections; more are closed at once.
	Connections int
	// Work is how long a warm server works on a request.
	Work time.Duration
	// ColdStart is how long after its start the server takes to reach full speed;
	// ColdFactor multiplies Work at the start and falls linearly to 1.
	ColdStart  time.Duration
	ColdFactor float64
	// Faults allows FaultHeader.
	Faults bool
	// MisleadingHealth makes /_health say the opposite of the truth.
	MisleadingHealth bool
	// StopPath is where a POST begins the graceful shutdown.
	StopPath string
	// LoadLag is how old the answer of /_load may be.
	LoadLag time.Duration
}

// DefaultConfig returns the limits of a server of Zaalwijzer.
func DefaultConfig() Config {
	return Config{
		Slots:       10,
		Connections: 110,
		Work:        2 * time.Millisecond,
		ColdFactor:  3,
		StopPath:    "/_stop",
		LoadLag:     2 * time.Second,
	}
}

// Answer is the body that the server sends to an ordinary request.
type Answer struct {
	Service    string `json:"service"`
	VM         string `json:"vm"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	RequestID  string `json:"request_id"`
	BodyBytes  int64  `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"`
}

// Server is one backend server.
type Server struct {
	config  Config
	http    *http.Server
	started time.Time
	slots   chan struct{}
	history History
	load    laggingLoad
	conns   atomic.Int64
	leaving atomic.Bool
	stop    chan struct{}
}

// New returns a server. Each request is also written to history unless it is nil.
func New(config Config, history io.Writer) *Server {
	s := &Server{
		config:  config,
		started: time.Now(),
		slots:   make(chan struct{}, config.Slots),
		history: History{out: history},
		load:    laggingLoad{lag: config.LoadLag},
		stop:    make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.Handler(), ConnState: s.countConn}
	return s
}

// Serve answers requests until the server was told to stop and every request in
// flight has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	served := make(chan struct{})
	var shutdown error
	var wg conc.WaitGroup
	wg.Go(func() {
		select {
		case <-s.stop:
		case <-ctx.Done():
			s.leaving.Store(true)
		case <-served:
			return
		}
		shutdown = s.http.Shutdown(context.Background())
	})
	err := s.http.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		close(served)
		wg.Wait()
		return fmt.Errorf("backend server: %w", err)
	}
	wg.Wait()
	return shutdown
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.work)
	mux.HandleFunc("GET /_health", s.health)
	mux.HandleFunc("GET /_load", s.showLoad)
	mux.HandleFunc("GET /_drain", s.drain)
	mux.HandleFunc("POST "+s.config.StopPath, s.beginStop)
	mux.HandleFunc("GET /_log", s.showHistory)
	return mux
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	sequence := s.history.begin(Record{
		VM:        s.config.VM,
		RequestID: r.Header.Get(RequestIDHeader),
		Method:    r.Method,
		Path:      r.URL.Path,
		Start:     time.Now(),
	})
	out := &outcome{}
	defer func() {
		s.history.end(sequence, func(rec *Record) {
			rec.End = time.Now()
			rec.Status = out.status
			rec.BodyBytes = out.bodyBytes
			rec.Shed = out.shed
			rec.Cancelled = r.Context().Err() != nil
		})
	}()
	s.serveSlot(w, r, out)
}

// outcome is what the history says about an answer.
type outcome struct {
	status    int
	bodyBytes int64
	shed      bool
}

func (s *Server) serveSlot(w http.ResponseWriter, r *http.Request, out *outcome) {
	select {
	case s.slots <- struct{}{}:
	default:
		out.shed = true
		out.status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are busy", out.status)
		return
	}
	defer func() { <-s.slots }()
	s.load.update(len(s.slots), time.Now())
	s.serveRequest(w, r, out)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, out *outcome) {
	f, err := s.requestedFault(r)
	if err != nil {
		out.status = http.StatusBadRequest
		http.Error(w, err.Error(), out.status)
		return
	}
	hash := sha256.New()
	out.bodyBytes, err = io.Copy(hash, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		out.status = http.StatusBadRequest
		http.Error(w, err.Error(), out.status)
		return
	}
	if !s.spend(r.Context(), f) {
		return
	}
	if f.close {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(VMHeader, s.config.VM)
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	out.status = http.StatusOK
	if f.status != 0 {
		out.status = f.status
	}
	if r.URL.Path == "/big" {
		sendBig(w, r)
		return
	}
	s.sendAnswer(w, r, f, out, hex.EncodeToString(hash.Sum(nil)))
}

func (s *Server) sendAnswer(w http.ResponseWriter, r *http.Request, f fault, out *outcome, digest string) {
	body, err := json.Marshal(Answer{
		Service:    s.config.Service,
		VM:         s.config.VM,
		Method:     r.Method,
		Path:       r.URL.Path,
		RequestID:  r.Header.Get(RequestIDHeader),
		BodyBytes:  out.bodyBytes,
		BodySHA256: digest,
	})
	if err != nil {
		out.status = http.StatusInternalServerError
		http.Error(w, err.Error(), out.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if f.truncate {
		sendTruncated(w, out.status, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(out.status)
	_, _ = w.Write(body)
}

// spend works for the time that the request takes, or until the client leaves.
// It reports whether the work was done.
func (s *Server) spend(ctx context.Context, f fault) bool {
	if f.hang {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(s.workTime(time.Now()) + f.slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// workTime returns Work, lengthened while the server is cold.
func (s *Server) workTime(now time.Time) time.Duration {
	age := now.Sub(s.started)
	if age >= s.config.ColdStart {
		return s.config.Work
	}
	cold := 1 - float64(age)/float64(s.config.ColdStart)
	factor := 1 + cold*(s.config.ColdFactor-1)
	return time.Duration(float64(s.config.Work) * factor)
}

// sendBig sends the number of bytes that the query asks for: a repeated pattern.
func sendBig(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > maxBigBytes {
		http.Error(w, "bytes: expected a number up to 256 MiB", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	pattern := bytes.Repeat([]byte("0123456789abcdef"), 2048)
	for size > 0 {
		n := min(size, len(pattern))
		if _, err := w.Write(pattern[:n]); err != nil {
			return
		}
		size -= n
	}
}
