package distribution

import (
	"context"
	"net/netip"
	"time"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/peers"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"
)

const (
	// requestTimeout bounds a request to a peer. The machine turns to another peer much
	// sooner and still uses a late answer.
	requestTimeout = 5 * time.Second
	// minRedial and maxRedial bound the jittered backoff between attempts to reach a
	// neighbour.
	minRedial = 200 * time.Millisecond
	maxRedial = 5 * time.Second
)

// Peers opens sessions to other nodes.
type Peers interface {
	// Get returns an open session to the VM, whichever end opened it.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Observe sets the observer; it hears about open sessions at once.
	Observe(o peers.Observer)
}

// setNeighbours starts and stops the tasks that keep sessions open.
func (d *Driver) setNeighbours(vms []vmlist.VM) {
	wanted := make(map[string]bool, len(vms))
	for _, vm := range vms {
		wanted[vm.ID] = true
		if d.keepers[vm.ID] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(d.ctx)
		d.keepers[vm.ID] = cancel
		d.tasks.Go(func() { d.keep(ctx, vm) })
	}
	for id, cancel := range d.keepers {
		if !wanted[id] {
			cancel()
			delete(d.keepers, id)
		}
	}
}

// keep holds a session to a neighbour open and replaces it when it ends.
func (d *Driver) keep(ctx context.Context, vm vmlist.VM) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRedial, maxRedial
	for ctx.Err() == nil {
		ses, err := d.peers.Get(ctx, vm.ID, vm.Peer)
		if err != nil {
			d.step(distribution.PeerUnreachable{Peer: vm.ID})
			sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		select {
		case <-ses.Closed():
			d.metrics.replaced.Add(1)
		case <-ctx.Done():
		}
	}
}

// session returns an open session to a VM of the view.
func (d *Driver) session(ctx context.Context, id string) (*session.Session, error) {
	d.mu.Lock()
	vm := d.view[id]
	d.mu.Unlock()
	return d.peers.Get(ctx, id, vm.Peer)
}

// ask sends one request to a peer and reads one answer.
func (d *Driver) ask(peer string, kind *kindMetrics, req *peerpb.Request, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	ses, err := d.session(ctx, peer)
	if err != nil {
		return err
	}
	kind.sent.Add(messageBytes(req))
	if err := ses.Exchange(ctx, req, reply); err != nil {
		return err
	}
	kind.received.Add(messageBytes(reply))
	return nil
}

func (d *Driver) announce(a distribution.Announce) {
	d.metrics.announcements.Add(1)
	req := &peerpb.Request{Kind: &peerpb.Request_Announce{Announce: announcement(a.Versions)}}
	var reply peerpb.Announce
	if err := d.ask(a.Peer, &d.metrics.announce, req, &reply); err != nil {
		return
	}
	d.step(distribution.PeerVersions{Peer: a.Peer, Versions: versionsOf(reply.GetHeld(), reply.GetVmListRevision())})
}

// exchange asks a peer for its versions by a Hello, which makes no neighbour of it.
func (d *Driver) exchange(a distribution.Exchange) {
	req := &peerpb.Request{Kind: &peerpb.Request_Hello{Hello: d.hello()}}
	var reply peerpb.Hello
	if err := d.ask(a.Peer, &d.metrics.exchange, req, &reply); err != nil {
		d.step(distribution.PeerUnreachable(a))
		return
	}
	d.step(distribution.PeerVersions{Peer: a.Peer, Versions: versionsOf(reply.GetHeld(), reply.GetVmListRevision())})
}

func (d *Driver) hello() *peerpb.Hello {
	d.mu.Lock()
	v := d.machine.Versions()
	d.mu.Unlock()
	return &peerpb.Hello{
		Vm:             d.cfg.Self.ID,
		Service:        d.cfg.Self.Service,
		Domain:         d.cfg.Self.Domain,
		Held:           versionMessage(v.Held),
		VmListRevision: v.VMList,
	}
}

func (d *Driver) fetchManifest(a distribution.FetchManifest) {
	d.metrics.fetches.Add(1)
	ask := &peerpb.ManifestRequest{Wanted: versionMessage(a.Wanted), Base: versionMessage(a.Base)}
	req := &peerpb.Request{Kind: &peerpb.Request_Manifest{Manifest: ask}}
	var reply peerpb.ManifestReply
	if err := d.ask(a.Peer, &d.metrics.manifest, req, &reply); err != nil {
		d.step(distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
		return
	}
	d.step(manifestReceived(a, &reply))
}

// fetchChunks reads one reply for each chunk. Chunks that arrived before a failure are
// reported too.
func (d *Driver) fetchChunks(a distribution.FetchChunks) {
	d.metrics.fetches.Add(1)
	chunks, err := d.readChunks(a)
	if err != nil && len(chunks) == 0 {
		d.step(distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
		return
	}
	d.step(distribution.ChunksReceived{Fetch: a.Fetch, Peer: a.Peer, Chunks: chunks})
}

func (d *Driver) readChunks(a distribution.FetchChunks) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	ses, err := d.session(ctx, a.Peer)
	if err != nil {
		return nil, err
	}
	req := chunkRequest(a.Digests)
	d.metrics.chunks.sent.Add(messageBytes(req))
	st, err := ses.Open(req)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	st.SetDeadline(time.Now().Add(requestTimeout))
	var chunks [][]byte
	for range a.Digests {
		var reply peerpb.ChunkReply
		if err := st.Recv(&reply); err != nil {
			return chunks, err
		}
		d.metrics.chunks.received.Add(messageBytes(&reply))
		if reply.GetFound() {
			chunks = append(chunks, reply.GetData())
		}
	}
	return chunks, nil
}

func (d *Driver) fetchVMList(a distribution.FetchVMList) {
	req := &peerpb.Request{Kind: &peerpb.Request_VmList{VmList: &peerpb.VMListRequest{}}}
	var reply peerpb.VMListReply
	if err := d.ask(a.Peer, &d.metrics.vmList, req, &reply); err != nil {
		d.step(distribution.FetchFailed(a))
		return
	}
	list, err := decompress(reply.GetList())
	if err != nil {
		d.step(distribution.FetchFailed(a))
		return
	}
	d.step(distribution.VMListReceived{Fetch: a.Fetch, Peer: a.Peer, Revision: reply.GetRevision(), Data: list})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
