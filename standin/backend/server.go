// Package backend is a stand-in for a backend server in tests and the demo. It has a
// limited number of slots, slow start, load shedding, graceful shutdown, fault injection
// by request header, and a history of all received requests.
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
	// RequestIDHeader carries the caller's request ID.
	RequestIDHeader = "X-Request-Id"
	// VMHeader carries the ID of the VM that responded.
	VMHeader = "X-Backend-VM"

	maxBodyBytes = 64 << 20
	maxBigBytes  = 256 << 20
)

// Config is the configuration of one backend server.
type Config struct {
	Service string
	VM      string
	// Slots is the maximum number of concurrent requests. Further requests are shed with
	// status 503.
	Slots int
	// Connections is the maximum number of open connections. Further connections are closed
	// immediately.
	Connections int
	// Work is the processing time of a request after the slow start.
	Work time.Duration
	// ColdStart is the duration of the slow start. ColdFactor multiplies Work at the start
	// of the server and falls linearly to 1 over ColdStart.
	ColdStart  time.Duration
	ColdFactor float64
	// Faults enables fault injection by FaultHeader.
	Faults bool
	// MisleadingHealth makes /_health report the opposite of the server's health.
	MisleadingHealth bool
	// StopPath is the path where a POST starts the graceful shutdown.
	StopPath string
	// LoadLag is the minimum interval between updates of the load that /_load reports.
	LoadLag time.Duration
}

// DefaultConfig returns the configuration of a Zaalwijzer server.
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

// Response is the JSON body of the response to an ordinary request.
type Response struct {
	Service    string `json:"service"`
	VM         string `json:"vm"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	RequestID  string `json:"request_id"`
	BodyBytes  int64  `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"`
}

// Server is a stand-in backend server.
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

// New returns a server. If history is not nil, the start and the end of each request are
// also written to it as JSON lines.
func New(config Config, history io.Writer) *Server {
	s := &Server{
		config:  config,
		started: time.Now(),
		slots:   make(chan struct{}, config.Slots),
		history: History{out: history},
		load:    laggingLoad{lag: config.LoadLag},
		stop:    make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.Handler(), ConnState: s.limitConns}
	return s
}

// Serve serves requests until ctx ends or a POST to StopPath arrives, then waits until all
// requests in flight have ended.
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
		return fmt.Errorf("backend server stopped serving: %w", err)
	}
	wg.Wait()
	return shutdown
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveWork)
	mux.HandleFunc("GET /_health", s.serveHealth)
	mux.HandleFunc("GET /_load", s.serveLoad)
	mux.HandleFunc("GET /_drain", s.serveDrain)
	mux.HandleFunc("POST "+s.config.StopPath, s.startShutdown)
	mux.HandleFunc("GET /_log", s.serveHistory)
	return mux
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
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

// outcome is the part of a Record that is known when the request ends.
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
	if !s.simulateWork(r.Context(), f) {
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
	s.sendResponse(w, r, f, out, hex.EncodeToString(hash.Sum(nil)))
}

func (s *Server) sendResponse(w http.ResponseWriter, r *http.Request, f fault, out *outcome, digest string) {
	body, err := json.Marshal(Response{
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

// simulateWork waits for the processing time of the request, or until the client disconnects.
// It reports whether the processing time has elapsed.
func (s *Server) simulateWork(ctx context.Context, f fault) bool {
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

// workTime returns Work, multiplied by the slow-start factor while the server warms up.
func (s *Server) workTime(now time.Time) time.Duration {
	age := now.Sub(s.started)
	if age >= s.config.ColdStart {
		return s.config.Work
	}
	remaining := 1 - float64(age)/float64(s.config.ColdStart)
	factor := 1 + remaining*(s.config.ColdFactor-1)
	return time.Duration(float64(s.config.Work) * factor)
}

// sendBig sends a repeated pattern of as many bytes as the query parameter bytes requests.
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
