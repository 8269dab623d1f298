package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"auburnladder.example/core/vmlist"
)

const (
	// WaitTimeout is the longest time that the harness waits for a condition or for the
	// exit of a process.
	WaitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// statusTimeout bounds one HTTP request to a node's admin address or to the platform
	// stand-in.
	statusTimeout = 5 * time.Second

	// serviceTime is the time that a backend server takes for a call. It is long enough
	// that calls are in flight whenever a node is killed.
	serviceTime = 25 * time.Millisecond

	serverPort   = 8200
	platformPort = 2000
	// exampleNetworkPrefix is the prefix of the addresses in the example list of VMs.
	exampleNetworkPrefix = "127.20."
)

// VM is one virtual machine of the cluster with its two processes, a node and a backend
// server. Backend is nil in a cluster without backend servers.
type VM struct {
	vmlist.VM
	Node    *Process
	Backend *Process
	dir     string
}

// Cluster is a deployment of real processes on its own loopback network. Its methods are
// called from the test's goroutine; only the workers of Load and Poller run concurrently.
type Cluster struct {
	// Dir holds settings, logs, releases and journals.
	Dir string
	VMs []*VM
	// Faults records the faults injected into the nodes and their recovery.
	Faults   *Journal[Fault]
	bin      string
	root     string
	network  string
	platform *Process
	client   *http.Client
	// authority is nil if sessions between nodes are without TLS.
	authority *authority
}

// BuildBinaries compiles the node, the command line and the stand-ins into dir. root is the
// top directory of the workspace.
func BuildBinaries(root, dir string) error {
	return run(root, "go", "build", "-o", dir+string(filepath.Separator),
		"./node/cmd/...", "./cli/cmd/...", "./standin/cmd/...")
}

// Options configures a cluster.
type Options struct {
	// Copies is the number of instances of each VM of the example deployment, 1 to 10.
	Copies int
	// NoBackends starts no backend servers.
	NoBackends bool
	// MutualTLS makes the nodes authenticate each other by certificate. Without it,
	// sessions between nodes are without TLS.
	MutualTLS bool
}

// Start starts the platform stand-in, and a backend server and a node for each VM of the
// example deployment, and publishes the list of VMs. It publishes no release. If it
// returns a cluster with an error, the caller must stop the cluster.
func Start(root, bin, dir string, opts Options) (*Cluster, error) {
	c := &Cluster{Dir: dir, bin: bin, root: root, client: &http.Client{Timeout: statusTimeout}}
	err := errors.Join(c.pickNetwork(), c.readVMs(opts.Copies), c.keygen())
	if err != nil {
		return nil, err
	}
	if opts.MutualTLS {
		if c.authority, err = newAuthority(dir); err != nil {
			return nil, err
		}
	}
	if c.Faults, err = NewJournal[Fault](filepath.Join(dir, "faults.jsonl")); err != nil {
		return nil, err
	}
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	for _, vm := range c.VMs {
		if err := c.startVM(vm, opts); err != nil {
			return c, err
		}
	}
	return c, c.publishVMs()
}

// Stop kills every process of the cluster and waits for its exit.
func (c *Cluster) Stop() {
	for _, vm := range c.VMs {
		for _, p := range []*Process{vm.Node, vm.Backend} {
			if p != nil {
				_ = p.Kill()
			}
		}
	}
	if c.platform != nil {
		_ = c.platform.Kill()
	}
}

// pickNetwork chooses a random loopback network on which no other platform stand-in
// listens.
func (c *Cluster) pickNetwork() error {
	for {
		c.network = fmt.Sprintf("127.%d.", 21+rand.IntN(70))
		l, err := net.Listen("tcp", c.platformAddress())
		if err == nil {
			return l.Close()
		}
	}
}

// readVMs reads the example list of VMs and adds each VM copies times, each time with
// other addresses.
func (c *Cluster) readVMs(copies int) error {
	data, err := os.ReadFile(filepath.Join(c.root, "examples/zaalwijzer/vms.json"))
	if err != nil {
		return fmt.Errorf("read the example list of VMs: %w", err)
	}
	for n := range copies {
		// In the example list, the third octet of an address is the number of the VM's
		// failure domain, 1 to 3.
		text := string(data)
		for domain := 1; domain <= 3; domain++ {
			before := fmt.Sprintf("%s%d.", exampleNetworkPrefix, domain)
			text = strings.ReplaceAll(text, before, fmt.Sprintf("%s%d.", c.network, 10*n+domain))
		}
		list, err := vmlist.Parse([]byte(text), 0)
		if err != nil {
			return err
		}
		for _, vm := range list.VMs {
			if n > 0 {
				vm.ID = fmt.Sprintf("%s-copy-%d", vm.ID, n)
			}
			c.VMs = append(c.VMs, &VM{VM: vm, dir: c.Dir})
		}
	}
	return nil
}

// InDomain returns the VMs of a failure domain.
func (c *Cluster) InDomain(domain string) []*VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *VM) bool { return vm.Domain != domain })
}

// Except returns all VMs but the given ones.
func (c *Cluster) Except(vms []*VM) []*VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *VM) bool { return slices.Contains(vms, vm) })
}

// Eventually repeats check until it returns nil. After WaitTimeout it returns the last
// error of check; what describes the condition.
func Eventually(what string, check func() error) error {
	end := time.Now().Add(WaitTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("condition not met in time: %s: %w", what, err)
		}
		time.Sleep(pollInterval)
	}
}
