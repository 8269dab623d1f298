package query

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
)

// fleetFlags select the nodes to query and limit the time and concurrency of the
// requests.
type fleetFlags struct {
	node   string
	vms    string
	config fleet.Config
}

func addFleetFlags(cmd *kingpin.CmdClause) *fleetFlags {
	f := &fleetFlags{config: fleet.DefaultConfig()}
	cmd.Flag("node", "Admin address ip:port of any node, which gives the list of VMs.").StringVar(&f.node)
	cmd.Flag("vms", "File with the list of VMs as the platform publishes it, in place of --node.").ExistingFileVar(&f.vms)
	cmd.Flag("timeout", "How long to wait for each node.").Default(f.config.Timeout.String()).DurationVar(&f.config.Timeout)
	cmd.Flag("parallel", "How many nodes to ask at once.").Default(fmt.Sprint(f.config.Parallel)).IntVar(&f.config.Parallel)
	return f
}

// client returns a client that prints its progress to standard error.
func (f *fleetFlags) client(c *console.Console) *fleet.Client {
	client := fleet.NewClient(f.config)
	client.Progress = newProgress(c).report
	return client
}

// vmSource is a list of VMs and the file or node that it was read from.
type vmSource struct {
	// description names the file, or the node and the revision of its list.
	description string
	vms         []vmlist.VM
	// nodeStatus is the status of the node that supplied the list, nil for a file.
	nodeStatus *statusapi.Status
}

// peerView describes the membership state of a VM as seen by the node that supplied
// the list; "" if unknown.
func (s *vmSource) peerView(vm string) string {
	if s.nodeStatus == nil {
		return ""
	}
	for _, p := range s.nodeStatus.Peers {
		if p.VM == vm {
			return fmt.Sprintf("%s finds it %s", s.nodeStatus.VM, p.State)
		}
	}
	return ""
}

// loadVMs reads the VM list from the file of --vms or from the node of --node.
// Exactly one of the two flags must be set.
func (f *fleetFlags) loadVMs(client *fleet.Client) (*vmSource, error) {
	switch {
	case (f.node == "") == (f.vms == ""):
		return nil, errors.New("expected either --node or --vms")
	case f.config.Parallel < 1:
		return nil, fmt.Errorf("--parallel: found %d, expected 1 or more", f.config.Parallel)
	case f.vms != "":
		vms, err := fleet.ReadVMs(f.vms)
		return &vmSource{description: "file " + f.vms, vms: vms}, err
	}
	addr, err := netip.ParseAddrPort(f.node)
	if err != nil {
		return nil, fmt.Errorf("--node: found %q, expected ip:port", f.node)
	}
	status, err := client.Status(addr)
	if err != nil {
		return nil, console.Failed("%w", err)
	}
	if len(status.VMs) == 0 {
		return nil, console.Failed("node %s holds no list of VMs yet", status.VM)
	}
	description := fmt.Sprintf("node %s at %s, revision %d", status.VM, f.node, status.VMListRevision)
	return &vmSource{description: description, vms: status.VMs, nodeStatus: status}, nil
}
