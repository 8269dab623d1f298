package questionnaire

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/yamlcheck"
)

// Options holds the inputs of Compile other than the answers.
type Options struct {
	// Deployment is the name of the deployment. If empty, the name in Base is used.
	Deployment string
	// Base is the predecessor of the new release, nil for the first release.
	Base *release.Manifest
}

// Chunk is a chunk with its reference.
type Chunk struct {
	Ref release.ChunkRef
	// Data is the canonical encoding of a mesh.Service.
	Data []byte
}

// Release is a compiled release without approvals.
type Release struct {
	Version  release.Version
	Manifest *release.Manifest
	// Encoded is the canonical encoding of Manifest: the bytes that are hashed and
	// approved.
	Encoded []byte
	// Chunks are in the order of the manifest.
	Chunks []Chunk
}

// Compile compiles the questionnaires of a deployment into the release that follows
// opts.Base. The result is deterministic: equal answers give equal bytes, regardless of
// the order of files, lists and keys. Compile runs the same checks as a node that
// receives the release.
func Compile(all []*Parsed, opts Options) (*Release, error) {
	manifest, err := opts.newManifest()
	if err != nil {
		return nil, err
	}
	r := &Release{Manifest: manifest}
	for _, p := range all {
		chunk, err := compileChunk(&p.Questionnaire)
		if err != nil {
			return nil, err
		}
		r.Chunks = append(r.Chunks, chunk)
	}
	slices.SortFunc(r.Chunks, func(a, b Chunk) int { return strings.Compare(a.Ref.Name, b.Ref.Name) })
	for _, c := range r.Chunks {
		manifest.Chunks = append(manifest.Chunks, c.Ref)
	}
	if r.Encoded, err = manifest.Encode(); err != nil {
		return nil, err
	}
	r.Version = release.Version{Sequence: manifest.Sequence, Digest: release.DigestOf(r.Encoded)}
	return r, r.validate()
}

// newManifest returns the manifest of the new release without its chunks.
func (o Options) newManifest() (*release.Manifest, error) {
	m := &release.Manifest{Format: release.FormatVersion, Deployment: o.Deployment, Sequence: 1}
	if o.Base != nil {
		parent, err := o.Base.Encode()
		if err != nil {
			return nil, fmt.Errorf("base: %w", err)
		}
		m.Sequence = o.Base.Sequence + 1
		m.Parent = release.DigestOf(parent)
		m.Deployment = cmp.Or(o.Deployment, o.Base.Deployment)
		if m.Deployment != o.Base.Deployment {
			return nil, fmt.Errorf("deployment %q: the base release belongs to deployment %q", m.Deployment, o.Base.Deployment)
		}
	}
	if m.Deployment == "" {
		return nil, errors.New("deployment: a name is required")
	}
	return m, nil
}

func compileChunk(q *Questionnaire) (Chunk, error) {
	data, err := q.ToService().Encode()
	if err != nil {
		return Chunk{}, err
	}
	ref := release.ChunkRef{Name: q.Service, Digest: release.DigestOf(data), Size: len(data)}
	return Chunk{Ref: ref, Data: data}, nil
}

// validate builds the snapshot of the release as a node does, and returns its error.
func (r *Release) validate() error {
	_, err := r.Snapshot()
	return err
}

// Snapshot returns the snapshot that a node builds from r.
func (r *Release) Snapshot() (*mesh.Snapshot, error) {
	data := make(map[release.Digest][]byte, len(r.Chunks))
	for _, c := range r.Chunks {
		data[c.Ref.Digest] = c.Data
	}
	unapproved := &release.Verified{Version: r.Version, Manifest: r.Manifest}
	return mesh.Build(unapproved, func(d release.Digest) ([]byte, bool) {
		chunk, found := data[d]
		return chunk, found
	})
}

// ToService converts q into the configuration of its service, with all lists in
// canonical order.
func (q *Questionnaire) ToService() *mesh.Service {
	s := &mesh.Service{
		Name:     q.Service,
		Hosts:    sorted(q.Hosts),
		Callers:  sorted(q.Callers),
		Priority: mesh.Priority(q.Priority),
		Server: mesh.Server{
			Slots:       q.Servers.Slots,
			Connections: q.Servers.Connections,
			SlowStart:   millis(q.Servers.SlowStart),
			DrainPath:   q.Servers.DrainPath,
		},
		Stop: mesh.Stop{Method: mesh.StopMethod(q.Stop.How), Path: q.Stop.Path, Grace: millis(q.Stop.Grace)},
	}
	for _, r := range q.Resources {
		s.Resources = append(s.Resources, mesh.Resource{
			Name:             r.Name,
			MaxRequestBytes:  int64(r.MaxRequest),
			MaxResponseBytes: int64(r.MaxResponse),
		})
	}
	for i := range q.Routes {
		s.Routes = append(s.Routes, q.Routes[i].toMesh(q.Service))
	}
	slices.SortFunc(s.Resources, func(a, b mesh.Resource) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Routes, func(a, b *mesh.Route) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// toMesh converts r. owner is the service whose questionnaire declares r.
func (r *Route) toMesh(owner string) *mesh.Route {
	return &mesh.Route{
		Name:       r.Name,
		Methods:    sorted(r.Methods),
		Prefix:     r.Path,
		Service:    r.target(owner),
		Resource:   r.Resource,
		Idempotent: r.Idempotent,
		Retry:      mesh.Retry{Attempts: r.Retry.Attempts, Statuses: sorted(r.Retry.Statuses)},
		Deadline:   millis(r.Deadline),
	}
}

func millis(d yamlcheck.Duration) mesh.Millis {
	return mesh.Millis(d.Std().Milliseconds())
}

// sorted returns a sorted copy of list. It is never nil, so that an empty list is
// encoded as [] and not as null.
func sorted[T cmp.Ordered](list []T) []T {
	out := append([]T{}, list...)
	slices.Sort(out)
	return out
}
