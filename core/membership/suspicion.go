package membership

import (
	"math"
	"time"
)

// suspicionTimeout returns the time that a suspect has to refute a suspicion in a fleet
// of n members.
func (c Config) suspicionTimeout(n int) time.Duration {
	scale := max(1, math.Log10(float64(n)))
	return time.Duration(c.SuspicionMultiplier * scale * float64(c.ProbeInterval))
}

const (
	// gossipTimeoutFactor extends the timeout of suspicions that were only received by
	// gossip. It leaves time for the refutation, or for the reports of the nodes whose own
	// probes failed, to arrive first.
	gossipTimeoutFactor = 2
	// maxSuspectPings is the maximum number of pings to suspects per probe interval, in
	// addition to regular probes.
	maxSuspectPings = 4
)

// suspicion is a running timeout after which a suspect is declared dead.
type suspicion struct {
	vm          string
	incarnation uint64
	start       time.Time
	timeout     time.Duration
	// pinging makes the local node ping the suspect once per probe interval; nextPing is
	// the time of the next ping.
	pinging  bool
	nextPing time.Time
}

func (s suspicion) expired(now time.Time) bool {
	return now.Sub(s.start) >= s.timeout
}

// startSuspicion starts the suspicion timeout of a member that became suspect. The
// local node keeps pinging the suspect if its own probe failed. It also does so after a
// pause or a partition, when the suspicion may be outdated and its refutation missed.
func (m *Machine) startSuspicion(now time.Time, vm string, incarnation uint64, e evidence) {
	s := suspicion{
		vm:          vm,
		incarnation: incarnation,
		start:       now,
		timeout:     m.cfg.suspicionTimeout(len(m.members) + 1),
		pinging:     e != evidenceGossip || now.Before(m.recoverUntil),
		nextPing:    now,
	}
	if !s.pinging {
		s.timeout *= gossipTimeoutFactor
	}
	m.suspicions = append(m.suspicions, s)
}

// shortenSuspicion reduces the timeout of a suspicion received by gossip to that of a
// suspicion from a failed local probe, and starts pinging the suspect.
func (m *Machine) shortenSuspicion(vm string) {
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if s.vm == vm && !s.pinging {
			s.timeout = m.cfg.suspicionTimeout(len(m.members) + 1)
			s.pinging = true
		}
	}
}

// expireSuspicions declares suspects dead whose timeout has expired. It drops
// suspicions that were refuted and those of members that are no longer listed.
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
		m.apply(now, Update{VM: s.vm, State: Dead, Incarnation: s.incarnation}, evidenceTimeout)
	}
}

// pingSuspects pings each suspect at most once per probe interval, and sends at most
// maxSuspectPings pings per interval in total. A ping carries the suspicion to the
// suspect, so that it can refute it immediately.
func (m *Machine) pingSuspects(now time.Time) {
	if !now.Before(m.suspectPingsReset) {
		m.suspectPingsReset = now.Add(m.cfg.ProbeInterval)
		m.suspectPings = 0
	}
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if m.suspectPings == maxSuspectPings {
			return
		}
		if s.pinging && !now.Before(s.nextPing) {
			m.suspectPings++
			s.nextPing = now.Add(m.cfg.ProbeInterval)
			m.ping(s.vm)
		}
	}
}

// clearSuspicions cancels all running suspicions and marks the suspects as alive. After
// a process pause the suspicions are based on outdated evidence; probing suspects again
// the members that are still unresponsive.
func (m *Machine) clearSuspicions() {
	for _, s := range m.suspicions {
		if r, found := m.members[s.vm]; found && r.health == Suspect {
			r.health = Alive
		}
	}
	m.suspicions = nil
	m.changed = true
}
