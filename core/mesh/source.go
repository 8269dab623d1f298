package mesh

import (
	"fmt"
	"slices"
	"strings"

	"auburnladder.example/core/release"
)

// ApprovedBySource is the key id of releases that carry no signature because
// publication at the source counts as approval.
const ApprovedBySource = "source"

// Published is a release that its source has approved. It has no signatures.
type Published struct {
	Deployment string
	Sequence   uint64
	Services   []*Service
}

// BuildPublished takes over the services of p, which must not be changed afterwards. It encodes
// p as a release and builds its snapshot. It reuses services of
// the previous snapshot that did not change; previous may be nil. On an error it
// returns no snapshot.
func BuildPublished(previous *Snapshot, p *Published) (*Snapshot, error) {
	services := slices.Clone(p.Services)
	slices.SortFunc(services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	m := &release.Manifest{Format: release.FormatVersion, Deployment: p.Deployment, Sequence: p.Sequence}
	built := make(map[release.Digest]*Service, len(services))
	for _, svc := range services {
		data, err := svc.Encode()
		if err != nil {
			return nil, err
		}
		digest := release.DigestOf(data)
		built[digest] = svc
		m.Chunks = append(m.Chunks, release.ChunkRef{Name: svc.Name, Digest: digest, Size: len(data)})
	}
	encoded, err := m.Encode()
	if err != nil {
		return nil, fmt.Errorf("published release: %w", err)
	}
	v := &release.Verified{
		Version:  release.Version{Sequence: m.Sequence, Digest: release.DigestOf(encoded)},
		Manifest: m,
		KeyID:    ApprovedBySource,
		Approved: &release.Approved{Manifest: encoded},
	}
	// The services were validated by Encode, so they need not be decoded from their chunks.
	return rebuild(previous, v, func(ref release.ChunkRef) (*Service, error) { return built[ref.Digest], nil })
}
