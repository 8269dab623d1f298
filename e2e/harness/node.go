package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"auburnladder.example/core/statusapi"
)

func (c *Cluster) startVM(vm *VM, opts Options) error {
	if !opts.NoBackends {
		if err := c.startBackend(vm); err != nil {
			return err
		}
	}
	return errors.Join(c.writeSettings(vm), c.StartNode(vm))
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
