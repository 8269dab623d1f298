package egress

import (
	"context"
	"errors"
	"io"
	"syscall"

	"auburnladder.example/core/coldstart"
	"auburnladder.example/core/quarantine"
	"auburnladder.example/wire/peerpb"
)

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
		e.SuspectCold(coldstart.ReasonConnectionEnded)
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
