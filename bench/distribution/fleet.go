package distribution

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/distribution"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/platform"
	"auburnladder.example/node/state"
	source "auburnladder.example/standin/platform"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// member is one node of the fleet: a driver with its sessions, without the request path.
type member struct {
	vm     vmlist.VM
	state  *state.State
	driver *distribution.Driver
}

// ServeStream implements peers.Handler.
func (m *member) ServeStream(_ context.Context, from peers.Peer, req *peerpb.Request, st *session.Stream) {
	m.driver.ServeStream(from.VM, req, st)
}

// fleet is the set of all nodes and the platform stand-in, in one process.
type fleet struct {
	spec    Spec
	net     *network
	builder *releaseBuilder
	source  *source.Server
	// gates and urls hold the gate of each failure domain and its URL, by domain name.
	gates   map[string]*gate
	urls    map[string]string
	members []*member
	// minBytes is builtRelease.minBytes of the last published release.
	minBytes int
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
}

// gate is the platform's HTTP endpoint for one failure domain. While it is closed, requests
// get no response until the client cancels them.
type gate struct {
	next   http.Handler
	closed atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closed.Load() {
		<-r.Context().Done()
		return
	}
	g.next.ServeHTTP(w, r)
}

func newFleet(s Spec) (*fleet, error) {
	c, err := newReleaseBuilder(s.Services)
	if err != nil {
		return nil, err
	}
	limits := source.DefaultConfig()
	f := &fleet{
		spec: s, net: newNetwork(s.Seed), builder: c, source: source.New(limits),
		gates: make(map[string]*gate), urls: make(map[string]string),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for d := range s.Domains {
		if err := f.openGate(domainName(d)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func domainName(d int) string { return fmt.Sprintf("d%d", d) }

func (f *fleet) openGate(domain string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g := &gate{next: f.source.Handler()}
	f.gates[domain] = g
	f.urls[domain] = "http://" + l.Addr().String()
	server := &http.Server{Handler: g, ReadHeaderTimeout: 5 * time.Second}
	f.tasks.Go(func() { _ = server.Serve(l) })
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	return nil
}

// start opens the listeners of all nodes, publishes the VM list and starts all drivers.
func (f *fleet) start() error {
	listeners := make([]net.Listener, f.spec.Nodes)
	vms := make([]vmlist.VM, f.spec.Nodes)
	for i := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		domain := i % f.spec.Domains
		listeners[i] = l
		vms[i] = vmlist.VM{
			ID: fmt.Sprintf("vm-%04d", i), Service: serviceName(i % f.spec.Services), Domain: domainName(domain),
			Region: fmt.Sprintf("r%d", domain/3), Peer: l.Addr().(*net.TCPAddr).AddrPort(),
		}
		f.net.addVM(vms[i])
	}
	list := vmlist.List{VMs: vms}
	data, err := list.Encode()
	if err != nil {
		return err
	}
	if err := f.put(release.VMListKey, data); err != nil {
		return err
	}
	for i, vm := range vms {
		m, err := f.startMember(vm, listeners[i])
		if err != nil {
			return err
		}
		f.members = append(f.members, m)
	}
	return nil
}

func (f *fleet) client(vm vmlist.VM) *platform.Client {
	return platform.NewClient(platform.Config{
		BaseURLs: []string{f.urls[vm.Domain]}, Timeout: 2 * time.Second, Wait: 30 * time.Second,
	})
}

func (f *fleet) startMember(vm vmlist.VM, l net.Listener) (*member, error) {
	log := zerolog.Nop()
	m := &member{vm: vm, state: state.New(state.Identity{VM: vm.ID, Service: vm.Service, Domain: vm.Domain, Region: vm.Region})}
	cmd := &command.Commander{State: m.state, Log: log, Now: time.Now}
	cfg := distribution.Config{Machine: f.spec.machineConfig(), Self: vm, Trust: f.builder.trust}
	var err error
	if m.driver, err = distribution.New(cfg, f.client(vm), cmd, log); err != nil {
		return nil, err
	}
	hello := func() *peerpb.Hello { return &peerpb.Hello{Vm: vm.ID, Service: vm.Service, Domain: vm.Domain} }
	sessions := peers.DefaultConfig()
	sessions.Transport = transport{net: f.net, self: vm}
	set := peers.New(f.ctx, sessions, hello, m, log)
	f.tasks.Go(func() { _ = set.Serve(l) })
	f.tasks.Go(func() {
		m.driver.Run(f.ctx, set)
		set.Close()
	})
	return m, nil
}

func (f *fleet) stop() {
	f.cancel()
	f.tasks.Wait()
}

// admin sends a request to the admin API of the platform stand-in, without a network.
func (f *fleet) admin(method, path string, body []byte) ([]byte, error) {
	r := httptest.NewRequest(method, path, bytes.NewReader(body))
	w := httptest.NewRecorder()
	f.source.Handler().ServeHTTP(w, r)
	if w.Code >= http.StatusBadRequest {
		return nil, fmt.Errorf("%s %s: status %d", method, path, w.Code)
	}
	return w.Body.Bytes(), nil
}

func (f *fleet) put(key string, value []byte) error {
	_, err := f.admin(http.MethodPut, "/admin/kv/"+key, value)
	return err
}

// stats returns the platform stand-in's counts.
func (f *fleet) stats() (source.Stats, error) {
	var s source.Stats
	data, err := f.admin(http.MethodGet, "/admin/stats", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}

// publish publishes the next release. It writes the changed chunks before the manifest, and
// returns the version and the time at which it wrote the manifest.
func (f *fleet) publish() (release.Version, time.Time, error) {
	p, err := f.builder.next()
	if err != nil {
		return release.Version{}, time.Time{}, err
	}
	for d, chunk := range p.chunks {
		if err := f.put(release.ChunkKey(d), chunk); err != nil {
			return release.Version{}, time.Time{}, err
		}
	}
	f.minBytes = p.minBytes
	at := time.Now()
	return p.version, at, f.put(release.CurrentKey, p.value)
}

// awaitConvergence waits until v is active on all nodes. It returns, for each node, the time
// from at to the activation.
func (f *fleet) awaitConvergence(v release.Version, at time.Time) ([]time.Duration, error) {
	const limit = 2 * time.Minute
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if took := f.convergenceTimes(v, at); took != nil {
			return took, nil
		}
	}
	return nil, errors.New("fleet did not converge on the release within the limit")
}

// convergenceTimes returns, for each node, the time from at to the activation of v, or nil
// if v is not yet active on all nodes.
func (f *fleet) convergenceTimes(v release.Version, at time.Time) []time.Duration {
	took := make([]time.Duration, 0, len(f.members))
	for _, m := range f.members {
		held := m.state.Held()
		if held == nil || held.Snapshot.Version != v {
			return nil
		}
		took = append(took, held.Since.Sub(at))
	}
	return took
}

// awaitConnected waits until each node holds the VM list and has sessions with two peers, or
// with one in a fleet of two.
func (f *fleet) awaitConnected() error {
	const limit = 2 * time.Minute
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		waiting := 0
		for _, m := range f.members {
			if s := m.driver.Status(); s.Versions.VMList == 0 || s.Peers < min(2, len(f.members)-1) {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
	}
	return errors.New("nodes did not get the VM list and sessions with peers within the limit")
}
