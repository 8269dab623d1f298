package distribution

import (
	"maps"
	"slices"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// maxUnlistedPeers bounds the peers that are remembered without being in the view.
const maxUnlistedPeers = 256

// peer is what the node knows about another one.
type peer struct {
	id string
	// up is set while a session exists.
	up bool
	// inbound is set when the peer counts this node among its neighbours.
	inbound bool
	// versions is the most that the peer is known to hold since it was last reached: an
	// answer that was overtaken by a newer one takes nothing away.
	versions Versions
	// heardAt numbers the last change of versions, to prefer the first announcer.
	heardAt uint64
}

// peer returns the entry for id, made if necessary, or nil if there are too many.
func (m *Machine) peer(id string) *peer {
	if id == m.self.ID || id == "" {
		return nil
	}
	if p := m.peers[id]; p != nil {
		return p
	}
	if len(m.peers) >= len(m.view)+maxUnlistedPeers {
		return nil
	}
	p := &peer{id: id}
	m.peers[id] = p
	return p
}

func (m *Machine) peerUp(id string) {
	p := m.peer(id)
	if p == nil {
		return
	}
	p.up = true
	if m.neighbours[id] && m.phase != PhaseResyncing {
		m.emit(Announce{Peer: id, Versions: m.versions()})
	}
}

// peerDown forgets what the peer held: it may come back with nothing.
func (m *Machine) peerDown(id string) {
	delete(m.peers, id)
	m.peerUnreachable(id)
}

func (m *Machine) peerUnreachable(id string) {
	if p := m.peers[id]; p != nil {
		p.versions = Versions{}
	}
	m.inquiry.failed(id)
	if m.fetch != nil && m.fetch.peer == id {
		m.endFetch(m.fetch.id, false)
	}
	if m.listFetch != nil && m.listFetch.peer == id {
		m.listFetch = nil
	}
}

func (m *Machine) peerVersions(e PeerVersions) {
	p := m.peer(e.Peer)
	if p == nil {
		return
	}
	if known := p.versions.merge(e.Versions); p.versions != known {
		p.versions = known
		p.heardAt = m.nextID()
	}
	p.inbound = p.inbound || e.Neighbour
	m.inquiry.answered(e.Peer)
	m.noteConflict(e.Versions.Held, false)
}

// lacksRelease notes that the peer answered that it doesn't hold v: it restarted without
// its session being seen to end.
func (m *Machine) lacksRelease(id string, v release.Version) {
	if p := m.peers[id]; p != nil && p.versions.Held == v {
		p.versions.Held = release.Version{}
	}
}

// linked reports whether p expects announcements.
func (m *Machine) linked(p *peer) bool {
	return p.up && (p.inbound || m.neighbours[p.id])
}

// flushAnnouncements tells all linked peers about a change of what the node holds,
// except those that hold as much. Nothing is announced before a re-sync has ended.
func (m *Machine) flushAnnouncements() {
	v := m.versions()
	if v == m.announcement || m.phase == PhaseResyncing {
		return
	}
	m.announcement = v
	for _, id := range m.peerIDs() {
		if p := m.peers[id]; m.linked(p) && behind(p.versions, v) {
			m.emit(Announce{Peer: id, Versions: v})
		}
	}
}

// announceToNeighbours tells connected neighbours what the node holds, so that they
// count it among theirs.
func (m *Machine) announceToNeighbours() {
	m.announcement = m.versions()
	for _, id := range m.peerIDs() {
		if p := m.peers[id]; p.up && m.neighbours[id] {
			m.emit(Announce{Peer: id, Versions: m.announcement})
		}
	}
}

// behind reports whether a node that holds v could learn something from one with w.
func behind(v, w Versions) bool {
	return w.Held.Newer(v.Held) || w.VMList > v.VMList
}

// peerIDs returns the known peers in a fixed order, so that equal inputs give equal
// actions.
func (m *Machine) peerIDs() []string {
	return slices.Sorted(maps.Keys(m.peers))
}

// repair exchanges versions with one peer from time to time: mostly a linked one, now
// and then any other VM.
func (m *Machine) repair(now time.Time) {
	if now.Before(m.nextRepair) || m.phase == PhaseResyncing {
		return
	}
	m.nextRepair = now.Add(m.jitter(m.cfg.AntiEntropyInterval))
	var linked []string
	for _, id := range m.peerIDs() {
		if m.linked(m.peers[id]) {
			linked = append(linked, id)
		}
	}
	if len(linked) == 0 || m.rng.IntN(farRepairOneIn) == 0 {
		m.repairFar()
		return
	}
	id := linked[m.rng.IntN(len(linked))]
	m.emit(Announce{Peer: id, Versions: m.versions()})
}

// farRepairOneIn is the share of version exchanges with any VM instead of a neighbour:
// one in this number.
const farRepairOneIn = 8

func (m *Machine) repairFar() {
	others := m.others()
	if len(others) > 0 {
		m.emit(Exchange{Peer: others[m.rng.IntN(len(others))].ID})
	}
}

// others returns the view without the node itself.
func (m *Machine) others() []vmlist.VM {
	return slices.DeleteFunc(slices.Clone(m.view), func(vm vmlist.VM) bool { return vm.ID == m.self.ID })
}

// setView chooses neighbours and the reader role anew.
func (m *Machine) setView(now time.Time, vms []vmlist.VM) {
	first := len(m.view) == 0
	m.view = slices.Clone(vms)
	if !slices.ContainsFunc(m.view, func(vm vmlist.VM) bool { return vm.ID == m.self.ID }) {
		m.view = append(m.view, m.self)
	}
	chosen := Neighbours(m.view, m.self, m.cfg.LocalNeighbours, m.cfg.RemoteNeighbours)
	m.neighbours = make(map[string]bool, len(chosen))
	for i := range chosen {
		m.neighbours[chosen[i].ID] = true
	}
	m.emit(SetNeighbours{VMs: chosen})
	m.dropUnlistedPeers()
	m.assignRole(now)
	if first || m.phase == PhaseStarting {
		m.askPeers()
	}
}

// dropUnlistedPeers forgets peers without a session that left the view.
func (m *Machine) dropUnlistedPeers() {
	listed := make(map[string]bool, len(m.view))
	for i := range m.view {
		listed[m.view[i].ID] = true
	}
	for id, p := range m.peers {
		if !p.up && !listed[id] {
			delete(m.peers, id)
		}
	}
}
