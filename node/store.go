package node

import (
	"context"
	"net/netip"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/source"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/follow"
	"auburnladder.example/node/proxy/egress"
	"auburnladder.example/wire/session"
)

// StoreAdapter holds what a node needs to use a key-value store as its source.
type StoreAdapter struct {
	Store   follow.Store
	Decoder source.Decoder
	// Headers names the headers that callers and servers of the deployment use.
	Headers wirenames.Headers
}

// freeMoves is the number of servers whose nodes may refuse a call before the call fails.
const freeMoves = 4

// configureForStore configures the components that work differently with a key-value store.
func (n *Node) configureForStore() {
	n.egress.AdmitByVMList = true
	n.egress.Headers = n.store.Headers
	n.router.Retry.FreeMoves = freeMoves
	n.router.SetFleetBudget(fleetBudget(n.cfg.Retry))
	n.stopper = newStopper(n)
	n.reader.Stopping = n.stopper.begun.Load
}

// egressConfig returns the limits of the egress.
func (n *Node) egressConfig() egress.Config {
	cfg := egress.DefaultConfig()
	if n.store != nil {
		cfg.Admission.Order = admission.OrderUrgency
	}
	return cfg
}

// newFollower creates the follower of the key-value store. n.peers must be set before.
func (n *Node) newFollower() {
	cfg := follow.DefaultConfig()
	cfg.ReadsPerSecond = n.cfg.Platform.ReadsPerSecond
	cfg.ApplyWithin = min(n.cfg.Platform.ApplyWithin.Std(), n.cfg.Platform.LeaveWithin.Std())
	n.follower = follow.New(cfg, n.store.Store, n.store.Decoder, &storePeers{node: n}, n.command, n.log)
}

// callerIdentity returns the identity of all callers on the caller listener.
func (n *Node) callerIdentity() string {
	if n.store != nil {
		return n.cfg.VM.Service
	}
	return mesh.PublicCaller
}

// storePeers lists and connects to nodes that may hold a copy of the store. It implements
// follow.Peers.
type storePeers struct {
	node *Node
}

// Get implements follow.Peers.
func (p *storePeers) Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error) {
	return p.node.peers.Get(ctx, vm, addr)
}

// Candidates implements follow.Peers. It returns the seeds and the peers of all listed VMs,
// without duplicates and without addresses whose text is this VM's ID.
func (p *storePeers) Candidates() []netip.AddrPort {
	self := p.node.cfg.VM.ID
	known := make(map[netip.AddrPort]bool)
	var all []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr.Addr().String() != self && !known[addr] {
			known[addr] = true
			all = append(all, addr)
		}
	}
	for _, seed := range p.node.live.Load().Platform.Seeds {
		add(seed)
	}
	for _, vm := range p.node.state.Fleet().VMs {
		add(vm.Peer)
	}
	return all
}

var _ follow.Peers = (*storePeers)(nil)
