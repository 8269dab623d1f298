package distribution

import (
	"fmt"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
	"google.golang.org/protobuf/proto"
)

// routesPerService gives chunks the size of a usual questionnaire.
const routesPerService = 4

// content makes releases, each with one chunk changed.
type content struct {
	key      *release.SigningKey
	trust    *release.Trust
	services []*mesh.Service
	sequence uint64
	parent   release.Digest
	last     *release.Verified
}

// published is one release to publish. Only changed chunks are in it.
type published struct {
	version release.Version
	value   []byte
	chunks  map[release.Digest][]byte
	// least is the size of the changed chunks and of the manifest delta.
	least int
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func newContent(services int) (*content, error) {
	key, err := release.GenerateKey("bench")
	if err != nil {
		return nil, err
	}
	trust, err := release.NewTrust([]string{key.Public()})
	if err != nil {
		return nil, err
	}
	c := &content{key: key, trust: trust}
	for i := range services {
		c.services = append(c.services, newService(i, services))
	}
	return c, nil
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
		s.Routes = append(s.Routes, mesh.Route{
			Name: fmt.Sprintf("route-%d", r), Methods: []string{"GET", "HEAD"}, Prefix: fmt.Sprintf("/api/%d", r),
			Service: serviceName((i + r) % services), Resource: resource, Idempotent: true,
			Retry: mesh.Retry{Attempts: 3, Statuses: []int{502, 503}}, Deadline: 800,
		})
	}
	return s
}

// next changes one service; the first release has all chunks.
func (c *content) next() (*published, error) {
	c.sequence++
	changed := int(c.sequence) % len(c.services)
	c.services[changed].Server.Connections++
	m := &release.Manifest{Format: release.FormatVersion, Deployment: "bench", Sequence: c.sequence, Parent: c.parent}
	p := &published{chunks: make(map[release.Digest][]byte)}
	for i, svc := range c.services {
		data, err := svc.Encode()
		if err != nil {
			return nil, err
		}
		d := release.DigestOf(data)
		m.Chunks = append(m.Chunks, release.ChunkRef{Name: svc.Name, Digest: d, Size: len(data)})
		if c.sequence == 1 || i == changed {
			p.chunks[d] = data
			p.least += len(data)
		}
	}
	encoded, err := m.Encode()
	if err != nil {
		return nil, err
	}
	p.version = release.Version{Sequence: c.sequence, Digest: release.DigestOf(encoded)}
	c.parent = p.version.Digest
	approved := c.key.Approve(&release.Approved{Manifest: encoded})
	verified, err := c.trust.Verify(approved)
	if err != nil {
		return nil, err
	}
	if c.last != nil {
		p.least += deltaBytes(release.NewDelta(c.last, verified))
	}
	c.last = verified
	p.value, err = approved.Encode()
	return p, err
}

// deltaBytes returns the size of a delta as it is sent.
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
