package query

import (
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
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

// list returns the VMs to ask.
func (f *fleetFlags) list(client *fleet.Client) ([]vmlist.VM, error) {
	switch {
	case (f.node == "") == (f.vms == ""):
		return nil, fmt.Errorf("expected either --node or --vms")
	case f.config.Parallel < 1:
		return nil, fmt.Errorf("--parallel: found %d, expected 1 or more", f.config.Parallel)
	case f.vms != "":
		return fleet.ReadVMs(f.vms)
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
	return status.VMs, nil
}

// source says where the list of VMs comes from.
func (f *fleetFlags) source() string {
	if f.vms != "" {
		return "file " + f.vms
	}
	return "node " + f.node
}
