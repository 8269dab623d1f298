package membership

import (
	"net/netip"
	"time"
)

// maxRelays is the maximum number of concurrent indirect probes executed for other nodes.
const maxRelays = 256

// recoveryProbes is the number of dead members pinged per probe interval during the
// recovery period.
const recoveryProbes = 4

// probe is the probe in progress. There is at most one.
type probe struct {
	target   string
	sequence uint64
	// indirectAt is the time at which indirect probes are sent, end the time at which the
	// target is suspected.
	indirectAt   time.Time
	end          time.Time
	indirectSent bool
}

// relay is a ping sent on behalf of another node, in response to its PingReq.
type relay struct {
	requester string
	source    netip.AddrPort
	sequence  uint64
	target    string
	deadline  time.Time
}

// advanceProbe sends the indirect probes of the probe in progress or ends it when they
// are due, and starts the next probe.
func (m *Machine) advanceProbe(now time.Time) {
	p := m.probe
	if p != nil && !now.Before(p.end) {
		m.probe = nil
		m.failProbe(now, p)
	} else if p != nil && !p.indirectSent && !now.Before(p.indirectAt) {
		p.indirectSent = true
		m.sendIndirect(now, p)
	}
	if m.probe == nil && !now.Before(m.nextProbe) {
		m.startProbe(now)
	}
}

func (m *Machine) startProbe(now time.Time) {
	m.nextProbe = now.Add(m.cfg.ProbeInterval)
	target, found := m.nextTarget()
	if !found {
		return
	}
	factor := time.Duration(1 + m.awareness)
	m.probe = &probe{
		target:     target,
		sequence:   m.ping(target),
		indirectAt: now.Add(factor * m.cfg.ProbeTimeout),
		end:        now.Add(factor * m.cfg.ProbeInterval),
	}
}

// nextTarget iterates over all members in random order, so that each is probed once per
// round. Dead members are skipped.
func (m *Machine) nextTarget() (string, bool) {
	for range 2 * len(m.rotation) {
		if m.rotationNext >= len(m.rotation) {
			m.rotationNext = 0
			m.rng.Shuffle(len(m.rotation), func(i, j int) {
				m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i]
			})
		}
		vm := m.rotation[m.rotationNext]
		m.rotationNext++
		if m.members[vm].health != Dead {
			return vm, true
		}
	}
	return "", false
}

func (m *Machine) sendIndirect(now time.Time, p *probe) {
	for _, vm := range m.randomMembers(m.cfg.IndirectProbes, p.target) {
		m.sendTo(vm, Message{Kind: PingReq, Sequence: p.sequence, Target: p.target})
	}
	// Repeat the direct ping, which may have been lost.
	m.sendTo(p.target, Message{Kind: Ping, Sequence: p.sequence, Target: p.target})
}

// randomMembers returns up to n random members that are not dead, without exclude.
func (m *Machine) randomMembers(n int, exclude string) []string {
	var out []string
	for _, i := range m.rng.Perm(len(m.rotation)) {
		if len(out) == n {
			break
		}
		if vm := m.rotation[i]; vm != exclude && m.members[vm].health != Dead {
			out = append(out, vm)
		}
	}
	return out
}

func (m *Machine) failProbe(now time.Time, p *probe) {
	m.awareness = min(m.awareness+1, m.cfg.MaxAwareness)
	r, found := m.members[p.target]
	if !found || r.health != Alive {
		return
	}
	m.apply(now, Update{VM: p.target, State: Suspect, Incarnation: r.incarnation}, evidenceProbe)
}

// probeDead periodically pings a random dead member: it may have returned, or a partition
// may have healed.
func (m *Machine) probeDead(now time.Time) {
	if now.Before(m.nextDeadProbe) {
		return
	}
	interval := m.cfg.DeadProbeInterval
	if now.Before(m.recoverUntil) {
		interval = min(interval, m.cfg.ProbeInterval/recoveryProbes)
	}
	m.nextDeadProbe = now.Add(interval)
	var dead []string
	for _, vm := range m.rotation {
		if m.members[vm].health == Dead {
			dead = append(dead, vm)
		}
	}
	if len(dead) == 0 {
		return
	}
	m.ping(dead[m.rng.IntN(len(dead))])
}

// ping sends a ping with a new sequence number and returns that number.
func (m *Machine) ping(vm string) uint64 {
	m.sequence++
	m.sendTo(vm, Message{Kind: Ping, Sequence: m.sequence, Target: vm})
	return m.sequence
}

// receive handles a message whose updates have already been applied.
func (m *Machine) receive(now time.Time, ev Received) {
	switch ev.Message.Kind {
	case Ping:
		m.receivePing(ev)
	case PingReq:
		m.receivePingReq(now, ev)
	case Ack:
		m.receiveAck(ev.Message)
	}
}

// receivePing sends an Ack, even to a sender that is not in the published list yet. A
// ping for another VM is not acknowledged: the address may have been reassigned.
func (m *Machine) receivePing(ev Received) {
	if ev.Message.Target != m.self {
		return
	}
	reply := Message{Kind: Ack, Sequence: ev.Message.Sequence, Target: m.self}
	m.replyTo(ev.Message.From, ev.Source, reply)
}

func (m *Machine) receivePingReq(now time.Time, ev Received) {
	msg := ev.Message
	if _, found := m.members[msg.Target]; !found || len(m.relays) >= maxRelays {
		return
	}
	m.relays[m.ping(msg.Target)] = relay{
		requester: msg.From,
		source:    ev.Source,
		sequence:  msg.Sequence,
		target:    msg.Target,
		deadline:  now.Add(m.cfg.ProbeInterval),
	}
}

func (m *Machine) receiveAck(msg Message) {
	if r, found := m.relays[msg.Sequence]; found && r.target == msg.From {
		delete(m.relays, msg.Sequence)
		reply := Message{Kind: Ack, Sequence: r.sequence, Target: r.target}
		m.replyTo(r.requester, r.source, reply)
		return
	}
	if p := m.probe; p != nil && p.sequence == msg.Sequence && p.target == msg.Target {
		m.probe = nil
		m.awareness = max(m.awareness-1, 0)
	}
}

func (m *Machine) expireRelays(now time.Time) {
	for sequence, r := range m.relays {
		if now.After(r.deadline) {
			delete(m.relays, sequence)
		}
	}
}
