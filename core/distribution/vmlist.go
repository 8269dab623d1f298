package distribution

import (
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// fetchVMList requests the VM list from the peer with the newest one, if that is newer
// than the held list.
func (m *Machine) fetchVMList(now time.Time) {
	if m.vmListFetch != nil || now.Before(m.vmListRetryAt) {
		return
	}
	newest := m.versions().VMList
	from := ""
	for _, id := range m.peerIDs() {
		if p := m.peers[id]; p.versions.VMList > newest {
			newest, from = p.versions.VMList, id
		}
	}
	if from == "" {
		return
	}
	m.vmListRetryAt = now.Add(m.jitter(m.cfg.FetchTimeout))
	m.vmListFetch = &fetch{id: m.nextID(), peer: from, deadline: now.Add(2 * m.cfg.FetchTimeout)}
	m.emit(FetchVMList{Fetch: m.vmListFetch.id, Peer: from})
}

func (m *Machine) handleVMList(e VMListReceived) {
	if m.vmListFetch != nil && m.vmListFetch.id == e.Fetch {
		m.vmListFetch = nil
	}
	if p := m.peers[e.Peer]; p != nil {
		p.versions.VMList = e.Revision
	}
	m.acceptVMList(e.Revision, e.Data, e.Peer)
}

func (m *Machine) handleVMListValue(e SourceValue) {
	if !e.Found {
		return
	}
	m.acceptVMList(e.Revision, e.Value, "")
}

// acceptVMList makes a VM list the held one if it is valid, newer and not empty. from is
// empty for the platform.
func (m *Machine) acceptVMList(revision uint64, data []byte, from string) {
	if m.vmList != nil && revision <= m.vmList.Revision {
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
	m.vmList = list
	m.vmListData = data
	m.emit(ApplyVMList{List: list})
}
