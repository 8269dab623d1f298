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

// waitLimit bounds every wait for a condition; no test depends on how long it takes.
const waitLimit = 60 * time.Second

// source is the platform's service in a test.
type source struct {
	mu       sync.Mutex
	values   map[string][]byte
	revision map[string]uint64
	changed  chan struct{}
	watches  atomic.Int64
}

func newSource() *source {
	return &source{values: map[string][]byte{}, revision: map[string]uint64{}, changed: make(chan struct{})}
}

func (s *source) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
	s.revision[key]++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) read(key string) ([]byte, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.revision[key], s.changed
}

func (s *source) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// fleet is a number of drivers in one process, with real sessions between them.
type fleet struct {
	t      *testing.T
	source *source
	url    string
	key    *release.SigningKey
	trust  *release.Trust
	vms    []vmlist.VM
	nodes  []*member
}

// member is one running driver. silent makes its connections swallow everything.
type member struct {
	vm     vmlist.VM
	driver *Driver
	state  *state.State
	silent atomic.Bool
	stop   func()
}

// ServeStream implements peers.Handler.
func (m *member) ServeStream(_ context.Context, from peers.Peer, req *peerpb.Request, st *session.Stream) {
	m.driver.ServeStream(from.VM, req, st)
}

func newFleet(t *testing.T, size, domains int) *fleet {
	key, err := release.GenerateKey("ops")
	So(err, ShouldBeNil)
	trust, err := release.NewTrust([]string{key.Public()})
	So(err, ShouldBeNil)
	f := &fleet{t: t, source: newSource(), key: key, trust: trust}
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

// start runs a driver that serves its peers at l.
func (f *fleet) start(vm vmlist.VM, l net.Listener) *member {
	log := zerolog.Nop()
	m := &member{vm: vm, state: state.New(state.Identity{VM: vm.ID, Domain: vm.Domain})}
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

// restart replaces a driver by one that knows nothing.
func (f *fleet) restart(i int) {
	f.nodes[i].stop()
	l, err := net.Listen("tcp", f.vms[i].Peer.String())
	So(err, ShouldBeNil)
	f.nodes[i] = f.start(f.vms[i], l)
}

// silentConn is a connection that has lost its way: writes go nowhere.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Dial implements peers.Transport. Its connections become silent for good once silent
// was set; later ones work.
func (m *member) Dial(ctx context.Context, vm string, addr netip.AddrPort) (net.Conn, error) {
	conn, err := peers.TCP{}.Dial(ctx, vm, addr)
	if err != nil || m.silent.Load() {
		return conn, err
	}
	return silentConn{Conn: conn, silent: &m.silent}, nil
}

// Accept implements peers.Transport.
func (m *member) Accept(ctx context.Context, conn net.Conn) (net.Conn, string, error) {
	return peers.TCP{}.Accept(ctx, conn)
}

func (f *fleet) publish(sequence uint64, salt int) release.Version {
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

// reach waits until all nodes serve v.
func (f *fleet) reach(v release.Version) bool {
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
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func TestDrivers(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given eight nodes in two failure domains", t, func() {
		f := newFleet(t, 8, 2)
		v := f.publish(1, 1)
		So(f.reach(v), ShouldBeTrue)

		Convey("only the readers watch, each the release and the VM list", func() {
			So(eventually(func() bool { return f.source.watches.Load() == 8 }), ShouldBeTrue)
		})
		Convey("a new release reaches all, as a delta", func() {
			next := f.publish(2, 2)
			So(f.reach(next), ShouldBeTrue)
			So(f.nodes[0].driver.Metrics().Get("applies").String(), ShouldEqual, "2")
		})
		Convey("a node that restarts while the source is stale gets the newest from peers", func() {
			next := f.publish(2, 2)
			So(f.reach(next), ShouldBeTrue)
			f.publish(1, 1)
			f.restart(0)
			So(f.reach(next), ShouldBeTrue)
		})
		Convey("silent sessions are replaced and releases go on", func() {
			for _, m := range f.nodes {
				m.silent.Store(true)
			}
			next := f.publish(2, 2)
			So(f.reach(next), ShouldBeTrue)
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

func TestPaused(t *testing.T) {
	Convey("The driver notices that it made no step for a while", t, func() {
		d := &Driver{cfg: Config{Machine: distribution.Convergence()}}
		now := time.Now()
		So(d.Paused(now), ShouldBeFalse)
		d.lastStep.Store(now.UnixNano())
		So(d.Paused(now.Add(time.Second)), ShouldBeFalse)
		So(d.Paused(now.Add(time.Minute)), ShouldBeTrue)
	})
}
