package main

import (
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a backend server as the pages describe it: it checks the instance, runs slots requests at a
// time, queues a few, rejects the rest with X-Not-Executed, and tells its load.
type server struct {
	cluster  *cluster
	machine  *machine
	id       string
	born     int64
	slots    int
	varies   bool
	work     atomic.Int64
	size     atomic.Int64
	sequence atomic.Int64
	draining atomic.Bool
	// handle, if it is set, answers a request that runs, in place of the usual answer.
	handle atomic.Pointer[http.HandlerFunc]
	// extra are header fields of all answers.
	extra atomic.Pointer[map[string]string]

	mu      sync.Mutex
	runs    []run
	running atomic.Int64
	waiting atomic.Int64
	sem     chan struct{}
	http    *http.Server
	stopped chan struct{}
	once    sync.Once
}

// run is one request that the server began to run.
type run struct {
	id, caller string
	at         time.Time
}

const queueLength = 52

func newServer(c *cluster, m *machine, id string) *server {
	s := &server{cluster: c, machine: m, id: id, born: time.Now().UnixMilli(), slots: 13, stopped: make(chan struct{})}
	s.sem = make(chan struct{}, s.slots)
	s.work.Store(int64(20 * time.Millisecond))
	s.size.Store(1500)
	return s
}

// setSlots sets the number of slots before the start.
func (s *server) setSlots(n int) { s.slots, s.sem = n, make(chan struct{}, n) }

func (s *server) start() error {
	l, err := net.Listen("tcp", s.machine.addr(serverPort))
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.report()
	go func() {
		ticker := time.NewTicker(1500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-s.stopped:
				return
			case <-ticker.C:
				s.report()
			}
		}
	}()
	return nil
}

// report writes the server's entry to the store and returns when it was acknowledged.
func (s *server) report() time.Time {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"coldLeft":"0ms"}}`,
		s.machine.addr(serverPort), s.born, s.machine.service, s.machine.zone, s.slots, state, s.sequence.Add(1))
	return s.cluster.store.put("servers/"+s.id, []byte(entry))
}

func (s *server) stop() {
	s.once.Do(func() {
		close(s.stopped)
		if s.http != nil {
			_ = s.http.Close()
		}
	})
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots)
}

// ServeHTTP runs or rejects one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Server-Load", s.load())
	if extra := s.extra.Load(); extra != nil {
		for k, v := range *extra {
			w.Header().Set(k, v)
		}
	}
	if r.URL.Path == "/health" {
		return
	}
	reject := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.sem <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.sem
	}()
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, caller: r.Header.Get("X-Caller-Service"), at: time.Now()})
	s.mu.Unlock()
	if h := s.handle.Load(); h != nil {
		(*h)(w, r)
		return
	}
	select {
	case <-time.After(time.Duration(s.work.Load())):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	body := strings.Repeat("x", s.answerSize())
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write([]byte(body))
}

// answerSize returns the size of the next answer. Those of downloads vary as the pages' site files say: with the mean size, a
// spread of 0.6 and at most six times the mean.
func (s *server) answerSize() int {
	mean := float64(s.size.Load())
	if !s.varies {
		return int(mean)
	}
	const spread = 0.6
	return int(min(mean*math.Exp(spread*rand.NormFloat64()-spread*spread/2), 6*mean))
}

// ran returns the runs of the server so far.
func (s *server) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
