package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"auburnladder.example/platform/standin"
	"github.com/sourcegraph/conc"
)

// CallerKind is a kind of requests that callers of a CallerLoad send.
type CallerKind struct {
	Method, Host, Path string
	BodyBytes          int
	// Keep makes a caller use its connection until the node closes it.
	Keep bool
	// Deadline is sent with each request.
	Deadline time.Duration
	// Pause is the time between an answer and the next request of the caller.
	Pause time.Duration
	// ReadDelay is waited after each part of an answer that is read.
	ReadDelay time.Duration
}

// CallerRecord is one request of a CallerLoad.
type CallerRecord struct {
	ID   string
	Kind *CallerKind
	// Sent is when the last byte was sent, and Ended when the answer or the connection ended.
	Sent, Ended time.Time
	// Status is 0 if the connection ended without a complete answer, for which Err is the reason.
	Status int
	Err    error
	// Sealed reports whether the answer is one of a server.
	Sealed bool
}

// Cut reports whether the connection ended without a complete answer.
func (r *CallerRecord) Cut() bool { return r.Status == 0 }

// CallerLoad is a number of callers of one node that send requests one after the other.
type CallerLoad struct {
	addr    string
	next    atomic.Uint64
	stopped atomic.Bool
	callers conc.WaitGroup
	mu      sync.Mutex
	records []CallerRecord
}

// StartCallers starts callers of a VM's node, a number of them for each kind.
func (c *StoreCluster) StartCallers(vm *StoreVM, number int, kinds ...CallerKind) *CallerLoad {
	l := &CallerLoad{addr: vm.Address(storeCallerPort)}
	for i := range kinds {
		for range number {
			l.callers.Go(func() { l.runCaller(&kinds[i]) })
		}
	}
	return l
}

// Stop ends the load and returns its records.
func (l *CallerLoad) Stop() []CallerRecord {
	l.stopped.Store(true)
	l.callers.Wait()
	return l.records
}

func (l *CallerLoad) runCaller(kind *CallerKind) {
	var conn net.Conn
	var br *bufio.Reader
	for !l.stopped.Load() {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", l.addr, time.Second); err != nil {
				conn = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(&slowReader{conn, kind.ReadDelay})
		}
		record, closes := l.send(kind, conn, br)
		l.mu.Lock()
		l.records = append(l.records, record)
		l.mu.Unlock()
		if closes {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(kind.Pause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// slowReader waits after each read.
type slowReader struct {
	net.Conn
	delay time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	time.Sleep(r.delay)
	return n, err
}

// send sends one request and reads its answer. It reports whether the connection is at its end.
func (l *CallerLoad) send(kind *CallerKind, conn net.Conn, br *bufio.Reader) (CallerRecord, bool) {
	r := CallerRecord{ID: fmt.Sprintf("%s-%d", l.addr, l.next.Add(1)), Kind: kind}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind.Method, kind.Path, kind.Host, standin.RequestIDHeader, r.ID, standin.DeadlineHeader, kind.Deadline.Milliseconds(),
		kind.BodyBytes, strings.Repeat("x", kind.BodyBytes))
	_ = conn.SetDeadline(time.Now().Add(kind.Deadline + WaitTimeout/2))
	_, err := io.WriteString(conn, text)
	r.Sent = time.Now()
	closes := true
	if err == nil {
		closes, err = r.read(br)
	}
	r.Ended = time.Now()
	r.Err = err
	return r, closes || !kind.Keep
}

func (r *CallerRecord) read(br *bufio.Reader) (closes bool, err error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return true, err
	}
	r.Status, r.Sealed = resp.StatusCode, resp.Header.Get("X-Server-Seal") != ""
	return resp.Close, nil
}

// ServerLog records when servers ran requests.
type ServerLog struct {
	mu   sync.Mutex
	runs map[string][]*ServerRun
}

// ServerRun is one run of a request at a server. End is zero while the server is at work.
type ServerRun struct{ Begin, End time.Time }

// Record makes the servers of all VMs record their runs in the returned log. It must be called before
// the first request.
func (c *StoreCluster) Record() *ServerLog {
	log := &ServerLog{runs: make(map[string][]*ServerRun)}
	for _, vm := range c.VMs {
		vm.Server.OnRun = func(id, _ string) {
			log.mu.Lock()
			defer log.mu.Unlock()
			log.runs[id] = append(log.runs[id], &ServerRun{Begin: time.Now()})
		}
		vm.Server.OnEnd = func(id string) {
			log.mu.Lock()
			defer log.mu.Unlock()
			for _, run := range log.runs[id] {
				if run.End.IsZero() {
					run.End = time.Now()
					return
				}
			}
		}
	}
	return log
}

// PassedOn reports whether the request reached a server.
func (g *ServerLog) PassedOn(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs[id]) > 0
}

// AtWork reports whether a server was at work on the request at the given time.
func (g *ServerLog) AtWork(id string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, run := range g.runs[id] {
		if run.Begin.Before(at) && (run.End.IsZero() || run.End.After(at)) {
			return true
		}
	}
	return false
}

// lossSlack is how long after its last byte a request may end without an answer if it reached no server.
const lossSlack = 200 * time.Millisecond

// StopRule is the platform's rule on requests around a planned stop of the node that took them.
type StopRule struct {
	Log *ServerLog
	// Signal is when SIGTERM was sent.
	Signal time.Time
	Grace  time.Duration
	// Timeout is the time-out of the routes.
	Timeout time.Duration
}

// lateSend is how long after SIGTERM a request may be sent whose server may still be at work at the end.
const lateSend = 3 * time.Second

// Lost returns how the rule is broken for a request, or nil.
func (s *StopRule) Lost(r *CallerRecord) error {
	limit := min(r.Kind.Deadline, s.Timeout)
	passedOn := s.Log.PassedOn(r.ID)
	atWork := s.Log.AtWork(r.ID, r.Ended)
	lastSixth := s.Signal.Add(s.Grace * 5 / 6)
	// A reset connection may not have been read.
	unread := !passedOn && (errors.Is(r.Err, syscall.ECONNRESET) || errors.Is(r.Err, syscall.EPIPE))
	switch {
	case r.Ended.Before(s.Signal) || r.Ended.After(s.Signal.Add(s.Grace+time.Second)):
		return nil
	case r.Ended.Sub(r.Sent) >= limit:
		return nil
	case s.Log.AtWork(r.ID, lastSixth) && r.Sent.Before(s.Signal.Add(lateSend)):
		return nil
	case r.Cut() && (passedOn || !unread && r.Ended.Sub(r.Sent) > lossSlack):
	case !r.Cut() && !r.Sealed && atWork:
	default:
		return nil
	}
	return fmt.Errorf("%s %s%s: sent %s after SIGTERM, ended %s after it with status %d (%v), passed on %t, server at work %t",
		r.Kind.Method, r.Kind.Host, r.Kind.Path, r.Sent.Sub(s.Signal), r.Ended.Sub(s.Signal), r.Status, r.Err, passedOn, atWork)
}
