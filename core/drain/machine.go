package drain

import (
	"time"

	"auburnladder.example/core/mesh"
)

// Machine is the drain of one node. Create it with New.
type Machine struct {
	cfg      Config
	state    State
	stop     mesh.Stop
	reasons  map[Reason]bool
	inFlight int
	// counted is set once the requests in flight were reported after the refusal
	// began: an earlier count may lack one that was just admitted.
	counted bool
	// since is when the drain began.
	since time.Time
	// limit is when a node in state StoppingServer exits at the latest.
	limit     time.Time
	stopEnded bool
}

// New returns a machine that serves under the stop contract.
func New(cfg Config, stop mesh.Stop) *Machine {
	return &Machine{cfg: cfg, state: Serving, stop: stop, reasons: make(map[Reason]bool)}
}

// State returns the present stage.
func (m *Machine) State() State { return m.state }

// Wake returns when the next Tick is due, or the zero time.
func (m *Machine) Wake() time.Time {
	switch m.state {
	case Refusing:
		return m.since.Add(m.cfg.AnnounceWait)
	case WaitingInFlight:
		return m.since.Add(m.grace())
	case StoppingServer:
		return m.limit
	default:
		return time.Time{}
	}
}

// Step takes one event and returns the actions to carry out in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.state == Done {
		return nil
	}
	actions := m.take(now, ev)
	for {
		next := m.advance(now)
		if next == nil {
			return actions
		}
		actions = append(actions, next...)
	}
}

func (m *Machine) take(now time.Time, ev Event) []Action {
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
	m.state, m.since, m.counted = Refusing, now, false
	return []Action{Refuse{Reason: r}, Announce{Leaving: true}}
}

// withdraw serves again if no other signal stands and the server was not told to stop.
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

// advance moves on by one state if its condition is met, or returns nil.
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

func (m *Machine) endWaiting(now time.Time) []Action {
	over := !now.Before(m.Wake())
	if m.inFlight > 0 && !over {
		return nil
	}
	actions := []Action{}
	if m.inFlight > 0 {
		actions = append(actions, GraceOver{InFlight: m.inFlight})
	}
	m.state = StoppingServer
	m.limit = now.Add(m.cfg.StopWait)
	if m.stopsServer() {
		return append(actions, StopServer{Stop: m.stop, Timeout: m.cfg.StopWait})
	}
	m.stopEnded = true
	return actions
}

// endStopping exits once the server has answered and no request is left, or at the limit.
func (m *Machine) endStopping(now time.Time) []Action {
	over := !now.Before(m.limit)
	if (!m.stopEnded || m.inFlight > 0) && !over {
		return nil
	}
	m.state = Done
	return []Action{Exit{Cut: m.inFlight}}
}

// stopsServer reports whether the contract has the node stop the server: not if the
// node alone restarts.
func (m *Machine) stopsServer() bool {
	if m.stop.Method != mesh.StopHTTP {
		return false
	}
	return m.reasons[ReasonTerminate] || m.reasons[ReasonListed] || m.reasons[ReasonServer]
}

func (m *Machine) grace() time.Duration {
	return max(m.stop.Grace.Duration(), m.cfg.AnnounceWait)
}
