package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/standin/platform"
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

func (c *Cluster) startVM(vm *VM, opts Options) error {
	if !opts.NoBackends {
		if err := c.startBackend(vm); err != nil {
			return err
		}
	}
	return errors.Join(c.writeSettings(vm), c.StartNode(vm))
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

func (c *Cluster) platformAddress() string {
	return fmt.Sprintf("%s0.1:%d", c.network, platformPort)
}

func (c *Cluster) platformURL() string {
	return "http://" + c.platformAddress()
}

func (c *Cluster) startPlatform() error {
	p, err := startProcess(c.Dir, "platform", filepath.Join(c.bin, "standin"), "platform", "--listen", c.platformAddress())
	if err != nil {
		return err
	}
	c.platform = p
	return Eventually("platform stand-in responds", func() error {
		_, err := c.Stats()
		return err
	})
}

func (c *Cluster) startBackend(vm *VM) error {
	p, err := startProcess(c.Dir, "backend-"+vm.ID, filepath.Join(c.bin, "standin"), "backend",
		"--listen", vm.serverAddress(), "--service", vm.Service, "--vm", vm.ID,
		"--work", serviceTime.String(), "--faults", "--stop-path", "/stop", "--history", vm.HistoryFile())
	vm.Backend = p
	return err
}

func (v *VM) serverAddress() string {
	return fmt.Sprintf("%s:%d", v.Peer.Addr(), serverPort)
}

// HistoryFile returns the path of the file in which the backend server records its
// requests.
func (v *VM) HistoryFile() string {
	return filepath.Join(v.dir, "history-"+v.ID+".jsonl")
}

func (v *VM) settingsFile() string {
	return filepath.Join(v.dir, v.ID+".yaml")
}

func (c *Cluster) writeSettings(vm *VM) error {
	key, err := os.ReadFile(c.keyFile() + ".pub")
	if err != nil {
		return fmt.Errorf("read approval key for node settings: %w", err)
	}
	tls := "{mode: plain}"
	if c.authority != nil {
		if tls, err = c.authority.issue(vm.ID); err != nil {
			return fmt.Errorf("issue certificate for node settings: %w", err)
		}
	}
	text := fmt.Sprintf(`vm: {id: %s, service: %s, domain: %s, region: %s}
listen: {peer: "%s", caller: "%s", admin: "%s"}
server: {address: "%s"}
platform: {addresses: ["%s"]}
peer_tls: %s
approval_keys: ["%s"]
`, vm.ID, vm.Service, vm.Domain, vm.Region, vm.Peer, vm.Caller, vm.Admin,
		vm.serverAddress(), c.platformAddress(), tls, strings.TrimSpace(string(key)))
	return os.WriteFile(vm.settingsFile(), []byte(text), 0o600)
}

// StartNode starts the process of a VM's node with the settings on disk. The previous
// process, if any, must have exited.
func (c *Cluster) StartNode(vm *VM) error {
	p, err := startProcess(c.Dir, "node-"+vm.ID, filepath.Join(c.bin, "auburnladder-node"), "--settings", vm.settingsFile())
	if err != nil {
		return err
	}
	vm.Node = p
	return c.Faults.Append(Fault{At: time.Now(), VM: vm.ID, Kind: NodeStarted})
}

// KillNode kills a VM's node with SIGKILL and waits for its exit.
func (c *Cluster) KillNode(vm *VM) error {
	return errors.Join(c.Faults.Append(Fault{At: time.Now(), VM: vm.ID, Kind: NodeKilled}), vm.Node.Kill())
}

// PauseNode pauses a VM's node with SIGSTOP.
func (c *Cluster) PauseNode(vm *VM) error {
	return errors.Join(c.Faults.Append(Fault{At: time.Now(), VM: vm.ID, Kind: NodePaused}), vm.Node.Signal(syscall.SIGSTOP))
}

// ResumeNode resumes a paused node with SIGCONT.
func (c *Cluster) ResumeNode(vm *VM) error {
	return errors.Join(vm.Node.Signal(syscall.SIGCONT), c.Faults.Append(Fault{At: time.Now(), VM: vm.ID, Kind: NodeResumed}))
}

// InDomain returns the VMs of a failure domain.
func (c *Cluster) InDomain(domain string) []*VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *VM) bool { return vm.Domain != domain })
}

// Except returns all VMs but the given ones.
func (c *Cluster) Except(vms []*VM) []*VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *VM) bool { return slices.Contains(vms, vm) })
}

// AwaitReady waits until a VM's node serves callers.
func (c *Cluster) AwaitReady(vm *VM) error {
	return Eventually(vm.ID+" is ready", func() error {
		return c.get("http://"+vm.Admin.String()+statusapi.ReadyPath, nil)
	})
}

// MarkReady waits until a node that was down or paused serves callers again, and records
// that.
func (c *Cluster) MarkReady(vm *VM) error {
	return errors.Join(c.AwaitReady(vm), c.Faults.Append(Fault{At: time.Now(), VM: vm.ID, Kind: NodeReady}))
}

// Status queries a node's status, which includes the release that it holds.
func (c *Cluster) Status(vm *VM) (*statusapi.Status, error) {
	var s statusapi.Status
	if err := c.get("http://"+vm.Admin.String()+statusapi.StatusPath, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Stats queries the platform stand-in's counts of reads and watches.
func (c *Cluster) Stats() (platform.Stats, error) {
	var s platform.Stats
	err := c.get(c.platformURL()+"/admin/stats", &s)
	return s, err
}

// AwaitIdleStats waits until the platform stand-in had no read for a second, and returns
// its counts.
func (c *Cluster) AwaitIdleStats() (platform.Stats, error) {
	var idle platform.Stats
	err := Eventually("a second without reads", func() error {
		s, err := c.Stats()
		if err == nil && s.ReadsLastSecond > 0 {
			err = fmt.Errorf("%d reads in the last second", s.ReadsLastSecond)
		}
		idle = s
		return err
	})
	return idle, err
}

// SetMode sets the platform stand-in's mode, for example down or stale.
func (c *Cluster) SetMode(mode platform.Mode) error {
	return c.put("/admin/mode/"+string(mode), nil)
}

// ResetPeaks resets the peak values in the platform stand-in's counts.
func (c *Cluster) ResetPeaks() error {
	return c.send(http.MethodPost, "/admin/stats/reset", nil)
}

// MarkLeaving sets or clears a VM's leaving mark and publishes the list of VMs.
func (c *Cluster) MarkLeaving(vm *VM, leaving bool) error {
	vm.Leaving = leaving
	return c.publishVMs()
}

func (c *Cluster) publishVMs() error {
	list := &vmlist.List{}
	for _, vm := range c.VMs {
		list.VMs = append(list.VMs, vm.VM)
	}
	data, err := list.Encode()
	if err != nil {
		return err
	}
	return c.put("/admin/kv/"+release.VMListKey, data)
}

func (c *Cluster) put(path string, body []byte) error {
	return c.send(http.MethodPut, path, body)
}

func (c *Cluster) send(method, path string, body []byte) error {
	req, err := http.NewRequest(method, c.platformURL()+path, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return nil
}

func (c *Cluster) get(url string, into any) error {
	resp, err := c.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
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
