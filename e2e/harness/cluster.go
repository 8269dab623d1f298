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
	// Patience bounds how long the harness waits for a condition.
	Patience = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// statusTimeout bounds one question to a node or to the platform stand-in.
	statusTimeout = 5 * time.Second

	// serverWork is how long a backend server works on a call: long enough that calls
	// are under way whenever a node is killed.
	serverWork = 25 * time.Millisecond

	serverPort   = 8200
	platformPort = 2000
	// exampleNetwork is the start of the addresses in the example lists of VMs.
	exampleNetwork = "127.20."
)

// VM is one virtual machine of the cluster with its two processes.
type VM struct {
	vmlist.VM
	Node    *Process
	Backend *Process
	dir     string
}

// Cluster is a deployment that runs on a loopback network of its own.
type Cluster struct {
	// Dir holds settings, logs, releases and journals.
	Dir string
	VMs []*VM
	// Faults records what was done to the nodes.
	Faults   *Journal[Fault]
	bin      string
	root     string
	network  string
	platform *Process
	client   *http.Client
	// authority is nil if sessions are plain.
	authority *authority
}

// Binaries builds all programs into dir. root is the top directory of the workspace.
func Binaries(root, dir string) error {
	return run(root, "go", "build", "-o", dir+string(filepath.Separator),
		"./node/cmd/...", "./cli/cmd/...", "./standin/cmd/...")
}

// Options say what a cluster consists of.
type Options struct {
	// Copies is how often each VM of the example deployment is there, 1 to 10.
	Copies int
	// NoBackends leaves out the backend servers.
	NoBackends bool
	// MutualTLS lets the nodes prove their VM to each other; without it sessions are plain.
	MutualTLS bool
}

// Start starts the platform stand-in and a backend server and a node for each VM of
// the example deployment, and publishes the list of VMs. No release is published yet.
func Start(root, bin, dir string, opts Options) (*Cluster, error) {
	c := &Cluster{Dir: dir, bin: bin, root: root, client: &http.Client{Timeout: statusTimeout}}
	err := errors.Join(c.takeNetwork(), c.readVMs(opts.Copies), c.keygen())
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

// Stop ends every process of the cluster.
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

// takeNetwork picks a loopback network that nobody uses.
func (c *Cluster) takeNetwork() error {
	for {
		c.network = fmt.Sprintf("127.%d.", 21+rand.IntN(70))
		l, err := net.Listen("tcp", c.platformAddress())
		if err == nil {
			return l.Close()
		}
	}
}

// readVMs reads the example list of VMs. The copies have addresses of their own.
func (c *Cluster) readVMs(copies int) error {
	data, err := os.ReadFile(filepath.Join(c.root, "examples/zaalwijzer/vms.json"))
	if err != nil {
		return fmt.Errorf("list of VMs: %w", err)
	}
	for n := range copies {
		// The third number of an address is that of its failure domain, 1 to 3.
		text := string(data)
		for domain := 1; domain <= 3; domain++ {
			before := fmt.Sprintf("%s%d.", exampleNetwork, domain)
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
	return Eventually("platform stand-in", func() error {
		_, err := c.Stats()
		return err
	})
}

func (c *Cluster) startBackend(vm *VM) error {
	p, err := startProcess(c.Dir, "backend-"+vm.ID, filepath.Join(c.bin, "standin"), "backend",
		"--listen", vm.serverAddress(), "--service", vm.Service, "--vm", vm.ID,
		"--work", serverWork.String(), "--faults", "--stop-path", "/stop", "--history", vm.HistoryFile())
	vm.Backend = p
	return err
}

func (v *VM) serverAddress() string {
	return fmt.Sprintf("%s:%d", v.Peer.Addr(), serverPort)
}

// HistoryFile is where the backend server records its requests.
func (v *VM) HistoryFile() string {
	return filepath.Join(v.dir, "history-"+v.ID+".jsonl")
}

func (v *VM) settingsFile() string {
	return filepath.Join(v.dir, v.ID+".yaml")
}

func (c *Cluster) writeSettings(vm *VM) error {
	key, err := os.ReadFile(c.keyFile() + ".pub")
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	tls := "{mode: plain}"
	if c.authority != nil {
		if tls, err = c.authority.issue(vm.ID); err != nil {
			return fmt.Errorf("settings: %w", err)
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

// StartNode begins a new life of a VM's node.
func (c *Cluster) StartNode(vm *VM) error {
	p, err := startProcess(c.Dir, "node-"+vm.ID, filepath.Join(c.bin, "auburnladder-node"), "--settings", vm.settingsFile())
	if err != nil {
		return err
	}
	vm.Node = p
	return c.Faults.Add(Fault{At: time.Now(), VM: vm.ID, Kind: NodeStarted})
}

// KillNode ends a VM's node with SIGKILL.
func (c *Cluster) KillNode(vm *VM) error {
	return errors.Join(c.Faults.Add(Fault{At: time.Now(), VM: vm.ID, Kind: NodeKilled}), vm.Node.Kill())
}

// PauseNode stops a VM's node with SIGSTOP.
func (c *Cluster) PauseNode(vm *VM) error {
	return errors.Join(c.Faults.Add(Fault{At: time.Now(), VM: vm.ID, Kind: NodePaused}), vm.Node.Signal(syscall.SIGSTOP))
}

// ResumeNode lets a paused node run on.
func (c *Cluster) ResumeNode(vm *VM) error {
	return errors.Join(vm.Node.Signal(syscall.SIGCONT), c.Faults.Add(Fault{At: time.Now(), VM: vm.ID, Kind: NodeResumed}))
}

// InDomain returns the VMs of a failure domain.
func (c *Cluster) InDomain(domain string) []*VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *VM) bool { return vm.Domain != domain })
}

// Except returns all VMs but the given ones.
func (c *Cluster) Except(vms []*VM) []*VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *VM) bool { return slices.Contains(vms, vm) })
}

// Ready waits until a VM's node serves callers.
func (c *Cluster) Ready(vm *VM) error {
	return Eventually(vm.ID+" is ready", func() error {
		return c.get("http://"+vm.Admin.String()+statusapi.ReadyPath, nil)
	})
}

// MarkReady records that a node that was down or paused serves again.
func (c *Cluster) MarkReady(vm *VM) error {
	return errors.Join(c.Ready(vm), c.Faults.Add(Fault{At: time.Now(), VM: vm.ID, Kind: NodeReady}))
}

// Status asks a node what it holds.
func (c *Cluster) Status(vm *VM) (*statusapi.Status, error) {
	var s statusapi.Status
	if err := c.get("http://"+vm.Admin.String()+statusapi.StatusPath, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Stats asks the platform stand-in what it counted.
func (c *Cluster) Stats() (platform.Stats, error) {
	var s platform.Stats
	err := c.get(c.platformURL()+"/admin/stats", &s)
	return s, err
}

// QuietStats waits for a second without reads and returns the counts.
func (c *Cluster) QuietStats() (platform.Stats, error) {
	var quiet platform.Stats
	err := Eventually("a second without reads", func() error {
		s, err := c.Stats()
		if err == nil && s.ReadsLastSecond > 0 {
			err = fmt.Errorf("%d reads in the last second", s.ReadsLastSecond)
		}
		quiet = s
		return err
	})
	return quiet, err
}

// SetMode changes how the platform stand-in treats its readers.
func (c *Cluster) SetMode(mode platform.Mode) error {
	return c.put("/admin/mode/"+string(mode), nil)
}

// ResetPeaks starts the peaks of the platform stand-in's counts anew.
func (c *Cluster) ResetPeaks() error {
	return c.send(http.MethodPost, "/admin/stats/reset", nil)
}

// MarkLeaving publishes a list in which a VM is marked as leaving or not.
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

// Eventually repeats check until it returns nil, at most for Patience.
func Eventually(what string, check func() error) error {
	end := time.Now().Add(Patience)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited in vain: %s: %w", what, err)
		}
		time.Sleep(pollInterval)
	}
}
