package distribution

import (
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

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
	if p := m.peers[e.Peer]; p != nil {
		p.versions.VMList = e.Revision
	}
	m.offerVMList(e.Revision, e.Data, e.Peer)
}

func (m *Machine) vmListRead(e SourceValue) {
	if !e.Found {
		return
	}
	m.offerVMList(e.Revision, e.Value, "")
}

// offerVMList takes a VM list over if it is valid and newer than the held one.
func (m *Machine) offerVMList(revision uint64, data []byte, from string) {
	if m.list != nil && revision <= m.list.Revision {
		return
	}
	list, err := vmlist.Parse(data, revision)
	if err != nil {
		m.refuse(release.Version{}, release.DigestOf(data), from, err)
		return
	}
	if len(list.VMs) == 0 {
		return
	}
	m.list = list
	m.listData = data
	m.emit(ApplyVMList{List: list})
}
