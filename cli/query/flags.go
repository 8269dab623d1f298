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

// fleetFlags say which nodes are asked, and how.
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

// client returns a client that reports progress on the error stream.
func (f *fleetFlags) client(c *console.Console) *fleet.Client {
	client := fleet.NewClient(f.config)
	client.Progress = newProgress(c).report
	return client
}

// vmSource is a list of VMs with where it comes from.
type vmSource struct {
	name string
	vms  []vmlist.VM
	// asked is the node that gave the list, nil for a file.
	asked *statusapi.Status
}

// view says what the node that gave the list found about a VM; "" if nothing.
func (s *vmSource) view(vm string) string {
	if s.asked == nil {
		return ""
	}
	for _, p := range s.asked.Peers {
		if p.VM == vm {
			return fmt.Sprintf("%s finds it %s", s.asked.VM, p.State)
		}
	}
	return ""
}

// list returns the VMs to ask.
func (f *fleetFlags) list(client *fleet.Client) (*vmSource, error) {
	switch {
	case (f.node == "") == (f.vms == ""):
		return nil, errors.New("expected either --node or --vms")
	case f.config.Parallel < 1:
		return nil, fmt.Errorf("--parallel: found %d, expected 1 or more", f.config.Parallel)
	case f.vms != "":
		vms, err := fleet.ReadVMs(f.vms)
		return &vmSource{name: "file " + f.vms, vms: vms}, err
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
	name := fmt.Sprintf("node %s at %s, revision %d", status.VM, f.node, status.VMListRevision)
	return &vmSource{name: name, vms: status.VMs, asked: status}, nil
}
