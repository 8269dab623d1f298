package harness

import (
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

	"auburnladder.example/core/statusapi"
	"auburnladder.example/platform/standin"
)

// Ports of the VMs of a StoreCluster.
const (
	storePeerPort   = 7100
	storeCallerPort = 7101
	storeAdminPort  = 7102
	storeServerPort = 7103
	// storeSlots is the number of requests that a server works on at once.
	storeSlots = 4
	// storeMetricsPort is the one that the deployment names.
	storeMetricsPort = 9102
)

// StoreVM is a VM whose node runs from the platform's settings.
type StoreVM struct {
	IP      string
	Service string
	Node    *Process
	// Server is the VM's backend server.
	Server *standin.Server
	server *http.Server
}

// Address returns the address of a port of the VM.
func (v *StoreVM) Address(port int) string { return fmt.Sprintf("%s:%d", v.IP, port) }

// StoreCluster is a deployment with the stand-in of the platform's store as its source.
type StoreCluster struct {
	Store *standin.Store
	VMs   []*StoreVM
	dir   string
	root  string
	bin   string
	http  *httptest.Server
	// Extra is added to the settings of nodes that are started or reloaded later.
	Extra string
}

// StartStore starts a node and a backend server for each service, on VMs of their own.
func StartStore(root, bin, dir string, services ...string) (*StoreCluster, error) {
	c := &StoreCluster{Store: standin.NewStore(), dir: dir, root: root, bin: bin}
	c.http = httptest.NewServer(c.Store)
	network, err := freeStoreNetwork()
	if err != nil {
		return c, err
	}
	for i, service := range services {
		vm := &StoreVM{IP: fmt.Sprintf("%s%d", network, i+1), Service: service}
		c.VMs = append(c.VMs, vm)
		if err := c.startServer(vm, i); err != nil {
			return c, err
		}
		if err := c.StartNode(vm); err != nil {
			return c, err
		}
	}
	return c, nil
}

func freeStoreNetwork() (string, error) {
	for n := 100; n < 200; n++ {
		network := fmt.Sprintf("127.%d.7.", n)
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", network, storePeerPort))
		if err == nil {
			return network, l.Close()
		}
	}
	return "", errors.New("no free loopback network")
}

// startServer starts a backend server that answers as the platform's do, and lists it.
func (c *StoreCluster) startServer(vm *StoreVM, index int) error {
	vm.Server = &standin.Server{
		Service: vm.Service, Instance: fmt.Sprintf("i-%d", index), Born: int64(index + 1),
		Slots: storeSlots, Address: vm.Address(storeServerPort), Work: serverWork,
	}
	l, err := net.Listen("tcp", vm.Server.Address)
	if err != nil {
		return err
	}
	vm.server = &http.Server{Handler: vm.Server}
	go func() { _ = vm.server.Serve(l) }()
	c.Store.List(vm.Server, false)
	return nil
}

// writeSettings renders the template of the deployment.
func (c *StoreCluster) writeSettings(vm *StoreVM) error {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy/node.yaml"))
	if err != nil {
		return err
	}
	text := standin.Render(string(template), standin.Settings{
		IP: vm.IP, Service: vm.Service,
		Peer: vm.Address(storePeerPort), Caller: vm.Address(storeCallerPort), Admin: vm.Address(storeAdminPort),
		Server: vm.Address(storeServerPort), Store: c.http.Listener.Addr().String(),
		Seeds:      []string{c.VMs[0].Address(storePeerPort)},
		RetryRatio: "0.2", RetrySlack: "50", Grace: "6s",
	})
	return os.WriteFile(c.SettingsFile(vm), []byte(text+c.Extra), 0o600)
}

// SettingsFile is where the platform puts the settings of a VM's node.
func (c *StoreCluster) SettingsFile(vm *StoreVM) string {
	return filepath.Join(c.dir, vm.IP+".yaml")
}

// Reload writes the settings of a VM's node anew.
func (c *StoreCluster) Reload(vm *StoreVM) error { return c.writeSettings(vm) }

// LogFile is where the output of a VM's node goes.
func (c *StoreCluster) LogFile(vm *StoreVM) string {
	return filepath.Join(c.dir, "node-"+vm.IP+".log")
}

// StartNode begins a new life of a VM's node.
func (c *StoreCluster) StartNode(vm *StoreVM) error {
	if err := c.writeSettings(vm); err != nil {
		return err
	}
	p, err := startProcess(c.dir, "node-"+vm.IP, filepath.Join(c.bin, "auburnladder-node"), "--settings", c.SettingsFile(vm))
	vm.Node = p
	return err
}

// Ready waits until a VM's node answers the platform's question with 200.
func (c *StoreCluster) Ready(vm *StoreVM) error {
	return Eventually(vm.IP+" is ready", func() error {
		return getOK("http://" + vm.Address(storeAdminPort) + standin.ReadyPath)
	})
}

// ReadyStatus returns the status of a VM's node on its own path for readiness.
func (c *StoreCluster) ReadyStatus(vm *StoreVM) error {
	return getOK("http://" + vm.Address(storeAdminPort) + statusapi.ReadyPath)
}

// Metrics returns an error unless the VM's node serves metrics.
func (c *StoreCluster) Metrics(vm *StoreVM) error {
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

// CLI runs the command line against a VM's node.
func (c *StoreCluster) CLI(vm *StoreVM, args ...string) ([]byte, error) {
	args = append(args, "--node", netip.MustParseAddrPort(vm.Address(storeAdminPort)).String())
	return exec.Command(filepath.Join(c.bin, "auburnladder"), args...).CombinedOutput()
}

// Send sends a request to a VM's node on a connection of its own.
func (c *StoreCluster) Send(vm *StoreVM, method, host, path, id string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
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

// Stop ends every process and server of the cluster.
func (c *StoreCluster) Stop() {
	for _, vm := range c.VMs {
		if vm.Node != nil {
			_ = vm.Node.Kill()
		}
		if vm.server != nil {
			_ = vm.server.Close()
		}
	}
	c.Store.Fail(standin.Resets)
	c.http.CloseClientConnections()
	c.http.Close()
}
