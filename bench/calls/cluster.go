// Package calls measures the request path. It runs real nodes, backend servers and a load
// generator in one process and connects them over loopback TCP.
package calls

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node"
	"auburnladder.example/node/settings"
	"auburnladder.example/standin/platform"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	service     = "programma"
	serviceHost = "programma.example"
	// callTimeout bounds a call of the load generator or of a backend server.
	callTimeout = 5 * time.Second
	// readyTimeout bounds the time until one node serves calls after the cluster's start.
	readyTimeout = 30 * time.Second
)

// Ports of each VM.
const (
	peerPort   = 7000
	callerPort = 8000
	localPort  = 8100
	serverPort = 8200
	adminPort  = 9000
)

// clusterConfig is the configuration of a cluster. All servers are of the same service.
type clusterConfig struct {
	servers     int
	slots       int
	serviceTime time.Duration
	deadline    time.Duration
	policy      string
	// shedAboveSlots makes the backend servers respond with status 503 to requests that
	// find all slots busy. Without it they accept every request.
	shedAboveSlots bool
}

// cluster is a set of nodes, each with its backend server, and a platform stand-in.
type cluster struct {
	cfg      clusterConfig
	network  int
	key      *release.SigningKey
	platform *http.Server
	vms      []*vm
	tasks    conc.WaitGroup
}

// vm is one node with its backend server.
type vm struct {
	entry        vmlist.VM
	backend      *backend
	settings     *settings.Settings
	client       *fasthttp.HostClient // calls the node's listener for callers
	directClient *fasthttp.HostClient // calls the backend server directly
	cancel       context.CancelFunc
	done         chan struct{}
}

// newCluster starts the platform stand-in, the backend servers and the nodes, and waits
// until a call through each node succeeds.
func newCluster(cfg clusterConfig) (*cluster, error) {
	c := &cluster{cfg: cfg, network: 100 + rand.IntN(150)}
	var err error
	if c.key, err = release.GenerateKey("bench"); err != nil {
		return nil, err
	}
	for i := range cfg.servers {
		c.vms = append(c.vms, c.newVM(i))
	}
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	for _, v := range c.vms {
		if err := errors.Join(v.backend.start(), c.startNode(v)); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	for _, v := range c.vms {
		if err := v.awaitReady(); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, nil
}

func (c *cluster) addr(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(c.network), 0, byte(host)}), uint16(port))
}

func (c *cluster) newVM(i int) *vm {
	host, next := i+2, (i+1)%c.cfg.servers+2
	v := &vm{entry: vmlist.VM{
		ID: fmt.Sprintf("%s-%d", service, i+1), Service: service,
		Domain: fmt.Sprintf("nl-central-%c", 'a'+i%3), Region: "nl-central",
		Peer: c.addr(host, peerPort), Caller: c.addr(host, callerPort), Admin: c.addr(host, adminPort),
	}}
	slots := 0
	if c.cfg.shedAboveSlots {
		slots = c.cfg.slots
	}
	v.backend = newBackend(c.addr(host, serverPort).String(), c.addr(host, localPort).String(),
		c.addr(next, serverPort).String(), slots, c.cfg.serviceTime)
	v.client = newClient(v.entry.Caller.String())
	v.directClient = newClient(v.backend.addr)
	s := settings.Default()
	s.VM = settings.VM{ID: v.entry.ID, Service: service, Domain: v.entry.Domain, Region: v.entry.Region}
	s.Listen = settings.Listen{
		Peer: v.entry.Peer, Caller: v.entry.Caller, Admin: v.entry.Admin, Local: c.addr(host, localPort),
	}
	s.Server.Address = c.addr(host, serverPort)
	s.Platform.Addresses = []netip.AddrPort{c.addr(1, 2000)}
	s.ApprovalKeys = []string{c.key.Public()}
	s.Routing.Policy = settings.RoutingPolicy(c.cfg.policy)
	v.settings = &s
	return v
}

func (c *cluster) startNode(v *vm) error {
	n, err := node.New(v.settings, nil, zerolog.Nop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	v.cancel, v.done = cancel, done
	c.tasks.Go(func() {
		defer close(done)
		_ = n.Run(ctx)
	})
	return nil
}

// stopNode stops the node gracefully and waits until it has stopped.
func (v *vm) stopNode() {
	v.cancel()
	<-v.done
}

// awaitReady waits until a call through the node returns status 200, for at most
// readyTimeout.
func (v *vm) awaitReady() error {
	var last error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, err := sendCall(v.client, 1, false)
		if err == nil && status == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d: %w", status, err)
	}
	return fmt.Errorf("node %s did not become ready: %w", v.entry.ID, last)
}

func (c *cluster) startPlatform() error {
	l, err := net.Listen("tcp", c.addr(1, 2000).String())
	if err != nil {
		return err
	}
	c.platform = &http.Server{Handler: platform.New(platform.DefaultConfig()).Handler()}
	c.tasks.Go(func() { _ = c.platform.Serve(l) })
	return c.publish()
}

// publish writes the VM list and an approved release with one service to the platform
// stand-in.
func (c *cluster) publish() error {
	chunk, err := c.serviceConfig().Encode()
	if err != nil {
		return err
	}
	ref := release.ChunkRef{Name: service, Digest: release.DigestOf(chunk), Size: len(chunk)}
	m := release.Manifest{
		Format: release.FormatVersion, Deployment: "bench", Sequence: 1, Chunks: []release.ChunkRef{ref},
	}
	manifest, err := m.Encode()
	if err != nil {
		return err
	}
	approved, err := c.key.Approve(&release.Approved{Manifest: manifest}).Encode()
	if err != nil {
		return err
	}
	list := vmlist.List{}
	for _, v := range c.vms {
		list.VMs = append(list.VMs, v.entry)
	}
	vms, err := list.Encode()
	if err != nil {
		return err
	}
	return errors.Join(c.put(release.VMListKey, vms), c.put(release.ChunkKey(ref.Digest), chunk),
		c.put(release.CurrentKey, approved))
}

func (c *cluster) put(key string, value []byte) error {
	url := fmt.Sprintf("http://%s/admin/kv/%s", c.addr(1, 2000), key)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(value))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("publish %s: status %d", key, resp.StatusCode)
	}
	return nil
}

func (c *cluster) serviceConfig() *mesh.Service {
	return &mesh.Service{
		Name:      service,
		Hosts:     []string{serviceHost},
		Callers:   []string{mesh.PublicCaller, service},
		Priority:  mesh.PriorityNormal,
		Server:    mesh.Server{Slots: c.cfg.slots, Connections: c.cfg.slots + 100},
		Stop:      mesh.Stop{Method: mesh.StopNone, Grace: mesh.Millis(2000)},
		Resources: []mesh.Resource{{Name: "sessions", MaxRequestBytes: 1 << 20, MaxResponseBytes: 1 << 20}},
		Routes: []*mesh.Route{{
			Name: "sessions", Methods: []string{"GET"}, Prefix: "/", Service: service, Resource: "sessions",
			Idempotent: true, Retry: mesh.Retry{Attempts: 3, Statuses: []int{500, 503}},
			Deadline: mesh.Millis(c.cfg.deadline.Milliseconds()),
		}},
	}
}

func (c *cluster) close() error {
	for _, v := range c.vms {
		if v.cancel != nil {
			v.stopNode()
		}
		if v.backend.server != nil {
			v.backend.stop()
		}
	}
	err := c.platform.Close()
	c.tasks.Wait()
	return err
}
