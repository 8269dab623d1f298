package egress

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"auburnladder.example/core/quarantine"
	"auburnladder.example/wire/peerpb"
)

const (
	// unansweredWindow is how long a request that ended without a response counts as one that
	// the server may still be running.
	unansweredWindow = time.Second
	// isolationTime is how long a suspect keeps others away. Requests that run longer would
	// otherwise keep out all equal ones.
	isolationTime = time.Second
	// isolationRetryAfter is when a suspect may come back that was refused because the
	// server was running another one.
	isolationRetryAfter = 100 * time.Millisecond
)

// runningRequests are the requests that were sent to the server and have no complete response.
// It is safe for concurrent use.
type runningRequests struct {
	mu sync.Mutex
	// running holds when each request was sent.
	running map[*exchange]time.Time
	// unanswered are requests that ended without a response within the last
	// unansweredWindow.
	unanswered []unansweredRequest
	// crashed is the process of the server whose crash was reported last, and
	// crashedRequests are the requests that it was running.
	crashed         processID
	crashedRequests []quarantine.Fingerprint
}

// unansweredRequest is a request that ended before its response was complete.
type unansweredRequest struct {
	fingerprint quarantine.Fingerprint
	process     processID
	at          time.Time
}

func newRunningRequests() *runningRequests {
	return &runningRequests{running: make(map[*exchange]time.Time)}
}

// add records that x is sent to the server. It returns a refusal if x is suspected of crashing
// servers and the server is running another suspect: if it crashed, it would not be known which
// one was the cause.
func (r *runningRequests) add(now time.Time, x *exchange) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.quarantineState() != quarantine.Free {
		if err := r.checkIsolation(now, x); err != nil {
			return err
		}
	}
	r.running[x] = now
	return nil
}

// checkIsolation returns a refusal if the server has begun to run a suspect within the last
// isolationTime. It requires mu.
func (r *runningRequests) checkIsolation(now time.Time, x *exchange) error {
	for other, since := range r.running {
		switch {
		case now.Sub(since) >= isolationTime:
		case other.fingerprint() == x.fingerprint():
			return isolationRefusal(peerpb.Refusal_REFUSAL_REPEATED)
		case other.quarantineState() != quarantine.Free:
			return isolationRefusal(peerpb.Refusal_REFUSAL_ISOLATED)
		}
	}
	return nil
}

// isolationRefusal returns the refusal of a suspect that may run after another one.
func isolationRefusal(kind peerpb.Refusal) error {
	return &refusalError{
		refusal:    kind,
		detail:     "servers crashed while they ran this request, and the backend server is running another one of that kind",
		retryAfter: isolationRetryAfter,
	}
}

// remove records that x has ended.
func (r *runningRequests) remove(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, x)
}

// moveToUnanswered records that x ended without a complete response.
func (r *runningRequests) moveToUnanswered(now time.Time, x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, x)
	r.unanswered = slices.DeleteFunc(r.unanswered, func(u unansweredRequest) bool { return now.Sub(u.at) >= unansweredWindow })
	r.unanswered = append(r.unanswered, unansweredRequest{fingerprint: x.fingerprint(), process: x.process, at: now})
}

// takeCrashed calls record with the requests that a process of the server was running when it
// crashed, if there are any.
func (r *runningRequests) takeCrashed(now time.Time, p processID, record func([]quarantine.Fingerprint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var crashed []quarantine.Fingerprint
	for _, u := range r.unanswered {
		if u.process == p && now.Sub(u.at) < unansweredWindow {
			crashed = append(crashed, u.fingerprint)
		}
	}
	for x := range r.running {
		if x.process == p {
			crashed = append(crashed, x.fingerprint())
		}
	}
	r.crashed, r.crashedRequests = p, crashed
	if len(crashed) > 0 {
		record(crashed)
	}
}

// beside returns the requests that the server was running when it crashed under x, nil if it
// did not.
func (r *runningRequests) beside(x *exchange) []quarantine.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.process != r.crashed {
		return nil
	}
	return r.crashedRequests
}

// fingerprint returns what identifies requests that ask for the same.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(x.call.GetFingerprint())
}

// quarantineState returns whether the request may be sent to a server.
func (x *exchange) quarantineState() quarantine.State {
	state, _ := x.egress.Quarantine.State(x.fingerprint())
	return state
}

// checkQuarantine returns a refusal if the request must not be sent to a server.
func (x *exchange) checkQuarantine() error {
	state, left := x.egress.Quarantine.State(x.fingerprint())
	if state != quarantine.Quarantined {
		return nil
	}
	return &refusalError{
		refusal:    peerpb.Refusal_REFUSAL_QUARANTINED,
		detail:     "servers crashed each time they ran this request",
		retryAfter: left,
	}
}

// connectionBroke reports whether err says that the server closed or reset the connection.
func connectionBroke(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordUnanswered records that x ended without a complete response because of err, and finds out
// whether the server crashed.
func (x *exchange) recordUnanswered(ctx context.Context, err error) {
	e := x.egress
	e.runningRequests.moveToUnanswered(e.Now(), x)
	if ctx.Err() == nil && connectionBroke(err) {
		e.pool.probe(ctx)
	}
}

// recordServerEnd records the crash of a process of the server. A server that leaves is expected
// to end.
func (e *Egress) recordServerEnd(p processID) {
	if e.serverLeaves() {
		return
	}
	e.runningRequests.takeCrashed(e.Now(), p, func(running []quarantine.Fingerprint) {
		e.logCrash(running)
		e.Quarantine.RecordCrash(e.crashID(p), running)
	})
}

// crashID returns the identity of the crash of a server process, which no other node and no
// later run of this node uses.
func (e *Egress) crashID(p processID) quarantine.CrashID {
	return quarantine.CrashID(e.crashIDBase + uint64(p))
}

// serverLeaves reports whether the local backend server is leaving or has left.
func (e *Egress) serverLeaves() bool {
	if !e.AdmitByVMList {
		return e.State.Leaving()
	}
	vm := e.localVM()
	return vm == nil || vm.Leaving
}

// logCrash logs the crash of the server that was running the given requests.
func (e *Egress) logCrash(running []quarantine.Fingerprint) {
	egressStats.Add("server_crashes", 1)
	names := make([]string, len(running))
	for i, fp := range running {
		names[i] = fp.String()
	}
	e.Log.Warn().Str("event", "server-crashed").Str("instance", e.localRun().Instance).
		Strs("running", names).Msg("the backend server ended while it was running these requests")
}
