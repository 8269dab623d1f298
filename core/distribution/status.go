package distribution

import (
	"slices"

	"auburnladder.example/core/release"
)

const (
	// maxRefusals and maxConflicts limit the entries kept for the status.
	maxRefusals  = 64
	maxConflicts = 16
)

// Refusal is a release or VM list that the node does not activate because it is invalid
// or not approved.
type Refusal struct {
	Version release.Version
	// Digest identifies the refused content: the manifest if a complete release failed
	// validation, else the manifest with its approvals, a delta from one peer, or the raw
	// value of a release or VM list that cannot be parsed.
	Digest release.Digest
	// Peer is the peer that sent the content. It is empty if the content came from the
	// platform or if a complete release failed validation.
	Peer   string
	Reason string
}

// refusals is a bounded list without duplicates. When it is full, the oldest entry is
// dropped.
type refusals []Refusal

func (r *refusals) contains(d release.Digest) bool {
	return slices.ContainsFunc(*r, func(old Refusal) bool { return old.Digest == d })
}

// add records a refusal. It returns false if the same content is already in the list.
func (r *refusals) add(refusal Refusal) bool {
	if r.contains(refusal.Digest) {
		return false
	}
	if len(*r) == maxRefusals {
		*r = (*r)[1:]
	}
	*r = append(*r, refusal)
	return true
}

// Conflict is a pair of releases with the same sequence number. All nodes choose the same
// winner.
type Conflict struct {
	Winner release.Version
	Loser  release.Version
	// Verified is set if the approvals of both releases were verified.
	Verified bool
}

// newConflict returns the conflict between a and b. The newer version wins.
func newConflict(a, b release.Version, verified bool) Conflict {
	if b.Newer(a) {
		a, b = b, a
	}
	return Conflict{Winner: a, Loser: b, Verified: verified}
}

// Status is a snapshot of the state that is shown to operators.
type Status struct {
	Phase    Phase
	Versions Versions
	// KeyID is the id of the key that approved the held release.
	KeyID  string
	Reader bool
	// Peers is the number of peers with an open session.
	Peers     int
	Refusals  []Refusal
	Conflicts []Conflict
	// ChunkBytes is the total size of the stored chunks in bytes.
	ChunkBytes int
}

// Status returns a snapshot of the current state.
func (m *Machine) Status() Status {
	s := Status{
		Phase:     m.phase,
		Versions:  m.versions(),
		Reader:    m.reader,
		Refusals:  slices.Clone(m.refusals),
		Conflicts: slices.Clone(m.conflicts),
	}
	if m.held != nil {
		s.KeyID = m.held.KeyID
	}
	for _, p := range m.peers {
		if p.up {
			s.Peers++
		}
	}
	for _, data := range m.chunks {
		s.ChunkBytes += len(data)
	}
	return s
}

// ManifestReply is the reply to a peer that requests a manifest. At most one field is
// set.
type ManifestReply struct {
	Approved *release.Approved
	Delta    *release.Delta
}

// Manifest returns the reply to a peer that requests version wanted and holds base. The
// reply is a delta if both are in the history. Both fields are nil if wanted is not in
// the history.
func (m *Machine) Manifest(wanted, base release.Version) ManifestReply {
	target := m.findInHistory(wanted)
	if target == nil {
		return ManifestReply{}
	}
	if from := m.findInHistory(base); from != nil && from != target {
		return ManifestReply{Delta: release.NewDelta(from, target)}
	}
	return ManifestReply{Approved: target.Approved}
}

func (m *Machine) findInHistory(v release.Version) *release.Verified {
	for _, h := range m.history {
		if h.Version == v {
			return h
		}
	}
	return nil
}

// Chunk returns a stored chunk, for the reply to a peer that requests it.
func (m *Machine) Chunk(d release.Digest) ([]byte, bool) {
	return m.chunks.get(d)
}

// VMList returns the held VM list, for the reply to a peer that requests it. data is nil
// if the node holds no list.
func (m *Machine) VMList() (revision uint64, data []byte) {
	if m.vmList == nil {
		return 0, nil
	}
	return m.vmList.Revision, m.vmListData
}

// Versions returns what the node holds, for the reply to an announcement or an exchange.
func (m *Machine) Versions() Versions {
	return m.versions()
}

// Reader reports whether the node is a reader, that is, watches the platform.
func (m *Machine) Reader() bool {
	return m.reader
}
