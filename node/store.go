package node

import (
	"context"
	"net/netip"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/source"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/follow"
	"auburnladder.example/node/proxy/egress"
	"auburnladder.example/node/settings"
	"auburnladder.example/wire/session"
)

// StoreAdapter connects a node to a key-value store that it uses as its source instead of the
// platform service.
type StoreAdapter struct {
	// Store reads and watches the store.
	Store follow.Store
	// Decoder decodes the items of the store into releases and servers.
	Decoder source.Decoder
	// Headers names the HTTP headers that callers and servers of the deployment use.
	Headers wirenames.Headers
}

// maxTransparentRetries is the maximum number of attempts of a call after refusals by nodes,
// which do not count as retries because no backend server received the request.
const maxTransparentRetries = 4

// configureForStore configures the components that work differently with a key-value store,
// and creates the stopper.
func (n *Node) configureForStore() {
	n.egress.AdmitByVMList = true
	n.egress.Headers = n.store.Headers
	n.egress.Announcements = n.command
	n.router.Retry.MaxTransparentRetries = maxTransparentRetries
	n.router.SetFleetBudget(fleetBudget(n.startSettings.Retry))
	n.stopper = newStopper(n)
	n.querier.Stopping = n.stopper.stopping.Load
	n.querier.CopyAge = func() time.Duration {
		if n.follower == nil {
			return 0
		}
		return n.follower.Status().Age
	}
}

// egressConfig returns the limits of the egress. With a key-value store, waiting requests are
// served in the order of their urgency instead of fairly between callers.
func (n *Node) egressConfig() egress.Config {
	cfg := egress.DefaultConfig()
	cfg.Transfer.LinkRate = n.startSettings.VM.LinkBytesPerSecond()
	cfg.Buffers = n.responseBuffers
	cfg.Uploads = n.requestBodies
	cfg.Upload.LinkRate = cfg.Transfer.LinkRate
	cfg.Upload.ServerBytes = n.startSettings.VM.ServerBodyBytes()
	if n.store != nil {
		cfg.Admission.Order = admission.OrderUrgency
	}
	return cfg
}

// withholdHeartbeats is the number of heartbeats after which the store has dropped the entry of a
// server that is gone: three that are missing, and one for the store's own delay.
const withholdHeartbeats = 4

// newFollower creates the follower of the key-value store. n.peers must be set before. A change
// must be active within the shorter one of the two settings apply_within and leave_within.
func (n *Node) newFollower() {
	cfg := follow.DefaultConfig()
	cfg.ReadsPerSecond = n.startSettings.Platform.ReadsPerSecond
	cfg.LinkRate = n.startSettings.VM.LinkBytesPerSecond()
	cfg.ApplyWithin = min(n.startSettings.Platform.ApplyWithin.Std(), n.startSettings.Platform.LeaveWithin.Std())
	cfg.Replica.WithholdFor = withholdHeartbeats * n.startSettings.Platform.Heartbeat.Std()
	if n.startSettings.Platform.Reading == settings.ReadingAll {
		cfg.Reading = follow.ReadByAll
	}
	n.follower = follow.New(cfg, n.store.Store, n.store.Decoder, &storePeers{node: n}, n.command, steady.Boot, n.log)
}

// callerIdentity returns the identity of all callers on the caller listener: the service of
// this VM with a key-value store, the public caller class otherwise.
func (n *Node) callerIdentity() string {
	if n.store != nil {
		return n.startSettings.VM.Service
	}
	return mesh.PublicCaller
}

// storePeers lists and connects to the nodes that may hold a copy of the store's items. It
// implements follow.Peers.
type storePeers struct {
	node *Node
}

// Get implements follow.Peers.
func (p *storePeers) Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error) {
	return p.node.peers.Get(ctx, vm, addr)
}

// Retire implements follow.Peers.
func (p *storePeers) Retire(vm string, ses *session.Session) { p.node.peers.Retire(vm, ses) }

// Candidates implements follow.Peers. It returns the seeds and the peer addresses of all listed
// VMs, without duplicates and without this VM. With a key-value store the ID of a VM is its IP
// address.
func (p *storePeers) Candidates() []netip.AddrPort {
	self := p.node.startSettings.VM.ID
	known := make(map[netip.AddrPort]bool)
	var all []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr.Addr().String() != self && !known[addr] {
			known[addr] = true
			all = append(all, addr)
		}
	}
	for _, seed := range p.node.current.Load().Platform.Seeds {
		add(seed)
	}
	for _, vm := range p.node.state.Fleet().VMs {
		add(vm.Peer)
	}
	return all
}

var _ follow.Peers = (*storePeers)(nil)
