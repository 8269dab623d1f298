package distribution

import "auburnladder.example/core/release"

// chunkStore holds verified chunks by digest.
type chunkStore map[release.Digest][]byte

func (s chunkStore) get(d release.Digest) ([]byte, bool) {
	data, found := s[d]
	return data, found
}

// missing returns the chunks of m that are not in the store, each digest once.
func (s chunkStore) missing(m *release.Manifest) []release.ChunkRef {
	var refs []release.ChunkRef
	seen := make(map[release.Digest]bool)
	for _, ref := range m.Chunks {
		if _, found := s[ref.Digest]; !found && !seen[ref.Digest] {
			seen[ref.Digest] = true
			refs = append(refs, ref)
		}
	}
	return refs
}

// retain drops all chunks that none of the manifests references.
func (s chunkStore) retain(manifests []*release.Manifest) {
	keep := make(map[release.Digest]bool)
	for _, m := range manifests {
		for _, ref := range m.Chunks {
			keep[ref.Digest] = true
		}
	}
	for d := range s {
		if !keep[d] {
			delete(s, d)
		}
	}
}

// retainChunks drops all chunks except those of the held release, the previous release
// and the newest candidate with a verified manifest.
func (m *Machine) retainChunks() {
	var manifests []*release.Manifest
	for _, v := range m.history[max(0, len(m.history)-2):] {
		manifests = append(manifests, v.Manifest)
	}
	if c := m.newestVerified(); c != nil {
		manifests = append(manifests, c.verified.Manifest)
	}
	m.chunks.retain(manifests)
}

// newestVerified returns the newest candidate with a verified manifest, or nil.
func (m *Machine) newestVerified() *candidate {
	var newest *candidate
	for _, c := range m.candidates {
		if c.verified != nil && (newest == nil || c.version.Newer(newest.version)) {
			newest = c
		}
	}
	return newest
}
