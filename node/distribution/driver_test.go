package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/platform"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

// waitTimeout bounds every wait for a condition. No test asserts how long a wait takes.
const waitTimeout = 60 * time.Second

// fakePlatform is an in-memory implementation of the platform's key-value API with watches.
type fakePlatform struct {
	mu       sync.Mutex
	values   map[string][]byte
	revision map[string]uint64
	changed  chan struct{}
	watches  atomic.Int64
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string][]byte{}, revision: map[string]uint64{}, changed: make(chan struct{})}
}

func (s *fakePlatform) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
	s.revision[key]++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakePlatform) read(key string) ([]byte, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.revision[key], s.changed
}

func (s *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	value, revision, changed := s.read(key)
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watches.Add(1)
		defer s.watches.Add(-1)
		after, _ := strconv.ParseUint(watch, 10, 64)
		for revision <= after {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
			value, revision, changed = s.read(key)
		}
	}
	w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
	if value == nil {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

// testFleet is a set of drivers in one process, connected by real sessions over loopback.
type testFleet struct {
	t      *testing.T
	source *fakePlatform
	url    string
	key    *release.SigningKey
	trust  *release.Trust
	vms    []vmlist.VM
	nodes  []*testNode
}

// testNode is one running driver.
type testNode struct {
	vm     vmlist.VM
	driver *Driver
	state  *state.State
	// blackhole makes the connections that were dialed before discard all writes.
	blackhole atomic.Bool
	stop      func()
}

// ServeStream implements peers.Handler.
func (m *testNode) ServeStream(_ context.Context, from peers.Peer, req *peerpb.Request, st *session.Stream) {
	m.driver.ServeStream(from.VM, req, st)
}

func newTestFleet(t *testing.T, size, domains int) *testFleet {
	key, err := release.GenerateKey("ops")
	So(err, ShouldBeNil)
	trust, err := release.NewTrust([]string{key.Public()})
	So(err, ShouldBeNil)
	f := &testFleet{t: t, source: newFakePlatform(), key: key, trust: trust}
	server := httptest.NewServer(f.source)
	f.url = server.URL
	Reset(func() {
		for _, m := range f.nodes {
			m.stop()
		}
		server.CloseClientConnections()
		server.Close()
	})
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		vm := vmlist.VM{
			ID: fmt.Sprintf("vm-%d", i), Service: "a", Domain: fmt.Sprintf("d%d", i%domains), Region: "r",
			Peer: l.Addr().(*net.TCPAddr).AddrPort(),
		}
		f.vms = append(f.vms, vm)
		f.nodes = append(f.nodes, f.start(vm, l))
	}
	list := vmlist.List{VMs: f.vms}
	data, err := list.Encode()
	So(err, ShouldBeNil)
	f.source.put(release.VMListKey, data)
	return f
}

// start runs a driver that accepts sessions of peers from l.
func (f *testFleet) start(vm vmlist.VM, l net.Listener) *testNode {
	log := zerolog.Nop()
	m := &testNode{vm: vm, state: state.New(state.Identity{VM: vm.ID, Domain: vm.Domain})}
	cmd := &command.Commander{State: m.state, Log: log, Now: time.Now}
	client := platform.NewClient(platform.Config{BaseURLs: []string{f.url}, Timeout: 2 * time.Second, Wait: 30 * time.Second})
	cfg := Config{Machine: distribution.Convergence(), Self: vm, Trust: f.trust}
	var err error
	m.driver, err = New(cfg, client, cmd, log)
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	hello := func() *peerpb.Hello { return &peerpb.Hello{Vm: vm.ID, Service: vm.Service, Domain: vm.Domain} }
	sessions := peers.DefaultConfig()
	sessions.Transport = m
	sessions.Session.ProbeInterval = 200 * time.Millisecond
	sessions.Session.ProbeTimeout = 500 * time.Millisecond
	set := peers.New(ctx, sessions, hello, m, log)
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = set.Serve(l) })
	tasks.Go(func() { m.driver.Run(ctx, set) })
	m.stop = func() {
		cancel()
		set.Close()
		tasks.Wait()
		client.Close()
	}
	return m
}

// restart replaces a driver with a new one that has no state.
func (f *testFleet) restart(i int) {
	f.nodes[i].stop()
	l, err := net.Listen("tcp", f.vms[i].Peer.String())
	So(err, ShouldBeNil)
	f.nodes[i] = f.start(f.vms[i], l)
}

// blackholeConn discards writes while blackhole is set, as a network path that drops all
// packets does.
type blackholeConn struct {
	net.Conn
	blackhole *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.blackhole.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Dial implements peers.Transport. Connections dialed before blackhole is set discard all
// writes from then on; those dialed afterwards work.
func (m *testNode) Dial(ctx context.Context, vm string, addr netip.AddrPort) (net.Conn, error) {
	conn, err := peers.TCP{}.Dial(ctx, vm, addr)
	if err != nil || m.blackhole.Load() {
		return conn, err
	}
	return blackholeConn{Conn: conn, blackhole: &m.blackhole}, nil
}

// Accept implements peers.Transport.
func (m *testNode) Accept(ctx context.Context, conn net.Conn) (net.Conn, string, error) {
	return peers.TCP{}.Accept(ctx, conn)
}

// publish stores a release of one service at the platform. Releases of one sequence
// number differ by salt.
func (f *testFleet) publish(sequence uint64, salt int) release.Version {
	svc := &mesh.Service{
		Name: "a", Hosts: []string{"a.example"}, Callers: []string{mesh.PublicCaller}, Priority: mesh.PriorityNormal,
		Server: mesh.Server{Slots: 1, Connections: 1 + salt}, Stop: mesh.Stop{Method: mesh.StopNone, Grace: 1},
	}
	chunk, err := svc.Encode()
	So(err, ShouldBeNil)
	m := &release.Manifest{Format: release.FormatVersion, Sequence: sequence, Chunks: []release.ChunkRef{
		{Name: "a", Digest: release.DigestOf(chunk), Size: len(chunk)},
	}}
	data, err := m.Encode()
	So(err, ShouldBeNil)
	value, err := f.key.Approve(&release.Approved{Manifest: data}).Encode()
	So(err, ShouldBeNil)
	f.source.put(release.ChunkKey(release.DigestOf(chunk)), chunk)
	f.source.put(release.CurrentKey, value)
	return release.Version{Sequence: sequence, Digest: release.DigestOf(data)}
}

// waitForRelease waits until all nodes hold and serve v, and reports whether they did
// within waitTimeout.
func (f *testFleet) waitForRelease(v release.Version) bool {
	return eventually(func() bool {
		for _, m := range f.nodes {
			s := m.driver.Status()
			if s.Versions.Held != v || s.Phase != distribution.PhaseServing || m.state.Snapshot().Version != v {
				return false
			}
		}
		return true
	})
}

func eventually(condition func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// A release must reach all nodes, and no node may return to an older one, also when the
// platform is stale or when sessions stop carrying data without being closed.
func TestDrivers(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given eight nodes in two failure domains", t, func() {
		f := newTestFleet(t, 8, 2)
		v := f.publish(1, 1)
		So(f.waitForRelease(v), ShouldBeTrue)

		Convey("only the four readers watch the platform, each the release and the VM list", func() {
			So(eventually(func() bool { return f.source.watches.Load() == 8 }), ShouldBeTrue)
		})
		Convey("a new release reaches all nodes, as a delta", func() {
			next := f.publish(2, 2)
			So(f.waitForRelease(next), ShouldBeTrue)
			So(f.nodes[0].driver.Metrics().Get("applies").String(), ShouldEqual, "2")
		})
		Convey("a node that restarts while the platform serves an older release gets the newest from its peers", func() {
			next := f.publish(2, 2)
			So(f.waitForRelease(next), ShouldBeTrue)
			f.publish(1, 1)
			f.restart(0)
			So(f.waitForRelease(next), ShouldBeTrue)
		})
		Convey("unresponsive sessions are replaced and releases still reach all nodes", func() {
			for _, m := range f.nodes {
				m.blackhole.Store(true)
			}
			next := f.publish(2, 2)
			So(f.waitForRelease(next), ShouldBeTrue)
			So(eventually(func() bool {
				for _, m := range f.nodes {
					if m.driver.Metrics().Get("sessions_replaced").String() == "0" {
						return false
					}
				}
				return true
			}), ShouldBeTrue)
		})
	})
}

// The request path must detect a pause of the process before the state machine resumes.
func TestPaused(t *testing.T) {
	Convey("The driver reports a pause if its last step is longer ago than the pause gap", t, func() {
		d := &Driver{cfg: Config{Machine: distribution.Convergence()}}
		now := time.Now()
		So(d.Paused(now), ShouldBeFalse)
		d.lastStep.Store(now.UnixNano())
		So(d.Paused(now.Add(time.Second)), ShouldBeFalse)
		So(d.Paused(now.Add(time.Minute)), ShouldBeTrue)
	})
}
