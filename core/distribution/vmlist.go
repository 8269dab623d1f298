package distribution

import "time"

// pursueVMList fetches the VM list from a peer that holds a newer one.
func (m *Machine) pursueVMList(now time.Time) {
	if m.listFetch != nil || now.Before(m.listRetryAt) {
		return
	}
	best := m.versions().VMList
	from := ""
	for _, id := range m.peerIDs() {
		if p := m.peers[id]; p.versions.VMList > best {
			best, from = p.versions.VMList, id
		}
	}
	if from == "" {
		return
	}
	m.listRetryAt = now.Add(m.jitter(m.cfg.FetchTimeout))
	m.listFetch = &fetch{id: m.nextID(), peer: from, deadline: now.Add(2 * m.cfg.FetchTimeout)}
	m.emit(FetchVMList{Fetch: m.listFetch.id, Peer: from})
}

func (m *Machine) vmListReceived(e VMListReceived) {
	if m.listFetch != nil && m.listFetch.id == e.Fetch {
		m.listFetch = nil
	}
	m.offerVMList(e.Revision, e.Data, e.Peer)
}
