package drain

import (
	"time"

	"auburnladder.example/core/mesh"
)

// Machine is the drain state machine of one node. Create it with New.
type Machine struct {
	cfg      Config
	state    State
	stop     mesh.Stop
	reasons  map[Reason]bool
	inFlight int
	// counted is set once the requests in flight were reported after the refusal of new
	// work: an earlier count may not include a request that was just admitted.
	counted bool
	// drainStart is the time of the signal that started the drain.
	drainStart time.Time
	// stopDeadline is the latest time at which a node in state StoppingServer exits.
	stopDeadline time.Time
	stopEnded    bool
}

// New returns a machine in state Serving with the given stop configuration.
func New(cfg Config, stop mesh.Stop) *Machine {
	return &Machine{cfg: cfg, state: Serving, stop: stop, reasons: make(map[Reason]bool)}
}

// State returns the current stage.
func (m *Machine) State() State { return m.state }

// Wake returns the time at which the next Tick is due, or the zero time if none is.
func (m *Machine) Wake() time.Time {
	switch m.state {
	case Refusing:
		return m.drainStart.Add(m.cfg.AnnounceWait)
	case WaitingInFlight:
		return m.drainStart.Add(m.grace())
	case StoppingServer:
		return m.stopDeadline
	default:
		return time.Time{}
	}
}

// Step handles one event and returns the actions to execute, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.state == Done {
		return nil
	}
	actions := m.handle(now, ev)
	for {
		next := m.advance(now)
		if next == nil {
			return actions
		}
		actions = append(actions, next...)
	}
}

func (m *Machine) handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Signal:
		return m.signal(now, ev.Reason)
	case Withdraw:
		return m.withdraw(ev.Reason)
	case InFlight:
		m.inFlight, m.counted = ev.Count, true
	case Contract:
		m.stop = ev.Stop
	case StopEnded:
		m.stopEnded = true
	}
	return nil
}

func (m *Machine) signal(now time.Time, r Reason) []Action {
	m.reasons[r] = true
	if m.state != Serving {
		return nil
	}
	m.state, m.drainStart, m.counted = Refusing, now, false
	return []Action{Refuse{Reason: r}, Announce{Leaving: true}}
}

// withdraw returns to Serving if no other signal is active and the server was not yet
// requested to stop.
func (m *Machine) withdraw(r Reason) []Action {
	if !r.withdrawable() {
		return nil
	}
	delete(m.reasons, r)
	if len(m.reasons) > 0 || (m.state != Refusing && m.state != WaitingInFlight) {
		return nil
	}
	m.state = Serving
	return []Action{Accept{}, Announce{Leaving: false}}
}

// advance moves to the next state if the condition of the current one is met. It returns
// nil if the state does not change.
func (m *Machine) advance(now time.Time) []Action {
	switch m.state {
	case Refusing:
		if !m.counted || now.Before(m.Wake()) {
			return nil
		}
		m.state = WaitingInFlight
		return []Action{}
	case WaitingInFlight:
		return m.endWaiting(now)
	case StoppingServer:
		return m.endStopping(now)
	default:
		return nil
	}
}

// endWaiting requests the server to stop once no request is in flight, or at the end of the
// grace period.
func (m *Machine) endWaiting(now time.Time) []Action {
	graceEnded := !now.Before(m.Wake())
	if m.inFlight > 0 && !graceEnded {
		return nil
	}
	actions := []Action{}
	if m.inFlight > 0 {
		actions = append(actions, GraceOver{InFlight: m.inFlight})
	}
	m.state = StoppingServer
	m.stopDeadline = now.Add(m.cfg.StopWait)
	if m.shouldStopServer() {
		return append(actions, StopServer{Stop: m.stop, Timeout: m.cfg.StopWait})
	}
	m.stopEnded = true
	return actions
}

// endStopping exits once the stop request has completed and no request is in flight, or at
// the stop deadline.
func (m *Machine) endStopping(now time.Time) []Action {
	deadlineReached := !now.Before(m.stopDeadline)
	if (!m.stopEnded || m.inFlight > 0) && !deadlineReached {
		return nil
	}
	m.state = Done
	return []Action{Exit{Aborted: m.inFlight}}
}

// shouldStopServer reports whether the node must stop the server. It must not if only the
// node restarts, or if the stop configuration leaves the stop to the platform.
func (m *Machine) shouldStopServer() bool {
	if m.stop.Method != mesh.StopHTTP {
		return false
	}
	return m.reasons[ReasonTerminate] || m.reasons[ReasonListed] || m.reasons[ReasonServer]
}

// grace returns the time after the start of the drain within which requests may complete.
func (m *Machine) grace() time.Duration {
	return max(m.stop.Grace.Duration(), m.cfg.AnnounceWait)
}
