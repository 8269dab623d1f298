package mesh

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

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

// BuildPublished is Builder.Build with a new builder that knows the previous snapshot, which may
// be nil.
func BuildPublished(previous *Snapshot, p *Published) (*Snapshot, error) {
	b := NewBuilder(func() {})
	b.previous = previous
	return b.Build(p)
}

// Builder builds the snapshots of successive published releases. What it has checked and
// encoded once, it does not check and encode again. It is not safe for concurrent use.
type Builder struct {
	yield    func()
	previous *Snapshot
	// services holds the services of the last release by name.
	services map[string]*builtService
	// routes holds routes that are valid, with their encoding.
	routes map[*Route]*builtRoute
	// releases counts the calls of Build.
	releases uint64
}

// builtService is a service with its encoding, in which routes stands for the routes.
type builtService struct {
	service  *Service
	settings []byte
	ref      release.ChunkRef
}

// builtRoute is the encoding of a route, with the count of the last release that has it.
type builtRoute struct {
	data []byte
	used uint64
}

// NewBuilder returns a builder that knows no release. It calls yield now and then while it works,
// so that others get the processor.
func NewBuilder(yield func()) *Builder {
	return &Builder{yield: yield, services: make(map[string]*builtService), routes: make(map[*Route]*builtRoute)}
}

// yieldRoutes is the number of routes between two calls of Builder.yield.
const yieldRoutes = 256

// Build takes over the services of p and their routes, which must not be changed afterwards. It
// encodes p as a release and builds its snapshot. On an error it returns no snapshot, and p is
// forgotten.
func (b *Builder) Build(p *Published) (*Snapshot, error) {
	b.releases++
	built, err := b.encodeAll(p.Services)
	if err != nil {
		return nil, err
	}
	v, err := verifiedBySource(p, built)
	if err != nil {
		return nil, err
	}
	// The services were validated when they were encoded, so they need not be decoded from chunks.
	snap, err := rebuild(b.previous, v, func(ref release.ChunkRef) (*Service, error) { return built[ref.Name].service, nil })
	if err != nil {
		return nil, err
	}
	b.previous, b.services = snap, built
	b.dropUnused()
	return snap, nil
}

// verifiedBySource returns the manifest of a release, approved by its source.
func verifiedBySource(p *Published, built map[string]*builtService) (*release.Verified, error) {
	m := &release.Manifest{Format: release.FormatVersion, Deployment: p.Deployment, Sequence: p.Sequence}
	for _, name := range slices.Sorted(maps.Keys(built)) {
		m.Chunks = append(m.Chunks, built[name].ref)
	}
	encoded, err := m.EncodeLocal()
	if err != nil {
		return nil, fmt.Errorf("published release: %w", err)
	}
	return &release.Verified{
		Version:  release.Version{Sequence: m.Sequence, Digest: release.DigestOf(encoded)},
		Manifest: m,
		KeyID:    ApprovedBySource,
		Approved: &release.Approved{Manifest: encoded},
	}, nil
}

// encodeAll validates and encodes services. It returns those of the last release that did not
// change in place of the new ones.
func (b *Builder) encodeAll(services []*Service) (map[string]*builtService, error) {
	all := make(map[string]*builtService, len(services))
	for _, svc := range services {
		if all[svc.Name] != nil {
			return nil, fmt.Errorf("published release: service %q is listed twice", svc.Name)
		}
		built, err := b.encode(svc)
		if err != nil {
			return nil, err
		}
		all[svc.Name] = built
	}
	return all, nil
}

func (b *Builder) encode(svc *Service) (*builtService, error) {
	withoutRoutes := *svc
	withoutRoutes.Routes = []*Route{}
	settings, err := json.Marshal(&withoutRoutes)
	if err != nil {
		return nil, fmt.Errorf("service %q: %w", svc.Name, err)
	}
	last := b.services[svc.Name]
	if last != nil && bytes.Equal(last.settings, settings) && slices.Equal(last.service.Routes, svc.Routes) {
		b.markUsed(svc.Routes)
		return last, nil
	}
	if err := svc.validate(func(r *Route) bool { return b.routes[r] != nil }); err != nil {
		return nil, err
	}
	ref, err := b.chunkRef(svc, settings)
	if err != nil {
		return nil, err
	}
	return &builtService{service: svc, settings: settings, ref: ref}, nil
}

// emptyRoutes is how a service without routes encodes them. No other field has that name.
var emptyRoutes = []byte(`"routes":[]`)

// chunkRef returns the name, size and digest of the chunk of svc, which holds the bytes that
// Service.Encode returns. settings is the encoding of svc without its routes.
func (b *Builder) chunkRef(svc *Service, settings []byte) (release.ChunkRef, error) {
	at := bytes.Index(settings, emptyRoutes) + len(emptyRoutes) - 1
	hash := sha256.New()
	size := len(settings)
	hash.Write(settings[:at])
	for i, r := range svc.Routes {
		if i%yieldRoutes == 0 {
			b.yield()
		}
		route, err := b.encodeRoute(r)
		if err != nil {
			return release.ChunkRef{}, fmt.Errorf("service %q: %w", svc.Name, err)
		}
		if i > 0 {
			hash.Write([]byte{','})
			size++
		}
		hash.Write(route.data)
		size += len(route.data)
	}
	hash.Write(settings[at:])
	return release.ChunkRef{Name: svc.Name, Digest: release.Digest(hash.Sum(nil)), Size: size}, nil
}

// typicalRouteBytes is the size of the encoding of most routes.
const typicalRouteBytes = 256

// encodeRoute returns the encoding of a valid route.
func (b *Builder) encodeRoute(r *Route) (*builtRoute, error) {
	built := b.routes[r]
	if built == nil {
		data, err := appendRoute(make([]byte, 0, typicalRouteBytes), r)
		if err != nil {
			return nil, err
		}
		built = &builtRoute{data: data}
		b.routes[r] = built
	}
	built.used = b.releases
	return built, nil
}

func (b *Builder) markUsed(routes []*Route) {
	for _, r := range routes {
		b.routes[r].used = b.releases
	}
}

// maxUnused is the number of routes that are kept beyond those of the last release, relative to
// these.
const maxUnused = 0.5

// dropUnused drops the routes that the last release does not have, once there are many of them.
func (b *Builder) dropUnused() {
	inRelease := 0
	for _, built := range b.services {
		inRelease += len(built.service.Routes)
	}
	if float64(len(b.routes)) <= (1+maxUnused)*float64(inRelease) {
		return
	}
	for r, built := range b.routes {
		if built.used != b.releases {
			delete(b.routes, r)
		}
	}
}
