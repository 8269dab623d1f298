package harness

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/platform/standin"
	"github.com/sourcegraph/conc"
)

// Ports of the VMs of a StoreCluster.
const (
	storePeerPort   = 7100
	storeCallerPort = 7101
	storeAdminPort  = 7102
	storeServerPort = 7103
	// linkHosts is the host number of the first node that listens for peers behind a link.
	linkHosts = 101
	// reservedHost is the host number of the address that marks a network as used.
	reservedHost = 254
	// storeSlots is the number of requests that a backend server handles concurrently.
	storeSlots = 4
	// storeMetricsPort is the metrics port that deploy/node.yaml sets.
	storeMetricsPort = 9102
)

// StoreVM is a VM whose node runs with settings rendered from deploy/node.yaml.
type StoreVM struct {
	IP      string
	Service string
	// Zone is the VM's failure domain.
	Zone string
	Node *Process
	// link is the VM's network link, nil if it has no bounded rate, and host the address at which the node
	// listens for peers behind it.
	link *Link
	host string
	// Server is the VM's backend server.
	Server     *standin.Server
	httpServer atomic.Pointer[http.Server]
	// onRestart, if not nil, is called before a crashed backend server accepts connections again.
	onRestart func()
}

// Address returns the VM's address with the given port, as "IP:port".
func (v *StoreVM) Address(port int) string { return fmt.Sprintf("%s:%d", v.IP, port) }

// CallerAddress returns where the VM's node takes requests of callers.
func (v *StoreVM) CallerAddress() string { return v.Address(storeCallerPort) }

// peerAddress is where the VM's node listens for peers.
func (v *StoreVM) peerAddress() string { return fmt.Sprintf("%s:%d", v.host, storePeerPort) }

// StoreCluster is a deployment whose source is a stand-in of the platform's key-value store.
type StoreCluster struct {
	Store     *standin.Store
	VMs       []*StoreVM
	dir       string
	root      string
	bin       string
	storeHTTP *httptest.Server
	// restarts are the restarts of crashed backend servers. None begins once stopped is set,
	// which restartMu guards.
	restarts  conc.WaitGroup
	restartMu sync.Mutex
	stopped   bool
	// reservation is an open socket in the cluster's network, which marks it as used.
	reservation net.Listener
	// Extra is appended to settings files that StartNode and RewriteSettings write.
	Extra string
	// Grace is the grace period in these files, "6s" by default.
	Grace string
	// LinkMbps is the rate of the VMs' links in these files, 1000 by default.
	LinkMbps float64
	limits   StoreLimits
}

// StoreLimits are the limits of the processes of the nodes in the settings files; 0 selects that of the
// stand-in's settings.
type StoreLimits struct {
	MemoryMB, MaxFDs int
	// LinkRate is the rate of the VMs' links in bytes per second, 0 for links without a bounded rate.
	LinkRate float64
	// Zones are the failure domains of the VMs, repeated as needed; nil means one for all.
	Zones []string
}

// StartStore starts a VM with a node and a backend server for each entry of services. The
// caller must stop the cluster, also after an error.
func StartStore(root, bin, dir string, services ...string) (*StoreCluster, error) {
	return StartStoreOnLinks(root, bin, dir, 0, services...)
}

// StartStoreOnLinks does the same with VMs whose calls to each other pass links of a bounded rate, in
// bytes per second; 0 means none.
func StartStoreOnLinks(root, bin, dir string, linkRate float64, services ...string) (*StoreCluster, error) {
	return StartStoreLimited(root, bin, dir, StoreLimits{LinkRate: linkRate}, services...)
}

// StartStoreInZones does the same with VMs in the given failure domains, which are repeated as needed; nil means
// one for all.
func StartStoreInZones(root, bin, dir string, linkRate float64, zones []string, services ...string) (*StoreCluster, error) {
	return StartStoreLimited(root, bin, dir, StoreLimits{LinkRate: linkRate, Zones: zones}, services...)
}

// StartStoreLimited does the same with limits of the nodes.
func StartStoreLimited(root, bin, dir string, limits StoreLimits, services ...string) (*StoreCluster, error) {
	linkRate, zones := limits.LinkRate, limits.Zones
	c := &StoreCluster{Store: standin.NewStore(), dir: dir, root: root, bin: bin, limits: limits}
	c.storeHTTP = httptest.NewServer(c.Store)
	network, err := c.reserveNetwork()
	if err != nil {
		return c, err
	}
	for i, service := range services {
		vm := &StoreVM{IP: fmt.Sprintf("%s%d", network, i+1), Service: service, Zone: standin.Zone}
		if len(zones) > 0 {
			vm.Zone = zones[i%len(zones)]
		}
		vm.host = vm.IP
		c.VMs = append(c.VMs, vm)
		if linkRate > 0 {
			vm.host = fmt.Sprintf("%s%d", network, linkHosts+i)
			if vm.link, err = StartLink(vm.Address(storePeerPort), vm.peerAddress(), linkRate); err != nil {
				return c, err
			}
			c.LinkMbps = linkRate * 8 / 1e6
		}
		if err := c.startServer(vm, i); err != nil {
			return c, err
		}
		if err := c.StartNode(vm); err != nil {
			return c, err
		}
	}
	return c, nil
}

// reserveNetwork returns the prefix of a loopback network that no other cluster uses until Stop.
func (c *StoreCluster) reserveNetwork() (string, error) {
	for n := 100; n < 200; n++ {
		network := fmt.Sprintf("127.%d.7.", n)
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, reservedHost, storePeerPort))
		if err == nil {
			c.reservation = l
			return network, nil
		}
	}
	return "", errors.New("no free loopback network between 127.100.7.0 and 127.199.7.0")
}

// startServer starts a backend server that responds as the platform's servers do, and
// adds it to the store's list of servers.
func (c *StoreCluster) startServer(vm *StoreVM, index int) error {
	vm.Server = &standin.Server{
		Service: vm.Service, Instance: fmt.Sprintf("i-%d", index), Born: int64(index + 1),
		Slots: storeSlots, Address: vm.Address(storeServerPort), Zone: vm.Zone,
	}
	vm.Server.SetWork(serviceTime)
	l, err := net.Listen("tcp", vm.Server.Address)
	if err != nil {
		return err
	}
	vm.serve(l)
	c.Store.List(vm.Server, false)
	return nil
}

// serve serves the backend server on a listener.
func (v *StoreVM) serve(l net.Listener) {
	srv := &http.Server{Handler: v.Server}
	v.httpServer.Store(srv)
	go func() { _ = srv.Serve(l) }()
}

// CrashOnRequest makes a VM's server crash when it runs a request with standin.CrashPath in its
// path, and start again after downtime.
func (c *StoreCluster) CrashOnRequest(vm *StoreVM, downtime time.Duration) {
	vm.Server.Crash = func() {
		srv := vm.httpServer.Swap(nil)
		if srv == nil {
			return
		}
		_ = srv.Close()
		c.restartServer(vm, downtime)
	}
}

// restartServer starts a VM's server again after downtime, unless the cluster is stopped.
func (c *StoreCluster) restartServer(vm *StoreVM, downtime time.Duration) {
	c.restartMu.Lock()
	defer c.restartMu.Unlock()
	if c.stopped {
		return
	}
	c.restarts.Go(func() {
		time.Sleep(downtime)
		l, err := net.Listen("tcp", vm.Server.Address)
		if err != nil {
			panic(err)
		}
		if vm.onRestart != nil {
			vm.onRestart()
		}
		vm.serve(l)
	})
}

// awaitRestarts waits for the restarts of servers; no other one begins afterwards.
func (c *StoreCluster) awaitRestarts() {
	c.restartMu.Lock()
	c.stopped = true
	c.restartMu.Unlock()
	c.restarts.Wait()
}

// writeSettings renders the deployment's template into the settings file of a VM's node.
func (c *StoreCluster) writeSettings(vm *StoreVM) error {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy/node.yaml"))
	if err != nil {
		return err
	}
	text := standin.Render(string(template), standin.Settings{
		IP: vm.IP, Service: vm.Service, Zone: vm.Zone,
		Peer: vm.peerAddress(), Caller: vm.Address(storeCallerPort), Admin: vm.Address(storeAdminPort),
		Server: vm.Address(storeServerPort), Store: c.storeHTTP.Listener.Addr().String(),
		Seeds:      []string{c.VMs[0].Address(storePeerPort)},
		RetryRatio: "0.2", RetrySlack: "50", Grace: cmp.Or(c.Grace, "6s"), LinkMbps: cmp.Or(c.LinkMbps, 1000),
		MemoryMB: c.limits.MemoryMB, MaxFDs: c.limits.MaxFDs,
	})
	return os.WriteFile(c.SettingsFile(vm), []byte(text+c.Extra), 0o600)
}

// SettingsFile returns the path of the settings file of a VM's node.
func (c *StoreCluster) SettingsFile(vm *StoreVM) string {
	return filepath.Join(c.dir, vm.IP+".yaml")
}

// RewriteSettings writes the settings file of a VM's node again, for example after a
// change of Extra. The node reads it on SIGHUP.
func (c *StoreCluster) RewriteSettings(vm *StoreVM) error { return c.writeSettings(vm) }

// LogFile returns the path of the log file with the output of a VM's node.
func (c *StoreCluster) LogFile(vm *StoreVM) string {
	return filepath.Join(c.dir, "node-"+vm.IP+".log")
}

// StartNode writes the settings of a VM's node and starts its process. The previous
// process, if any, must have exited.
func (c *StoreCluster) StartNode(vm *StoreVM) error {
	if err := c.writeSettings(vm); err != nil {
		return err
	}
	p, err := startProcess(c.dir, "node-"+vm.IP, filepath.Join(c.bin, "auburnladder-node"), "--settings", c.SettingsFile(vm))
	vm.Node = p
	return err
}

// AwaitReady waits until a VM's node responds to the platform's readiness probe with
// status 200.
func (c *StoreCluster) AwaitReady(vm *StoreVM) error {
	return Eventually(vm.IP+" is ready", func() error {
		return getOK("http://" + vm.Address(storeAdminPort) + standin.ReadyPath)
	})
}

// CheckReadyPath returns an error unless a VM's node responds with status 200 on the
// node's own readiness path.
func (c *StoreCluster) CheckReadyPath(vm *StoreVM) error {
	return getOK("http://" + vm.Address(storeAdminPort) + statusapi.ReadyPath)
}

// MetricsAddress returns where the VM's node serves its metrics, as "IP:port".
func (v *StoreVM) MetricsAddress() string { return v.Address(storeMetricsPort) }

// AdminAddress returns where the VM's node serves the readiness check.
func (v *StoreVM) AdminAddress() string { return v.Address(storeAdminPort) }

// CheckMetrics returns an error unless a VM's node responds with status 200 on its
// metrics path.
func (c *StoreCluster) CheckMetrics(vm *StoreVM) error {
	return getOK("http://" + vm.Address(storeMetricsPort) + "/metrics")
}

func getOK(url string) error {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// CLI runs the auburnladder command against a VM's node and returns its combined standard
// output and standard error.
func (c *StoreCluster) CLI(vm *StoreVM, args ...string) ([]byte, error) {
	args = append(args, "--node", netip.MustParseAddrPort(vm.Address(storeAdminPort)).String())
	return exec.Command(filepath.Join(c.bin, "auburnladder"), args...).CombinedOutput()
}

// Send sends a request to a VM's node on a new connection and returns the response with
// its body closed.
func (c *StoreCluster) Send(vm *StoreVM, method, host, path, id string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address(storeCallerPort)+path, nil)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set(standin.RequestIDHeader, id)
	req.Header.Set(standin.DeadlineHeader, "5000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}

// Stop kills every node and closes the backend servers and the store.
func (c *StoreCluster) Stop() {
	for _, vm := range c.VMs {
		if vm.Node != nil {
			_ = vm.Node.Kill()
		}
	}
	c.awaitRestarts()
	for _, vm := range c.VMs {
		if srv := vm.httpServer.Load(); srv != nil {
			_ = srv.Close()
		}
	}
	for _, vm := range c.VMs {
		if vm.link != nil {
			vm.link.Close()
		}
	}
	if c.reservation != nil {
		_ = c.reservation.Close()
	}
	c.Store.Fail(standin.Resets)
	c.storeHTTP.CloseClientConnections()
	c.storeHTTP.Close()
}
