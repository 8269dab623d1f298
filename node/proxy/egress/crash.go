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
)

const (
	// crashProbeTimeout limits the connection attempt that finds out whether the server
	// process is gone.
	crashProbeTimeout = 250 * time.Millisecond
	// brokenWindow is how long after its connection broke a request counts as one that the
	// server was running when it crashed.
	brokenWindow = time.Second
)

// runningRequests are the requests that were sent to the server and have no complete response.
// It is safe for concurrent use.
type runningRequests struct {
	mu      sync.Mutex
	running map[*exchange]struct{}
	// broken are requests whose connection broke within the last brokenWindow.
	broken []brokenRequest
	// crashed is the process of the server whose crash was reported last.
	crashed processID
}

// brokenRequest is a request whose connection broke before the response was complete.
type brokenRequest struct {
	fingerprint quarantine.Fingerprint
	process     processID
	at          time.Time
}

func newRunningRequests() *runningRequests {
	return &runningRequests{running: make(map[*exchange]struct{})}
}

// add records that x is sent to the server.
func (r *runningRequests) add(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[x] = struct{}{}
}

// remove records that x has ended.
func (r *runningRequests) remove(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, x)
}

// moveToBroken records that the connection of x broke.
func (r *runningRequests) moveToBroken(now time.Time, x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, x)
	r.broken = slices.DeleteFunc(r.broken, func(b brokenRequest) bool { return now.Sub(b.at) >= brokenWindow })
	r.broken = append(r.broken, brokenRequest{fingerprint: x.fingerprint(), process: x.process, at: now})
}

// takeCrashed returns the requests that a process of the server was running when it crashed. It
// returns false if the crash was taken before.
func (r *runningRequests) takeCrashed(p processID) ([]quarantine.Fingerprint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p <= r.crashed {
		return nil, false
	}
	r.crashed = p
	var crashed []quarantine.Fingerprint
	for _, b := range r.broken {
		if b.process == p {
			crashed = append(crashed, b.fingerprint)
		}
	}
	for x := range r.running {
		if x.process == p {
			crashed = append(crashed, x.fingerprint())
		}
	}
	return crashed, true
}

// fingerprint returns what identifies requests that ask for the same.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(x.call.GetFingerprint())
}

// connectionBroke reports whether err says that the server closed or reset the connection.
func connectionBroke(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkCrash finds out whether the connection of x broke because the server crashed, and
// reports the crash. A server that leaves is expected to end.
func (x *exchange) checkCrash(ctx context.Context) {
	e := x.egress
	e.runningRequests.moveToBroken(e.Now(), x)
	if e.serverLeaves() || !e.pool.processEnded(ctx, x.process) {
		return
	}
	if crashed, first := e.runningRequests.takeCrashed(x.process); first {
		e.reportCrash(x, crashed)
	}
}

// serverLeaves reports whether the local backend server is leaving or has left.
func (e *Egress) serverLeaves() bool {
	if !e.AdmitByVMList {
		return e.State.Leaving()
	}
	vm := e.localVM()
	return vm == nil || vm.Leaving
}

// reportCrash logs the crash of the server that was running the given requests.
func (e *Egress) reportCrash(x *exchange, running []quarantine.Fingerprint) {
	egressStats.Add("server_crashes", 1)
	names := make([]string, len(running))
	for i, fp := range running {
		names[i] = fp.String()
	}
	e.Log.Warn().Str("event", "server-crashed").Str("instance", x.target.Instance).
		Strs("running", names).Msg("the backend server ended while it was running these requests")
}
