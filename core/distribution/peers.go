package distribution

import (
	"maps"
	"slices"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// maxUnlistedPeers limits the peers that are tracked without being in the view.
const maxUnlistedPeers = 256

// peer is the state of another node as known to this one.
type peer struct {
	id string
	// up is set while a session with the peer is open.
	up bool
	// inbound is set if the peer counts this node among its neighbours.
	inbound bool
	// versions is the maximum that the peer has reported since it was last unreachable. A
	// reply overtaken by a newer one does not lower it.
	versions Versions
	// versionsSeq orders the peers by the last change of versions. The first announcer of
	// a version is preferred.
	versionsSeq uint64
}

// ensurePeer returns the entry for id and creates it if it does not exist. It returns nil
// for the node itself or if there are too many peers.
func (m *Machine) ensurePeer(id string) *peer {
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

func (m *Machine) handlePeerUp(id string) {
	p := m.ensurePeer(id)
	if p == nil {
		return
	}
	p.up = true
	if m.neighbours[id] && m.phase != PhaseResyncing {
		m.emit(Announce{Peer: id, Versions: m.versions()})
	}
}

// handlePeerDown drops the state of the peer, which may have lost its releases when it
// comes back.
func (m *Machine) handlePeerDown(id string) {
	delete(m.peers, id)
	m.handlePeerUnreachable(id)
}

// handlePeerUnreachable clears the versions of the peer and ends its outstanding fetches.
func (m *Machine) handlePeerUnreachable(id string) {
	if p := m.peers[id]; p != nil {
		p.versions = Versions{}
	}
	m.poll.markUnreachable(id)
	if m.fetch != nil && m.fetch.peer == id {
		m.endFetch(m.fetch.id, false)
	}
	if m.vmListFetch != nil && m.vmListFetch.peer == id {
		m.vmListFetch = nil
	}
}

func (m *Machine) handlePeerVersions(e PeerVersions) {
	p := m.ensurePeer(e.Peer)
	if p == nil {
		return
	}
	if merged := p.versions.merge(e.Versions); p.versions != merged {
		p.versions = merged
		p.versionsSeq = m.nextID()
	}
	p.inbound = p.inbound || e.Neighbour
	m.poll.markReplied(e.Peer)
	m.detectConflicts(e.Versions.Held, false)
}

// clearHeld clears the held version of a peer that replied that it does not hold v. The
// peer restarted without this node noticing the end of the session.
func (m *Machine) clearHeld(id string, v release.Version) {
	if p := m.peers[id]; p != nil && p.versions.Held == v {
		p.versions.Held = release.Version{}
	}
}

// expectsAnnouncements reports whether p is connected and a neighbour in either
// direction.
func (m *Machine) expectsAnnouncements(p *peer) bool {
	return p.up && (p.inbound || m.neighbours[p.id])
}

// flushAnnouncements announces a change of this node's versions to all peers that expect
// announcements and whose versions are stale. Nothing is announced during a resync.
func (m *Machine) flushAnnouncements() {
	v := m.versions()
	if v == m.lastAnnounced || m.phase == PhaseResyncing {
		return
	}
	m.lastAnnounced = v
	for _, id := range m.peerIDs() {
		if p := m.peers[id]; m.expectsAnnouncements(p) && stale(p.versions, v) {
			m.emit(Announce{Peer: id, Versions: v})
		}
	}
}

// announceToNeighbours announces this node's versions to all connected neighbours, so
// that they count it among their neighbours.
func (m *Machine) announceToNeighbours() {
	m.lastAnnounced = m.versions()
	for _, id := range m.peerIDs() {
		if p := m.peers[id]; p.up && m.neighbours[id] {
			m.emit(Announce{Peer: id, Versions: m.lastAnnounced})
		}
	}
}

// stale reports whether w is newer than v in any field.
func stale(v, w Versions) bool {
	return w.Held.Newer(v.Held) || w.VMList > v.VMList
}

// peerIDs returns the ids of the known peers in sorted order, so that equal inputs give
// equal actions.
func (m *Machine) peerIDs() []string {
	return slices.Sorted(maps.Keys(m.peers))
}

// runAntiEntropy periodically exchanges versions with one peer: usually one that expects
// announcements, sometimes any other VM.
func (m *Machine) runAntiEntropy(now time.Time) {
	if now.Before(m.nextAntiEntropy) || m.phase == PhaseResyncing {
		return
	}
	m.nextAntiEntropy = now.Add(m.jitter(m.cfg.AntiEntropyInterval))
	var subscribers []string
	for _, id := range m.peerIDs() {
		if m.expectsAnnouncements(m.peers[id]) {
			subscribers = append(subscribers, id)
		}
	}
	if len(subscribers) == 0 || m.rng.IntN(randomExchangeOneIn) == 0 {
		m.exchangeWithRandomVM()
		return
	}
	id := subscribers[m.rng.IntN(len(subscribers))]
	m.emit(Announce{Peer: id, Versions: m.versions()})
}

// randomExchangeOneIn is the mean number of version exchanges of which one is with a
// random VM instead of a neighbour.
const randomExchangeOneIn = 8

// exchangeWithRandomVM exchanges versions with a random VM of the view.
func (m *Machine) exchangeWithRandomVM() {
	vms := m.otherVMs()
	if len(vms) > 0 {
		m.emit(Exchange{Peer: vms[m.rng.IntN(len(vms))].ID})
	}
}

// otherVMs returns the view without the node itself.
func (m *Machine) otherVMs() []vmlist.VM {
	return slices.DeleteFunc(slices.Clone(m.view), func(vm vmlist.VM) bool { return vm.ID == m.self.ID })
}

// setView replaces the view and recomputes the neighbours and the node's role.
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
		m.queryPeers()
	}
}

// dropUnlistedPeers drops peers that have no session and are no longer in the view.
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
