package membership

import (
	"math"
	"time"
)

// suspicionTimeout returns how long a suspect has to refute in a fleet of n members.
func (c Config) suspicionTimeout(n int) time.Duration {
	scale := max(1, math.Log10(float64(n)))
	return time.Duration(c.SuspicionMultiplier * scale * float64(c.ProbeInterval))
}

const (
	// hearsayFactor lengthens the timeout of suspicions that a node only heard of: the
	// refutation, or the word of those whose own probes failed, has to get there first.
	hearsayFactor = 2
	// maxAsks bounds the pings to suspects per probe interval, beside ordinary probes.
	maxAsks = 4
)

// suspicion is a running timeout after which a member counts as dead.
type suspicion struct {
	vm          string
	incarnation uint64
	start       time.Time
	timeout     time.Duration
	// asking makes this node ping the suspect now and then, next at askAt.
	asking bool
	askAt  time.Time
}

func (s suspicion) expired(now time.Time) bool {
	return now.Sub(s.start) >= s.timeout
}

// startSuspicion gives a member that became suspect the time to refute. A node asks
// the suspect again if its own probe failed, and after a pause or a partition, when
// the suspicion may be old news whose refutation it has missed.
func (m *Machine) startSuspicion(now time.Time, vm string, incarnation uint64, e evidence) {
	s := suspicion{
		vm:          vm,
		incarnation: incarnation,
		start:       now,
		timeout:     m.cfg.suspicionTimeout(len(m.members) + 1),
		asking:      e != hearsay || now.Before(m.recoverUntil),
		askAt:       now,
	}
	if !s.asking {
		s.timeout *= hearsayFactor
	}
	m.suspicions = append(m.suspicions, s)
}

// hastenSuspicion shortens a running suspicion, as if it rested on an own probe.
func (m *Machine) hastenSuspicion(vm string) {
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if s.vm == vm && !s.asking {
			s.timeout = m.cfg.suspicionTimeout(len(m.members) + 1)
			s.asking = true
		}
	}
}

// expireSuspicions declares the suspects dead whose time is over. A suspicion that
// was refuted, or whose member is gone, is dropped.
func (m *Machine) expireSuspicions(now time.Time) {
	running := m.suspicions[:0]
	var expired []suspicion
	for _, s := range m.suspicions {
		r, found := m.members[s.vm]
		switch {
		case !found || r.health != Suspect || r.incarnation != s.incarnation:
		case s.expired(now):
			expired = append(expired, s)
		default:
			running = append(running, s)
		}
	}
	m.suspicions = running
	for _, s := range expired {
		m.apply(now, Update{VM: s.vm, State: Dead, Incarnation: s.incarnation}, ownTimeout)
	}
}

// askSuspects pings suspects, each at most once per probe interval and all together
// at most maxAsks times. A ping tells the suspect of the suspicion, so that it can
// refute at once.
func (m *Machine) askSuspects(now time.Time) {
	if !now.Before(m.asksReset) {
		m.asksReset = now.Add(m.cfg.ProbeInterval)
		m.asks = 0
	}
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if m.asks == maxAsks {
			return
		}
		if s.asking && !now.Before(s.askAt) {
			m.asks++
			s.askAt = now.Add(m.cfg.ProbeInterval)
			m.ping(s.vm)
		}
	}
}

// forgetSuspicions takes back all running suspicions: after a pause of this process
// they rest on old evidence. Probing finds again what is still true.
func (m *Machine) forgetSuspicions() {
	for _, s := range m.suspicions {
		if r, found := m.members[s.vm]; found && r.health == Suspect {
			r.health = Alive
		}
	}
	m.suspicions = nil
	m.changed = true
}
