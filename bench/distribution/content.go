package distribution

import (
	"fmt"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
	"google.golang.org/protobuf/proto"
)

// routesPerService is chosen so that a chunk has the size of a typical questionnaire's.
const routesPerService = 4

// releaseBuilder builds a sequence of approved releases. Each changes one chunk of the one
// before.
type releaseBuilder struct {
	key      *release.SigningKey
	trust    *release.Trust
	services []*mesh.Service
	sequence uint64
	parent   release.Digest
	last     *release.Verified
}

// builtRelease is a release to publish. It contains only the chunks that changed.
type builtRelease struct {
	version release.Version
	value   []byte
	chunks  map[release.Digest][]byte
	// minBytes is the size of the changed chunks and of the manifest delta, which is the
	// least that a node must receive.
	minBytes int
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func newReleaseBuilder(services int) (*releaseBuilder, error) {
	key, err := release.GenerateKey("bench")
	if err != nil {
		return nil, err
	}
	trust, err := release.NewTrust([]string{key.Public()})
	if err != nil {
		return nil, err
	}
	b := &releaseBuilder{key: key, trust: trust}
	for i := range services {
		b.services = append(b.services, newService(i, services))
	}
	return b, nil
}

func newService(i, services int) *mesh.Service {
	name := serviceName(i)
	s := &mesh.Service{
		Name: name, Hosts: []string{name + ".mesh.example"}, Callers: []string{mesh.PublicCaller},
		Priority: mesh.PriorityNormal, Server: mesh.Server{Slots: 10, Connections: 110, SlowStart: 5000},
		Stop: mesh.Stop{Method: mesh.StopHTTP, Path: "/stop", Grace: 10000},
	}
	for r := range routesPerService {
		resource := fmt.Sprintf("resource-%d", r)
		s.Resources = append(s.Resources, mesh.Resource{Name: resource, MaxRequestBytes: 65536, MaxResponseBytes: 1 << 20})
		s.Routes = append(s.Routes, &mesh.Route{
			Name: fmt.Sprintf("route-%d", r), Methods: []string{"GET", "HEAD"}, Prefix: fmt.Sprintf("/api/%d", r),
			Service: serviceName((i + r) % services), Resource: resource, Idempotent: true,
			Retry: mesh.Retry{Attempts: 3, Statuses: []int{502, 503}}, Deadline: 800,
		})
	}
	return s
}

// next builds the next release, in which one service has changed. The first release
// contains all chunks.
func (b *releaseBuilder) next() (*builtRelease, error) {
	b.sequence++
	changed := int(b.sequence) % len(b.services)
	b.services[changed].Server.Connections++
	m := &release.Manifest{Format: release.FormatVersion, Deployment: "bench", Sequence: b.sequence, Parent: b.parent}
	p := &builtRelease{chunks: make(map[release.Digest][]byte)}
	for i, svc := range b.services {
		data, err := svc.Encode()
		if err != nil {
			return nil, err
		}
		d := release.DigestOf(data)
		m.Chunks = append(m.Chunks, release.ChunkRef{Name: svc.Name, Digest: d, Size: len(data)})
		if b.sequence == 1 || i == changed {
			p.chunks[d] = data
			p.minBytes += len(data)
		}
	}
	encoded, err := m.Encode()
	if err != nil {
		return nil, err
	}
	p.version = release.Version{Sequence: b.sequence, Digest: release.DigestOf(encoded)}
	b.parent = p.version.Digest
	approved := b.key.Approve(&release.Approved{Manifest: encoded})
	verified, err := b.trust.Verify(approved)
	if err != nil {
		return nil, err
	}
	if b.last != nil {
		p.minBytes += deltaBytes(release.NewDelta(b.last, verified))
	}
	b.last = verified
	p.value, err = approved.Encode()
	return p, err
}

// deltaBytes returns the size of a manifest delta in its encoding between nodes.
func deltaBytes(d *release.Delta) int {
	m := &peerpb.ManifestDelta{
		Base:       &peerpb.Version{Sequence: d.Base.Sequence, Digest: d.Base.Digest[:]},
		Version:    &peerpb.Version{Sequence: d.Version.Sequence, Digest: d.Version.Digest[:]},
		Parent:     d.Parent[:],
		Removed:    d.Removed,
		Deployment: d.Deployment,
	}
	for _, ref := range d.Changed {
		m.Changed = append(m.Changed, &peerpb.ChunkEntry{Name: ref.Name, Digest: ref.Digest[:], Size: uint32(ref.Size)})
	}
	for _, a := range d.Approvals {
		m.Approvals = append(m.Approvals, &peerpb.Approval{KeyId: a.KeyID, Signature: a.Signature})
	}
	return proto.Size(m)
}
