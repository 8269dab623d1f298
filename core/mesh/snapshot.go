package mesh

import (
	"fmt"
	"slices"
	"strings"

	"auburnladder.example/core/release"
)

// Snapshot is the configuration of one whole release. It is immutable: the
// request path reads it through one atomic pointer without locks.
type Snapshot struct {
	Version release.Version
	KeyID   string
	// Approved is the manifest with its approvals, nil in a snapshot for checks only.
	Approved *release.Approved
	services map[string]*Service
	// digests holds the digest of each service's chunk by the service's name.
	digests map[string]release.Digest
	hosts   map[string][]*Match
	// clients is from any service that has limits: they are the same for all.
	clients *ClientLimits
}

// Match is a route together with everything that a call through it needs.
type Match struct {
	// Owner is the service whose questionnaire declared the route.
	Owner    *Service
	Route    *Route
	Target   *Service
	Resource *Resource
	// Parts are the services of a split route with the sums of the weights up to and
	// including each, relative to all; empty if all requests go to Target.
	Parts []MatchPart
}

// MatchPart is a service of a split route.
type MatchPart struct {
	Service *Service
	// UpTo is the upper end of the part's interval within 0 to 1.
	UpTo float64
}

// Pick returns the service for a request at position at of the split, 0 up to but
// excluding 1.
func (m *Match) Pick(at float64) *Service {
	for _, p := range m.Parts {
		if at < p.UpTo {
			return p.Service
		}
	}
	return m.Target
}

// ChunkSource returns the verified bytes of a chunk.
type ChunkSource func(release.Digest) ([]byte, bool)

// MissingChunkError reports that a chunk of a release isn't at hand.
type MissingChunkError struct {
	Ref release.ChunkRef
}

// Error names the chunk.
func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("chunk %q %s is missing", e.Ref.Name, e.Ref.Digest.Short())
}

// Build decodes and validates every chunk of v and resolves every reference. It
// returns a complete snapshot or an error, never a part.
func Build(v *release.Verified, chunks ChunkSource) (*Snapshot, error) {
	return Rebuild(nil, v, chunks)
}

// Rebuild does what Build does and takes services whose chunks did not change over from
// an earlier snapshot, which may be nil. References are always resolved anew.
func Rebuild(earlier *Snapshot, v *release.Verified, chunks ChunkSource) (*Snapshot, error) {
	s := &Snapshot{
		Version:  v.Version,
		KeyID:    v.KeyID,
		Approved: v.Approved,
		services: make(map[string]*Service, len(v.Manifest.Chunks)),
		digests:  make(map[string]release.Digest, len(v.Manifest.Chunks)),
		hosts:    make(map[string][]*Match),
	}
	for _, ref := range v.Manifest.Chunks {
		svc := earlier.unchanged(ref)
		if svc == nil {
			var err error
			if svc, err = loadService(ref, chunks); err != nil {
				return nil, err
			}
		}
		s.services[svc.Name] = svc
		if svc.Clients != nil {
			s.clients = svc.Clients
		}
		s.digests[svc.Name] = ref.Digest
	}
	for _, ref := range v.Manifest.Chunks {
		if err := s.link(s.services[ref.Name]); err != nil {
			return nil, err
		}
	}
	for _, matches := range s.hosts {
		slices.SortStableFunc(matches, func(a, b *Match) int {
			return len(b.Route.Prefix) - len(a.Route.Prefix)
		})
	}
	return s, nil
}

// unchanged returns the service that was decoded from the same chunk, or nil.
func (s *Snapshot) unchanged(ref release.ChunkRef) *Service {
	if s == nil || s.digests[ref.Name] != ref.Digest {
		return nil
	}
	return s.services[ref.Name]
}

func loadService(ref release.ChunkRef, chunks ChunkSource) (*Service, error) {
	data, found := chunks(ref.Digest)
	if !found {
		return nil, &MissingChunkError{Ref: ref}
	}
	if len(data) != ref.Size || release.DigestOf(data) != ref.Digest {
		return nil, fmt.Errorf("chunk %q: content does not match its digest", ref.Name)
	}
	svc, err := ParseService(data)
	if err != nil {
		return nil, err
	}
	if svc.Name != ref.Name {
		return nil, svc.fail("name", fmt.Sprintf("manifest names this chunk %q", ref.Name))
	}
	return svc, nil
}

func (s *Snapshot) link(svc *Service) error {
	for i, c := range svc.Callers {
		if c != PublicCaller && c != AnyCaller && s.services[c] == nil {
			return svc.fail(fmt.Sprintf("callers[%d]", i), fmt.Sprintf("service %q is not in this release", c))
		}
	}
	matches := make([]*Match, 0, len(svc.Routes))
	for i := range svc.Routes {
		m, err := s.resolve(svc, i)
		if err != nil {
			return err
		}
		if host := m.Route.Host; host != "" {
			s.hosts[hostName(host)] = append(s.hosts[hostName(host)], m)
			continue
		}
		matches = append(matches, m)
	}
	for _, h := range svc.Hosts {
		if len(s.hosts[h]) > 0 && s.hosts[h][0].Owner != svc {
			return svc.fail("hosts", fmt.Sprintf("%q also belongs to service %q", h, s.hosts[h][0].Owner.Name))
		}
		s.hosts[h] = slices.Clone(matches)
	}
	return nil
}

func (s *Snapshot) resolve(svc *Service, i int) (*Match, error) {
	r := &svc.Routes[i]
	target := s.services[r.Service]
	if target == nil {
		return nil, svc.fail(fmt.Sprintf("routes[%d].service", i), fmt.Sprintf("service %q is not in this release", r.Service))
	}
	res := target.resource(r.Resource)
	if res == nil {
		return nil, svc.fail(fmt.Sprintf("routes[%d].resource", i), fmt.Sprintf("service %q has no resource %q", r.Service, r.Resource))
	}
	m := &Match{Owner: svc, Route: r, Target: target, Resource: res}
	return m, s.resolveSplit(svc, i, m)
}

// resolveSplit fills in the parts of a split route.
func (s *Snapshot) resolveSplit(svc *Service, i int, m *Match) error {
	sum := 0.0
	for _, part := range m.Route.Split {
		sum += part.Weight
	}
	upTo := 0.0
	for j, part := range m.Route.Split {
		target := s.services[part.Service]
		if target == nil {
			field := fmt.Sprintf("routes[%d].split[%d].service", i, j)
			return svc.fail(field, fmt.Sprintf("service %q is not in this release", part.Service))
		}
		upTo += part.Weight / sum
		m.Parts = append(m.Parts, MatchPart{Service: target, UpTo: upTo})
	}
	return nil
}

func (s *Service) resource(name string) *Resource {
	for i := range s.Resources {
		if s.Resources[i].Name == name {
			return &s.Resources[i]
		}
	}
	return nil
}

// ClientLimits returns what bounds the clients of the nodes, nil for their defaults.
func (s *Snapshot) ClientLimits() *ClientLimits { return s.clients }

// Service returns the configuration of the named service, or nil.
func (s *Snapshot) Service(name string) *Service {
	return s.services[name]
}

// Services returns all services in order of name.
func (s *Snapshot) Services() []*Service {
	all := make([]*Service, 0, len(s.services))
	for _, svc := range s.services {
		all = append(all, svc)
	}
	slices.SortFunc(all, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// MatchRoute returns the route with the longest matching prefix, or nil. A port in
// host and its case do not matter.
func (s *Snapshot) MatchRoute(host, method, path string) *Match {
	for _, m := range s.hosts[hostName(host)] {
		if hasPathPrefix(path, m.Route.Prefix) && m.Route.allows(method) {
			return m
		}
	}
	return nil
}

// allows reports whether the route takes requests with the method.
func (r *Route) allows(method string) bool {
	return r.Methods[0] == AnyMethod || slices.Contains(r.Methods, method)
}

// Allows reports whether caller may call the service.
func (s *Service) Allows(caller string) bool {
	return slices.Contains(s.Callers, caller) || slices.Contains(s.Callers, AnyCaller)
}

// hostName returns the name in an HTTP authority, in lower case.
func hostName(authority string) string {
	name, _, _ := strings.Cut(authority, ":")
	return strings.ToLower(name)
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || rest[0] == '/' || prefix[len(prefix)-1] == '/'
}
