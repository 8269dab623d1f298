package egress

import (
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// refusalError says why a call was not run.
type refusalError struct {
	why        peerpb.Refusal
	detail     string
	retryAfter time.Duration
}

// Error returns the detail.
func (e *refusalError) Error() string { return e.detail }

func refused(why peerpb.Refusal, format string, args ...any) error {
	return &refusalError{why: why, detail: fmt.Sprintf(format, args...)}
}

// check decides whether the call may go to this server at all.
func (e *Egress) check(x *exchange) error {
	if e.ByList {
		return e.checkListed(x)
	}
	m, err := e.checkRelease(x)
	if err == nil {
		x.priority = m.Owner.Priority
	}
	return err
}

// checkListed decides by the VM list. The run of the server is the one that the list
// names now: the server itself refuses a request meant for another one.
func (e *Egress) checkListed(x *exchange) error {
	vm := e.listed()
	switch {
	case e.State.Leaving():
		return refused(peerpb.Refusal_REFUSAL_LEAVING, "this node is stopping")
	case vm == nil:
		return refused(peerpb.Refusal_REFUSAL_LEAVING, "the VM list names no server beside this node")
	case vm.Leaving:
		return refused(peerpb.Refusal_REFUSAL_LEAVING, "this server is leaving")
	case vm.Service != x.call.GetService():
		return refused(peerpb.Refusal_REFUSAL_WRONG_SERVICE, "this server belongs to service %q", vm.Service)
	}
	if err := checkRequest(x.call); err != nil {
		return refused(peerpb.Refusal_REFUSAL_BAD_REQUEST, "%v", err)
	}
	x.instance = vm.Instance
	return nil
}

// checkRelease decides by the release in force and returns the route that the call takes.
func (e *Egress) checkRelease(x *exchange) (*mesh.Match, error) {
	call := x.call
	snap := e.State.Snapshot()
	switch {
	case call.GetService() != e.State.Identity.Service:
		return nil, refused(peerpb.Refusal_REFUSAL_WRONG_SERVICE, "this server belongs to service %q", e.State.Identity.Service)
	case e.State.Leaving():
		return nil, refused(peerpb.Refusal_REFUSAL_LEAVING, "this server is leaving")
	case snap == nil:
		return nil, refused(peerpb.Refusal_REFUSAL_STARTING, "this node holds no release yet")
	case e.State.Resyncing() || x.stale:
		return nil, refused(peerpb.Refusal_REFUSAL_STARTING, "this node was paused and the call may be old")
	}
	if err := checkRequest(call); err != nil {
		return nil, refused(peerpb.Refusal_REFUSAL_BAD_REQUEST, "%v", err)
	}
	m := matchCall(snap, call)
	if m == nil {
		return nil, unmatched(snap, call)
	}
	return m, e.checkCaller(x, m)
}

// checkCaller accepts the public caller class, or the service that the VM list gives for
// the peer, if the questionnaire lists it. What a peer says of itself proves nothing.
func (e *Egress) checkCaller(x *exchange, m *mesh.Match) error {
	caller := x.call.GetCaller()
	vm := e.State.Fleet().VM(x.from.VM)
	switch {
	case caller == mesh.PublicCaller:
	case vm == nil:
		return refused(peerpb.Refusal_REFUSAL_STARTING, "the VM list here does not name peer %q yet", x.from.VM)
	case vm.Service != caller:
		return refused(peerpb.Refusal_REFUSAL_FORBIDDEN, "peer %q of service %q can't speak for caller %q", x.from.VM, vm.Service, caller)
	}
	if !m.Owner.Allows(caller) {
		return refused(peerpb.Refusal_REFUSAL_FORBIDDEN, "caller %q may not call service %q", caller, m.Owner.Name)
	}
	return nil
}

func matchCall(snap *mesh.Snapshot, call *peerpb.Call) *mesh.Match {
	u := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(u)
	if err := u.Parse([]byte(call.GetHost()), []byte(call.GetUri())); err != nil {
		return nil
	}
	m := snap.MatchRoute(call.GetHost(), call.GetMethod(), string(u.Path()))
	if m == nil || m.Target.Name != call.GetService() {
		return nil
	}
	return m
}

// unmatched refuses a call without a route here: this node may be behind the caller's.
func unmatched(snap *mesh.Snapshot, call *peerpb.Call) error {
	theirs := release.Version{Sequence: call.GetRelease().GetSequence()}
	copy(theirs.Digest[:], call.GetRelease().GetDigest())
	if theirs.Newer(snap.Version) {
		return refused(peerpb.Refusal_REFUSAL_STARTING, "this node holds release %s, the call needs %s", snap.Version, theirs)
	}
	return refused(peerpb.Refusal_REFUSAL_FORBIDDEN, "release %s leads no such request to service %q", snap.Version, call.GetService())
}

func notAdmitted(d admission.Decision) error {
	why := peerpb.Refusal_REFUSAL_OVERLOAD
	switch d.Reason {
	case admission.ReasonDeadline, admission.ReasonCancelled:
		why = peerpb.Refusal_REFUSAL_DEADLINE
	case admission.ReasonLeaving:
		why = peerpb.Refusal_REFUSAL_LEAVING
	}
	return &refusalError{why: why, detail: "not admitted: " + d.Reason.String(), retryAfter: d.RetryAfter}
}

// notRun builds the reply for an error that kept the call from the server.
func notRun(err error) *peerpb.Reply {
	r := &refusalError{why: peerpb.Refusal_REFUSAL_SERVER_DOWN, detail: err.Error()}
	errors.As(err, &r)
	return &peerpb.Reply{
		Verdict:      peerpb.Verdict_VERDICT_NOT_RUN,
		Refusal:      r.why,
		Detail:       r.detail,
		RetryAfterMs: uint32(r.retryAfter.Milliseconds()),
	}
}
