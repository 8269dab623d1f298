package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// event is one request that a server began to run.
type event struct {
	id, method, uri string
}

// recorder writes record.txt and keeps what the servers saw. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// runs holds the requests that a server began to run.
	runs []event
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// now returns the time since the beginning of the record.
func (r *recorder) now() time.Duration { return time.Since(r.began) }

// note writes one line to the record.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *recorder) noteLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// begin records that a server began to run a request.
func (r *recorder) begin(b *backend, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := event{id: req.Header.Get("X-Request-Id"), method: req.Method, uri: req.RequestURI}
	r.runs = append(r.runs, e)
	r.noteLocked("server %s (%s) runs request %s: %s %s", b.instance, b.service, e.id, e.method, e.uri)
}

// countRuns returns how often each request ran.
func (r *recorder) countRuns() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := make(map[string]int)
	for _, e := range r.runs {
		count[e.id]++
	}
	return count
}
