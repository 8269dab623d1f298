package distribution

import (
	"fmt"
	"time"

	"auburnladder.example/core/release"
)

const (
	// maxBatchChunks bounds the chunks of one request to a peer.
	maxBatchChunks = 1024
	// fetchBytesPerSecond is the slowest transfer that a fetch timeout allows for.
	fetchBytesPerSecond = 4 << 20
)

// requestManifest asks the next announcer of c, or the source, for its manifest.
func (m *Machine) requestManifest(now time.Time, c *candidate) bool {
	if m.fetch != nil && m.fetch.version == c.version {
		return false
	}
	if p := m.nextAnnouncer(c); p != "" {
		f := m.newFetch(now, c.version, p, 0)
		f.manifest = true
		base := m.versions().Held
		if c.failures > 0 {
			// Deltas may be what failed.
			base = release.Version{}
		}
		m.emit(FetchManifest{Fetch: f.id, Peer: p, Wanted: c.version, Base: base})
		return false
	}
	if !c.sourceTried {
		m.readManifest(now, c)
		return false
	}
	if m.source.pending(release.CurrentKey) {
		return false
	}
	m.roundFailed(now, c, "no peer and not the source provide the manifest")
	return true
}

// requestChunks asks the next announcer of c, or the source, for missing chunks.
func (m *Machine) requestChunks(now time.Time, c *candidate, missing []release.ChunkRef) bool {
	if m.fetch != nil && m.fetch.version == c.version {
		return false
	}
	if p := m.nextAnnouncer(c); p != "" {
		unread := m.withoutRecentReads(now, missing)
		if len(unread) == 0 {
			return false
		}
		digests, size := m.batch(unread)
		f := m.newFetch(now, c.version, p, size)
		m.emit(FetchChunks{Fetch: f.id, Peer: p, Digests: digests})
		return false
	}
	if m.readChunks(now, c, missing) {
		return false
	}
	m.roundFailed(now, c, fmt.Sprintf("chunk %q and %d others are missing", missing[0].Name, len(missing)-1))
	return true
}

func (m *Machine) newFetch(now time.Time, v release.Version, peer string, size int) *fetch {
	transfer := time.Duration(size) * time.Second / fetchBytesPerSecond
	m.fetch = &fetch{
		id:       m.nextID(),
		peer:     peer,
		version:  v,
		deadline: now.Add(m.cfg.FetchTimeout + transfer),
	}
	return m.fetch
}

// batch returns the digests of the first missing chunks and the sum of their sizes.
func (m *Machine) batch(missing []release.ChunkRef) ([]release.Digest, int) {
	var digests []release.Digest
	size := 0
	for _, ref := range missing {
		if len(digests) > 0 && (size+ref.Size > m.cfg.BatchBytes || len(digests) == maxBatchChunks) {
			break
		}
		digests = append(digests, ref.Digest)
		size += ref.Size
	}
	return digests, size
}

// nextAnnouncer returns the peer to ask next for c: one that holds exactly that version
// and was not tried in this round, connected peers first, then the first announcer.
func (m *Machine) nextAnnouncer(c *candidate) string {
	var best *peer
	for _, p := range m.peers {
		if p.versions.Held != c.version || c.tried[p.id] {
			continue
		}
		if best == nil || m.prefers(p, best) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.id
}

func (m *Machine) prefers(a, b *peer) bool {
	if a.up != b.up {
		return a.up
	}
	if a.heardAt != b.heardAt {
		return a.heardAt < b.heardAt
	}
	return a.id < b.id
}

// expireFetch gives up on a peer that is silent. A late answer is still accepted.
func (m *Machine) expireFetch(now time.Time) {
	if m.fetch != nil && !now.Before(m.fetch.deadline) {
		m.endFetch(m.fetch.id, false)
	}
	if m.listFetch != nil && !now.Before(m.listFetch.deadline) {
		m.listFetch = nil
	}
}

// endFetch closes the fetch with the given id. A peer that did not help is not asked
// again in this round.
func (m *Machine) endFetch(id uint64, helped bool) {
	if m.fetch == nil || m.fetch.id != id {
		return
	}
	if c := m.candidates[m.fetch.version]; c != nil && !helped {
		c.tried[m.fetch.peer] = true
	}
	m.fetch = nil
}

func (m *Machine) fetchFailed(e FetchFailed) {
	m.endFetch(e.Fetch, false)
	if m.listFetch != nil && m.listFetch.id == e.Fetch {
		m.listFetch = nil
	}
}

func (m *Machine) manifestReceived(e ManifestReceived) {
	var v *release.Verified
	switch {
	case e.Delta != nil:
		v = m.admitDelta(e.Delta, e.Peer)
	case e.Approved != nil:
		v = m.admit(e.Approved, e.Peer)
	case m.fetch != nil && m.fetch.id == e.Fetch:
		m.lacksRelease(e.Peer, m.fetch.version)
	}
	if v != nil && m.fetch != nil && m.fetch.manifest && m.fetch.version == v.Version {
		// A late answer to an earlier request serves as well.
		m.fetch = nil
	}
	m.endFetch(e.Fetch, false)
}

// admitDelta is admit for a manifest that arrived as a delta. It returns nil if the base
// is not at hand or the delta is not valid; then the manifest may still come whole.
func (m *Machine) admitDelta(d *release.Delta, from string) *release.Verified {
	base := m.inHistory(d.Base)
	if base == nil {
		return nil
	}
	v, err := m.trust.VerifyDelta(base, d)
	if err == nil {
		err = m.checkSize(v)
	}
	if err != nil {
		// The key names the delta, so that the whole manifest is not refused with it.
		m.refuse(d.Version, release.DigestOf([]byte("delta "+from+d.Version.String())), from, err)
		return nil
	}
	return m.follow(v)
}

func (m *Machine) chunksReceived(e ChunksReceived) {
	stored := 0
	for _, data := range e.Chunks {
		if m.storeChunk(data) {
			stored++
		}
	}
	m.endFetch(e.Fetch, stored > 0)
}

// storeChunk keeps a chunk that some verified candidate lacks.
func (m *Machine) storeChunk(data []byte) bool {
	if len(data) > release.MaxValueBytes {
		return false
	}
	d := release.DigestOf(data)
	if m.chunks[d] != nil {
		return false
	}
	for _, c := range m.candidates {
		if c.verified != nil && refersTo(c.verified.Manifest, d) {
			m.chunks[d] = data
			return true
		}
	}
	return false
}

func refersTo(manifest *release.Manifest, d release.Digest) bool {
	for _, ref := range manifest.Chunks {
		if ref.Digest == d {
			return true
		}
	}
	return false
}
