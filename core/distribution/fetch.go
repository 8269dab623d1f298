package distribution

import (
	"fmt"
	"time"

	"auburnladder.example/core/release"
)

const (
	// maxBatchChunks limits the number of chunks in one request to a peer.
	maxBatchChunks = 1024
	// minFetchBytesPerSecond is the lowest transfer rate at which a batch arrives within
	// its timeout.
	minFetchBytesPerSecond = 4 << 20
)

// requestManifest requests the manifest of c from the next announcer, or from the source
// once all announcers were tried. It reports whether the round failed.
func (m *Machine) requestManifest(now time.Time, c *candidate) bool {
	if m.fetch != nil && m.fetch.version == c.version {
		return false
	}
	if p := m.nextAnnouncer(c); p != "" {
		f := m.startFetch(now, c.version, p, 0)
		f.forManifest = true
		base := m.versions().Held
		if c.failures > 0 {
			// The delta may have caused the failure: request the full manifest.
			base = release.Version{}
		}
		m.emit(FetchManifest{Fetch: f.id, Peer: p, Wanted: c.version, Base: base})
		return false
	}
	if !c.sourceTried {
		m.scheduleManifestRead(now, c)
		return false
	}
	if m.source.readPending(release.CurrentKey) {
		return false
	}
	m.scheduleRetry(now, c, "neither the peers nor the platform provided the manifest")
	return true
}

// requestChunks requests missing chunks of c from the next announcer, or from the source
// once all announcers were tried. It reports whether the round failed.
func (m *Machine) requestChunks(now time.Time, c *candidate, missing []release.ChunkRef) bool {
	if m.fetch != nil && m.fetch.version == c.version {
		return false
	}
	if p := m.nextAnnouncer(c); p != "" {
		toFetch := m.withoutRecentSourceReads(now, missing)
		if len(toFetch) == 0 {
			return false
		}
		digests, size := m.nextBatch(toFetch)
		f := m.startFetch(now, c.version, p, size)
		m.emit(FetchChunks{Fetch: f.id, Peer: p, Digests: digests})
		return false
	}
	if m.readChunks(now, c, missing) {
		return false
	}
	m.scheduleRetry(now, c, fmt.Sprintf("neither the peers nor the platform provided chunk %q and %d others", missing[0].Name, len(missing)-1))
	return true
}

// startFetch records a new fetch from a peer. The timeout includes the time to transfer
// size bytes.
func (m *Machine) startFetch(now time.Time, v release.Version, peer string, size int) *fetch {
	transfer := time.Duration(size) * time.Second / minFetchBytesPerSecond
	m.fetch = &fetch{
		id:       m.nextID(),
		peer:     peer,
		version:  v,
		deadline: now.Add(m.cfg.FetchTimeout + transfer),
	}
	return m.fetch
}

// nextBatch returns the digests of the first missing chunks, up to BatchBytes and
// maxBatchChunks, and the sum of their sizes.
func (m *Machine) nextBatch(missing []release.ChunkRef) ([]release.Digest, int) {
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

// nextAnnouncer returns the next peer to request data of c from, or "". It considers
// peers that hold exactly that version and were not tried in this round: connected peers
// first, then the one that announced first.
func (m *Machine) nextAnnouncer(c *candidate) string {
	var best *peer
	for _, p := range m.peers {
		if p.versions.Held != c.version || c.triedPeers[p.id] {
			continue
		}
		if best == nil || m.preferPeer(p, best) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.id
}

// preferPeer reports whether a is preferred to b.
func (m *Machine) preferPeer(a, b *peer) bool {
	if a.up != b.up {
		return a.up
	}
	if a.versionsSeq != b.versionsSeq {
		return a.versionsSeq < b.versionsSeq
	}
	return a.id < b.id
}

// expireFetches ends fetches whose deadline has passed. A late reply is still accepted.
func (m *Machine) expireFetches(now time.Time) {
	if m.fetch != nil && !now.Before(m.fetch.deadline) {
		m.endFetch(m.fetch.id, false)
	}
	if m.vmListFetch != nil && !now.Before(m.vmListFetch.deadline) {
		m.vmListFetch = nil
	}
}

// endFetch ends the fetch with the given id, if it is still outstanding. If the peer
// provided nothing useful, it is not tried again in this round.
func (m *Machine) endFetch(id uint64, useful bool) {
	if m.fetch == nil || m.fetch.id != id {
		return
	}
	if c := m.candidates[m.fetch.version]; c != nil && !useful {
		c.triedPeers[m.fetch.peer] = true
	}
	m.fetch = nil
}

func (m *Machine) handleFetchFailed(e FetchFailed) {
	m.endFetch(e.Fetch, false)
	if m.vmListFetch != nil && m.vmListFetch.id == e.Fetch {
		m.vmListFetch = nil
	}
}

func (m *Machine) handleManifest(e ManifestReceived) {
	var v *release.Verified
	switch {
	case e.Delta != nil:
		v = m.acceptDelta(e.Delta, e.Peer)
	case e.Approved != nil:
		v = m.acceptManifest(e.Approved, e.Peer)
	case m.fetch != nil && m.fetch.id == e.Fetch:
		m.clearHeld(e.Peer, m.fetch.version)
	}
	if v != nil && m.fetch != nil && m.fetch.forManifest && m.fetch.version == v.Version {
		// This may be a late reply to an earlier request; it makes the current one obsolete.
		m.fetch = nil
	}
	m.endFetch(e.Fetch, false)
}

// acceptDelta is acceptManifest for a manifest that was received as a delta. It returns
// nil if the base is not in the history or the delta is invalid. The full manifest may
// still be received later.
func (m *Machine) acceptDelta(d *release.Delta, from string) *release.Verified {
	base := m.findInHistory(d.Base)
	if base == nil {
		return nil
	}
	v, err := m.trust.VerifyDelta(base, d)
	if err == nil {
		err = m.checkReleaseSize(v)
	}
	if err != nil {
		// The digest is derived from the sender and the version and is not that of the
		// manifest, so that the full manifest is still accepted.
		m.refuse(d.Version, release.DigestOf([]byte("delta "+from+d.Version.String())), from, err)
		return nil
	}
	return m.trackCandidate(v)
}

func (m *Machine) handleChunks(e ChunksReceived) {
	stored := 0
	for _, data := range e.Chunks {
		if m.storeChunk(data) {
			stored++
		}
	}
	m.endFetch(e.Fetch, stored > 0)
}

// storeChunk stores a chunk that is missing for a candidate with a verified manifest. It
// returns false for any other chunk.
func (m *Machine) storeChunk(data []byte) bool {
	if len(data) > release.MaxValueBytes {
		return false
	}
	d := release.DigestOf(data)
	if m.chunks[d] != nil {
		return false
	}
	for _, c := range m.candidates {
		if c.verified != nil && references(c.verified.Manifest, d) {
			m.chunks[d] = data
			return true
		}
	}
	return false
}

func references(manifest *release.Manifest, d release.Digest) bool {
	for _, ref := range manifest.Chunks {
		if ref.Digest == d {
			return true
		}
	}
	return false
}
