package egress

import (
	"slices"
	"sync"
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
