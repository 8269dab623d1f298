package node

import (
	"context"
	"net/netip"
	"slices"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/quarantine"
	"auburnladder.example/wire/session"
)

// trackerPeers connects the tracker of crashes to other nodes. It implements quarantine.Peers.
type trackerPeers struct {
	node *Node
}

var _ quarantine.Peers = (*trackerPeers)(nil)

// Get implements quarantine.Peers.
func (p *trackerPeers) Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error) {
	return p.node.peers.Get(ctx, vm, addr)
}

// Connected implements quarantine.Peers. A node has a session to itself if callers reach its
// server through it.
func (p *trackerPeers) Connected() []string {
	return slices.DeleteFunc(p.node.peers.Connected(), p.isSelf)
}

// Others implements quarantine.Peers.
func (p *trackerPeers) Others() []vmlist.VM {
	others := slices.Clone(p.node.state.Fleet().VMs)
	return slices.DeleteFunc(others, func(vm vmlist.VM) bool { return p.isSelf(vm.ID) })
}

// isSelf reports whether the ID is that of this node's VM.
func (p *trackerPeers) isSelf(vm string) bool { return vm == p.node.startSettings.VM.ID }
