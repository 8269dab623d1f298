package distribution

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// epoch is the virtual time at which tests start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testKeyText is a fixed signing key, so that the signatures in recorded traces remain
// valid.
const testKeyText = "ops:AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

// fixture holds the approval key pair of a test.
type fixture struct {
	key   *release.SigningKey
	trust *release.Trust
}

// testRelease is an approved release with its chunks.
type testRelease struct {
	version  release.Version
	approved *release.Approved
	value    []byte
	chunks   map[release.Digest][]byte
	services []string
}

func newFixture() *fixture {
	key, err := release.ParseSigningKey(testKeyText)
	if err != nil {
		panic(err)
	}
	trust, err := release.NewTrust([]string{key.Public()})
	if err != nil {
		panic(err)
	}
	return &fixture{key: key, trust: trust}
}

// service returns a service with one route to target. salt varies its content.
func service(name, target string, salt int) *mesh.Service {
	return &mesh.Service{
		Name:      name,
		Hosts:     []string{name + ".example"},
		Callers:   []string{mesh.PublicCaller},
		Priority:  mesh.PriorityNormal,
		Server:    mesh.Server{Slots: 10, Connections: 110},
		Stop:      mesh.Stop{Method: mesh.StopNone, Grace: 1000},
		Resources: []mesh.Resource{{Name: "main", MaxRequestBytes: int64(1000 + salt), MaxResponseBytes: 1000}},
		Routes: []*mesh.Route{{
			Name: "all", Methods: []string{"GET"}, Prefix: "/", Service: target, Resource: "main",
			Idempotent: true, Retry: mesh.Retry{Attempts: 2}, Deadline: 1000,
		}},
	}
}

// build returns an approved release of the services a, b and c. salt varies the content
// of b.
func (f *fixture) build(sequence uint64, parent release.Digest, salt int) *testRelease {
	return f.buildServices(sequence, parent, []*mesh.Service{
		service("a", "b", 0), service("b", "c", salt), service("c", "c", 0),
	})
}

// buildDangling returns an approved release with a route to a service that does not
// exist.
func (f *fixture) buildDangling(sequence uint64, salt int) *testRelease {
	return f.buildServices(sequence, release.Digest{}, []*mesh.Service{service("a", "gone", salt)})
}

func (f *fixture) buildServices(sequence uint64, parent release.Digest, services []*mesh.Service) *testRelease {
	b := &testRelease{chunks: make(map[release.Digest][]byte)}
	m := &release.Manifest{Format: release.FormatVersion, Deployment: "test", Sequence: sequence, Parent: parent}
	for _, svc := range services {
		data, err := svc.Encode()
		if err != nil {
			panic(err)
		}
		ref := release.ChunkRef{Name: svc.Name, Digest: release.DigestOf(data), Size: len(data)}
		m.Chunks = append(m.Chunks, ref)
		b.chunks[ref.Digest] = data
		b.services = append(b.services, svc.Name)
	}
	encoded, err := m.Encode()
	if err != nil {
		panic(err)
	}
	b.approved = f.key.Approve(&release.Approved{Manifest: encoded})
	b.version = release.Version{Sequence: sequence, Digest: release.DigestOf(encoded)}
	b.value = encode(b.approved)
	return b
}

func encode(a *release.Approved) []byte {
	data, err := a.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// withInvalidSignature returns the release with an invalid approval signature.
func (b *testRelease) withInvalidSignature() *release.Approved {
	return &release.Approved{
		Manifest:  b.approved.Manifest,
		Approvals: []release.Approval{{KeyID: "ops", Signature: make([]byte, 64)}},
	}
}

// newFleet returns n VMs in the given number of failure domains, with three domains per
// region.
func newFleet(n, domains int) []vmlist.VM {
	vms := make([]vmlist.VM, n)
	for i := range vms {
		d := i % domains
		vms[i] = vmlist.VM{
			ID:      fmt.Sprintf("vm-%03d", i),
			Service: "a",
			Domain:  fmt.Sprintf("d%d", d),
			Region:  fmt.Sprintf("r%d", d/3),
			Peer:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
		}
	}
	return vms
}

func testConfig() Config {
	c := DefaultConfig()
	c.TickInterval = 200 * time.Millisecond
	c.FleetSize = 10
	return c
}

func newMachine(t testing.TB, f *fixture, cfg Config, self vmlist.VM, seed uint64) *Machine {
	t.Helper()
	m, err := New(cfg, self, f.trust, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// findAction returns the first action of type A.
func findAction[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found, true
		}
	}
	var none A
	return none, false
}

func encodeVMList(vms []vmlist.VM) []byte {
	list := vmlist.List{VMs: vms}
	data, err := list.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func (b *testRelease) manifest() *release.Manifest {
	m, err := release.ParseManifest(b.approved.Manifest)
	if err != nil {
		panic(err)
	}
	return m
}

// allChunks returns the chunks in the order of the manifest.
func (b *testRelease) allChunks() [][]byte {
	var all [][]byte
	for _, ref := range b.manifest().Chunks {
		all = append(all, b.chunks[ref.Digest])
	}
	return all
}
