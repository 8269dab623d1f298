package egress

import (
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/target"
	"auburnladder.example/wire/peerpb"
)

// refusalError is the reason why a call was not run. retryAfter is the backoff sent to
// the caller's node, 0 for none.
type refusalError struct {
	refusal    peerpb.Refusal
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (e *refusalError) Error() string { return e.detail }

func newRefusal(refusal peerpb.Refusal, format string, args ...any) error {
	return &refusalError{refusal: refusal, detail: fmt.Sprintf(format, args...)}
}

// checkCall returns a refusalError if the call may not be sent to the local backend
// server.
func (e *Egress) checkCall(x *exchange) error {
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if e.AdmitByVMList {
		return e.checkByVMList(x)
	}
	m, err := e.checkByRelease(x)
	if err == nil {
		x.priority = m.Owner.Priority
	}
	return err
}

// checkAdmitted checks an admitted call again, because the VM list and the quarantine may have
// changed while it was queued.
func (e *Egress) checkAdmitted(x *exchange) error {
	if e.AdmitByVMList {
		return e.checkCall(x)
	}
	return x.checkQuarantine()
}

// checkByVMList checks the call against the VM list and sets x.target to the run of the server
// that the list names now. A server refuses requests that are addressed to
// another instance.
func (e *Egress) checkByVMList(x *exchange) error {
	vm := e.localVM()
	switch {
	case e.State.Leaving():
		return newRefusal(peerpb.Refusal_REFUSAL_LEAVING, "this node is stopping")
	case vm == nil:
		return newRefusal(peerpb.Refusal_REFUSAL_LEAVING, "the VM list has no entry for this node's VM")
	case vm.Leaving:
		return newRefusal(peerpb.Refusal_REFUSAL_LEAVING, "the VM list marks this VM as leaving, or its server announced that it leaves")
	case vm.Service != x.call.GetService():
		return newRefusal(peerpb.Refusal_REFUSAL_WRONG_SERVICE, "the local backend server runs service %q, not the called one", vm.Service)
	}
	if err := e.checkEvacuation(); err != nil {
		return err
	}
	if err := validateRequest(x.call); err != nil {
		return newRefusal(peerpb.Refusal_REFUSAL_BAD_REQUEST, "%v", err)
	}
	x.target = vm.Run()
	return nil
}

// checkByRelease checks the call against the active release and returns the matching
// route.
func (e *Egress) checkByRelease(x *exchange) (*mesh.Match, error) {
	call := x.call
	snap := e.State.Snapshot()
	switch {
	case call.GetService() != e.State.Identity.Service:
		return nil, newRefusal(peerpb.Refusal_REFUSAL_WRONG_SERVICE, "the local backend server runs service %q, not the called one", e.State.Identity.Service)
	case e.State.Leaving():
		return nil, newRefusal(peerpb.Refusal_REFUSAL_LEAVING, "this node is draining and accepts no new calls")
	case snap == nil:
		return nil, newRefusal(peerpb.Refusal_REFUSAL_STARTING, "this node holds no release yet")
	case e.State.Resyncing() || x.maybeStale:
		return nil, newRefusal(peerpb.Refusal_REFUSAL_STARTING, "this node was paused and the call may be past its deadline")
	}
	if err := validateRequest(call); err != nil {
		return nil, newRefusal(peerpb.Refusal_REFUSAL_BAD_REQUEST, "%v", err)
	}
	m := findRoute(snap, call)
	if m == nil {
		return nil, noRouteRefusal(snap, call)
	}
	return m, e.authorizeCaller(x, m)
}

// authorizeCaller accepts the public caller class, and the service that the VM list gives
// for the peer's VM, if the questionnaire of the called service allows that caller. The
// service that a peer claims for itself is not trusted.
func (e *Egress) authorizeCaller(x *exchange, m *mesh.Match) error {
	caller := x.call.GetCaller()
	vm := e.State.Fleet().VM(x.peer.VM)
	switch {
	case caller == mesh.PublicCaller:
	case vm == nil:
		return newRefusal(peerpb.Refusal_REFUSAL_STARTING, "peer %q is not in this node's VM list yet", x.peer.VM)
	case vm.Service != caller:
		return newRefusal(peerpb.Refusal_REFUSAL_FORBIDDEN, "peer %q of service %q may not send calls of caller %q", x.peer.VM, vm.Service, caller)
	}
	if !m.Owner.Allows(caller) {
		return newRefusal(peerpb.Refusal_REFUSAL_FORBIDDEN, "caller %q may not call service %q", caller, m.Owner.Name)
	}
	return nil
}

// findRoute returns the route of the call in snap, or nil if no route leads this request
// to the called service.
func findRoute(snap *mesh.Snapshot, call *peerpb.Call) *mesh.Match {
	t, err := target.Parse(call.GetMethod(), call.GetUri(), call.GetHost())
	if err != nil {
		return nil
	}
	m := snap.MatchRoute(t.Host, call.GetMethod(), t.Path)
	if m == nil || m.Target.Name != call.GetService() {
		return nil
	}
	return m
}

// noRouteRefusal returns the refusal for a call without a route in snap. If the call was
// routed by a newer release than this node's, the caller's node may try another server.
func noRouteRefusal(snap *mesh.Snapshot, call *peerpb.Call) error {
	callerVersion := release.Version{Sequence: call.GetRelease().GetSequence()}
	copy(callerVersion.Digest[:], call.GetRelease().GetDigest())
	if callerVersion.Newer(snap.Version) {
		return newRefusal(peerpb.Refusal_REFUSAL_STARTING, "this node holds release %s, but the call was routed by the newer release %s", snap.Version, callerVersion)
	}
	return newRefusal(peerpb.Refusal_REFUSAL_FORBIDDEN, "release %s has no route for this request to service %q", snap.Version, call.GetService())
}

// admissionRefusal converts the limiter's decision to a refusalError.
func admissionRefusal(d admission.Decision) error {
	refusal := peerpb.Refusal_REFUSAL_OVERLOAD
	switch d.Reason {
	case admission.ReasonDeadline, admission.ReasonCancelled:
		refusal = peerpb.Refusal_REFUSAL_DEADLINE
	case admission.ReasonLeaving:
		refusal = peerpb.Refusal_REFUSAL_LEAVING
	case admission.ReasonEvacuated:
		refusal, d.RetryAfter = peerpb.Refusal_REFUSAL_EVACUATED, evacuatedRetryAfter
	}
	return &refusalError{refusal: refusal, detail: "call not admitted: " + d.Reason.String(), retryAfter: d.RetryAfter}
}

// refusalReply returns the reply for a call that was not sent to the server because of
// err. An error other than a refusalError is reported as REFUSAL_SERVER_DOWN.
func refusalReply(err error) *peerpb.Reply {
	r := &refusalError{refusal: peerpb.Refusal_REFUSAL_SERVER_DOWN, detail: err.Error()}
	errors.As(err, &r)
	return &peerpb.Reply{
		Verdict:      peerpb.Verdict_VERDICT_NOT_RUN,
		Refusal:      r.refusal,
		Detail:       r.detail,
		RetryAfterMs: uint32(r.retryAfter.Milliseconds()),
	}
}
