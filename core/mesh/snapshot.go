package mesh

import (
	"fmt"
	"slices"
	"strings"

	"auburnladder.example/core/release"
)

// Snapshot is the configuration of one complete release. It is immutable, so that
// the request path can read it through an atomic pointer without locks.
type Snapshot struct {
	Version release.Version
	KeyID   string
	// Approved is the manifest with its approvals; nil in a snapshot that was built only
	// to validate a release.
	Approved *release.Approved
	services map[string]*Service
	// digests maps the name of each service to the digest of its chunk.
	digests map[string]release.Digest
	// hosts maps host names to their routes, longest prefix first.
	hosts map[string][]*Match
	// clients is taken from any service that has limits, as they are the same for all.
	clients *ClientLimits
}

// Match is a route with its references resolved.
type Match struct {
	// Owner is the service whose questionnaire declared the route.
	Owner    *Service
	Route    *Route
	Target   *Service
	Resource *Resource
	// Parts are the services of a split route with their cumulative weights, relative
	// to the total weight; empty if all requests go to Target.
	Parts []MatchPart
}

// MatchPart is one service of a split route.
type MatchPart struct {
	Service *Service
	// UpTo is the exclusive upper bound of the part's interval in [0, 1].
	UpTo float64
}

// Pick returns the service for a request at the given position of the split, a number
// in [0, 1). It returns m.Target if no part's interval contains the position, as for a
// route without a split.
func (m *Match) Pick(position float64) *Service {
	for _, p := range m.Parts {
		if position < p.UpTo {
			return p.Service
		}
	}
	return m.Target
}

// ChunkSource returns the bytes of the chunk with the given digest, and whether it is
// available.
type ChunkSource func(release.Digest) ([]byte, bool)

// MissingChunkError reports that a chunk of a release is not available locally.
type MissingChunkError struct {
	Ref release.ChunkRef
}

// Error returns a message with the name and the shortened digest of the chunk.
func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("chunk %q %s is missing", e.Ref.Name, e.Ref.Digest.Short())
}

// Build decodes and validates every chunk of v and resolves every reference. It
// returns a complete snapshot or an error, never a partial snapshot.
func Build(v *release.Verified, chunks ChunkSource) (*Snapshot, error) {
	return Rebuild(nil, v, chunks)
}

// Rebuild is like Build but reuses the decoded services of the previous snapshot whose
// chunks did not change. previous may be nil. References are always resolved again.
func Rebuild(previous *Snapshot, v *release.Verified, chunks ChunkSource) (*Snapshot, error) {
	return rebuild(previous, v, func(ref release.ChunkRef) (*Service, error) { return loadService(ref, chunks) })
}

// rebuild is Rebuild with a function that returns the decoded and valid service of a chunk.
func rebuild(previous *Snapshot, v *release.Verified, load func(release.ChunkRef) (*Service, error)) (*Snapshot, error) {
	s := &Snapshot{
		Version:  v.Version,
		KeyID:    v.KeyID,
		Approved: v.Approved,
		services: make(map[string]*Service, len(v.Manifest.Chunks)),
		digests:  make(map[string]release.Digest, len(v.Manifest.Chunks)),
		hosts:    make(map[string][]*Match),
	}
	for _, ref := range v.Manifest.Chunks {
		svc := previous.reusableService(ref)
		if svc == nil {
			var err error
			if svc, err = load(ref); err != nil {
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
		if err := s.resolveService(s.services[ref.Name]); err != nil {
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

// reusableService returns the service of s that was decoded from the chunk ref, or
// nil. s may be nil.
func (s *Snapshot) reusableService(ref release.ChunkRef) *Service {
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
		return nil, svc.fieldError("name", fmt.Sprintf("does not match the chunk name %q in the manifest", ref.Name))
	}
	return svc, nil
}

// resolveService checks the callers of svc, resolves its routes and registers its hosts.
func (s *Snapshot) resolveService(svc *Service) error {
	for i, c := range svc.Callers {
		if c != PublicCaller && c != AnyCaller && s.services[c] == nil {
			return svc.fieldError(fmt.Sprintf("callers[%d]", i), fmt.Sprintf("service %q is not in this release", c))
		}
	}
	matches := make([]*Match, 0, len(svc.Routes))
	resolved := make([]Match, len(svc.Routes))
	for i := range svc.Routes {
		m := &resolved[i]
		if err := s.resolveRoute(svc, i, m); err != nil {
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
			return svc.fieldError("hosts", fmt.Sprintf("host %q is already used by service %q", h, s.hosts[h][0].Owner.Name))
		}
		s.hosts[h] = slices.Clone(matches)
	}
	return nil
}

// resolveRoute sets m to route i of svc with its references resolved.
func (s *Snapshot) resolveRoute(svc *Service, i int, m *Match) error {
	r := svc.Routes[i]
	target := s.services[r.Service]
	if target == nil {
		return svc.fieldError(fmt.Sprintf("routes[%d].service", i), fmt.Sprintf("service %q is not in this release", r.Service))
	}
	res := target.resource(r.Resource)
	if res == nil {
		return svc.fieldError(fmt.Sprintf("routes[%d].resource", i), fmt.Sprintf("service %q has no resource %q", r.Service, r.Resource))
	}
	*m = Match{Owner: svc, Route: r, Target: target, Resource: res}
	return s.resolveSplit(svc, i, m)
}

// resolveSplit sets m.Parts from the split of route i of svc.
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
			return svc.fieldError(field, fmt.Sprintf("service %q is not in this release", part.Service))
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

// ClientLimits returns the limits for clients of the nodes; nil selects the nodes'
// defaults.
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

// MatchRoute returns the route with the longest matching prefix, or nil. It ignores
// the case of host and a port in it.
func (s *Snapshot) MatchRoute(host, method, path string) *Match {
	for _, m := range s.hosts[hostName(host)] {
		if hasPathPrefix(path, m.Route.Prefix) && m.Route.allowsMethod(method) {
			return m
		}
	}
	return nil
}

// HasHost reports whether a service or a route names the host. It ignores its case and a port
// in it.
func (s *Snapshot) HasHost(host string) bool {
	_, found := s.hosts[hostName(host)]
	return found
}

// allowsMethod reports whether the route accepts requests with the method.
func (r *Route) allowsMethod(method string) bool {
	return r.Methods[0] == AnyMethod || slices.Contains(r.Methods, method)
}

// Allows reports whether caller may call the service.
func (s *Service) Allows(caller string) bool {
	return slices.Contains(s.Callers, caller) || slices.Contains(s.Callers, AnyCaller)
}

// hostName returns the host name of an HTTP authority in lower case, without the port.
func hostName(authority string) string {
	end := strings.IndexByte(authority, ']') + 1 // behind the colons of an IPv6 address
	name, _, _ := strings.Cut(authority[end:], ":")
	return strings.ToLower(authority[:end] + name)
}

// hasPathPrefix reports whether path starts with prefix at a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || rest[0] == '/' || prefix[len(prefix)-1] == '/'
}
