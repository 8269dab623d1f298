package egress

import (
	"fmt"
	"time"

	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
)

// evacuatedRetryAfter is the backoff that is sent to the caller's node with a refusal because of an
// evacuation. That node learns of the evacuation itself in about this time.
const evacuatedRetryAfter = time.Second

// localEvacuation returns the evacuation of the local failure domain, or nil if there is none. The domain is
// that of the settings and that of the VM list, should they differ.
func (e *Egress) localEvacuation() *state.Evacuation {
	fleet := e.State.Fleet()
	if len(fleet.Evacuations()) == 0 {
		return nil
	}
	if ev := fleet.Evacuated(e.State.Identity.Domain); ev != nil {
		return ev
	}
	if vm := fleet.VM(e.State.Identity.VM); vm != nil {
		return fleet.Evacuated(vm.Domain)
	}
	return nil
}

// checkEvacuation returns a refusalError while the local failure domain is evacuated.
func (e *Egress) checkEvacuation() error {
	ev := e.localEvacuation()
	if ev == nil {
		return nil
	}
	egressStats.Add("refused_evacuated", 1)
	return &refusalError{
		refusal:    peerpb.Refusal_REFUSAL_EVACUATED,
		detail:     fmt.Sprintf("failure domain %q is evacuated by key %s", ev.Domain, ev.Key),
		retryAfter: evacuatedRetryAfter,
	}
}

// refuseWaiting refuses the queued calls while the local failure domain is evacuated. Those that come later
// are refused by checkCall.
func (e *Egress) refuseWaiting() {
	if e.localEvacuation() != nil {
		e.limiter.RefuseWaiting()
	}
}

// Evacuated reports whether the local failure domain is evacuated: the backend server gets no requests. It may
// be called from any goroutine.
func (e *Egress) Evacuated() bool {
	return e.localEvacuation() != nil
}

// EvacuationEnded returns when this node learned that the last evacuation of the local failure domain ended, or
// the zero time if it knows of none. The backend server may be cold from then on. It changes together with the
// state by which calls are admitted again: no call is admitted after an evacuation before this returns its end.
// It may be called from any goroutine.
func (e *Egress) EvacuationEnded() time.Time {
	fleet := e.State.Fleet()
	ended := fleet.EvacuationEnded(e.State.Identity.Domain)
	if vm := fleet.VM(e.State.Identity.VM); vm != nil {
		if other := fleet.EvacuationEnded(vm.Domain); other.After(ended) {
			return other
		}
	}
	return ended
}
