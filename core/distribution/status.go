package distribution

import (
	"slices"

	"auburnladder.example/core/release"
)

const (
	// maxRefusals and maxConflicts bound what is remembered for the status.
	maxRefusals  = 64
	maxConflicts = 16
)

// Refusal is a release that the node will not put in force.
type Refusal struct {
	Version release.Version
	// Digest identifies the refused content: the manifest, or the manifest with its
	// approvals if these are not valid.
	Digest release.Digest
	// Peer sent the content, "" for the platform or if the node judged a whole release.
	Peer   string
	Reason string
}

// refusals is a bounded set that drops the oldest entry first.
type refusals []Refusal

func (r *refusals) has(d release.Digest) bool {
	return slices.ContainsFunc(*r, func(old Refusal) bool { return old.Digest == d })
}

// add returns false if the content was refused before.
func (r *refusals) add(n Refusal) bool {
	if r.has(n.Digest) {
		return false
	}
	if len(*r) == maxRefusals {
		*r = (*r)[1:]
	}
	*r = append(*r, n)
	return true
}

// Conflict is two releases with one sequence number. All nodes choose the winner.
type Conflict struct {
	Winner release.Version
	Loser  release.Version
	// Verified is set when the approvals of both were checked.
	Verified bool
}

func newConflict(a, b release.Version, verified bool) Conflict {
	if b.Newer(a) {
		a, b = b, a
	}
	return Conflict{Winner: a, Loser: b, Verified: verified}
}

// Status is a copy of what operators read back.
type Status struct {
	Phase     Phase
	Versions  Versions
	KeyID     string
	Reader    bool
	Peers     int
	Refusals  []Refusal
	Conflicts []Conflict
	// ChunkBytes is the memory that chunks take.
	ChunkBytes int
}

// Status returns the current state.
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

// ManifestAnswer is the answer to a peer that asks for a manifest.
type ManifestAnswer struct {
	Approved *release.Approved
	Delta    *release.Delta
}

// Manifest answers a peer that asks for version wanted and holds base. Both fields of
// the answer are nil if the node never put that version in force.
func (m *Machine) Manifest(wanted, base release.Version) ManifestAnswer {
	target := m.inHistory(wanted)
	if target == nil {
		return ManifestAnswer{}
	}
	if from := m.inHistory(base); from != nil && from != target {
		return ManifestAnswer{Delta: release.NewDelta(from, target)}
	}
	return ManifestAnswer{Approved: target.Approved}
}

func (m *Machine) inHistory(v release.Version) *release.Verified {
	for _, h := range m.history {
		if h.Version == v {
			return h
		}
	}
	return nil
}

// Chunk answers a peer that asks for a chunk.
func (m *Machine) Chunk(d release.Digest) ([]byte, bool) {
	return m.chunks.get(d)
}

// VMList answers a peer that asks for the VM list. The data is nil if none is held.
func (m *Machine) VMList() (revision uint64, data []byte) {
	if m.list == nil {
		return 0, nil
	}
	return m.list.Revision, m.listData
}

// Versions returns what the node holds, for the answer to an announcement.
func (m *Machine) Versions() Versions {
	return m.versions()
}

// Reader reports whether the node holds a watch on the platform's service.
func (m *Machine) Reader() bool {
	return m.reader
}
