package node

import (
	"context"
	"net/netip"

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

// Connected implements quarantine.Peers.
func (p *trackerPeers) Connected(vm string) bool { return p.node.peers.Connected(vm) }

// VMs implements quarantine.Peers.
func (p *trackerPeers) VMs() []vmlist.VM { return p.node.state.Fleet().VMs }
