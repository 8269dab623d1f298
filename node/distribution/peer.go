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
	// requestTimeout bounds a request to a peer. The state machine queries another peer much
	// sooner, but still uses a reply that arrives within this time.
	requestTimeout = 5 * time.Second
	// minRedial and maxRedial bound the jittered exponential backoff between attempts to
	// open a session to a neighbour.
	minRedial = 200 * time.Millisecond
	maxRedial = 5 * time.Second
)

// Peers provides the sessions to other nodes. *peers.Set implements it.
type Peers interface {
	// Get returns an open session to the VM, regardless of which end opened it.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Observe sets the observer and immediately reports the open sessions to it.
	Observe(o peers.Observer)
}

// setNeighbours starts tasks that maintain sessions to new neighbours and stops those of
// former neighbours. The caller holds mu.
func (d *Driver) setNeighbours(vms []vmlist.VM) {
	neighbours := make(map[string]bool, len(vms))
	for _, vm := range vms {
		neighbours[vm.ID] = true
		if d.sessionCancels[vm.ID] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(d.ctx)
		d.sessionCancels[vm.ID] = cancel
		d.tasks.Go(func() { d.maintainSession(ctx, vm) })
	}
	for id, cancel := range d.sessionCancels {
		if !neighbours[id] {
			cancel()
			delete(d.sessionCancels, id)
		}
	}
}

// maintainSession keeps a session to a neighbour open until ctx ends, and opens a new one
// when it closes.
func (d *Driver) maintainSession(ctx context.Context, vm vmlist.VM) {
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
			d.metrics.sessionsReplaced.Add(1)
		case <-ctx.Done():
		}
	}
}

// session returns an open session to a VM of the current view.
func (d *Driver) session(ctx context.Context, id string) (*session.Session, error) {
	d.mu.Lock()
	vm := d.view[id]
	d.mu.Unlock()
	return d.peers.Get(ctx, id, vm.Peer)
}

// roundTrip sends one request to a peer and reads one reply.
func (d *Driver) roundTrip(peer string, kind *byteCounters, req *peerpb.Request, reply proto.Message) error {
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
	req := &peerpb.Request{Kind: &peerpb.Request_Announce{Announce: announceMessage(a.Versions)}}
	var reply peerpb.Announce
	if err := d.roundTrip(a.Peer, &d.metrics.announce, req, &reply); err != nil {
		return
	}
	d.step(distribution.PeerVersions{Peer: a.Peer, Versions: versionsOf(reply.GetHeld(), reply.GetVmListRevision())})
}

// exchangeVersions requests a peer's versions with a Hello. Unlike an Announce, a Hello
// does not make the two nodes neighbours.
func (d *Driver) exchangeVersions(a distribution.Exchange) {
	req := &peerpb.Request{Kind: &peerpb.Request_Hello{Hello: d.hello()}}
	var reply peerpb.Hello
	if err := d.roundTrip(a.Peer, &d.metrics.exchange, req, &reply); err != nil {
		d.step(distribution.PeerUnreachable(a))
		return
	}
	d.step(distribution.PeerVersions{Peer: a.Peer, Versions: versionsOf(reply.GetHeld(), reply.GetVmListRevision())})
}

// hello returns this node's Hello with the versions that it holds.
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
	manifestReq := &peerpb.ManifestRequest{Wanted: versionMessage(a.Wanted), Base: versionMessage(a.Base)}
	req := &peerpb.Request{Kind: &peerpb.Request_Manifest{Manifest: manifestReq}}
	var reply peerpb.ManifestReply
	if err := d.roundTrip(a.Peer, &d.metrics.manifest, req, &reply); err != nil {
		d.step(distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
		return
	}
	d.step(manifestReceived(a, &reply))
}

// fetchChunks requests chunks and reports those that arrived, also if the request failed
// later.
func (d *Driver) fetchChunks(a distribution.FetchChunks) {
	d.metrics.fetches.Add(1)
	chunks, err := d.readChunks(a)
	if err != nil && len(chunks) == 0 {
		d.step(distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
		return
	}
	d.step(distribution.ChunksReceived{Fetch: a.Fetch, Peer: a.Peer, Chunks: chunks})
}

// readChunks reads one reply per requested chunk. On error it returns the chunks that
// arrived before it.
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
	if err := d.roundTrip(a.Peer, &d.metrics.vmList, req, &reply); err != nil {
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
