package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

const (
	// peerTimeout bounds one request to a peer, at both ends.
	peerTimeout = time.Second
	// maxCopyBytes is the largest uncompressed size of the items of a copy.
	maxCopyBytes = 16 << 20
)

// Peers provides sessions to other nodes and their addresses.
type Peers interface {
	// Get returns an open session to the VM, and opens one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Candidates returns the addresses of nodes that may hold a copy of the store's items.
	// The caller may reorder the slice.
	Candidates() []netip.AddrPort
}

// pollPeers requests newer copies from peers, one round every PeerInterval, while the store
// does not respond.
func (f *Follower) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(f.cfg.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if f.failing.Load() {
			f.copyFromPeers(ctx)
		}
	}
}

// copyFromPeers requests a copy from PeersPerRound random peers, one after the other.
func (f *Follower) copyFromPeers(ctx context.Context) {
	candidates := f.peers.Candidates()
	rand.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, addr := range candidates[:min(f.cfg.PeersPerRound, len(candidates))] {
		err := f.copyFromPeer(ctx, addr)
		if err != nil && !errors.Is(err, errNotNewer) {
			f.log.Debug().Err(err).Str("event", "peer-copy-failed").Stringer("peer", addr).Msg("copy of the store could not be fetched from peer")
		}
	}
}

// copyFromPeer requests a copy from one peer and applies it. It returns errNotNewer if the
// peer has nothing newer.
func (f *Follower) copyFromPeer(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	ses, err := f.peers.Get(ctx, addr.Addr().String(), addr)
	if err != nil {
		return err
	}
	before := f.revision()
	req := &peerpb.Request{Kind: &peerpb.Request_SourceCopy{SourceCopy: &peerpb.SourceCopyRequest{After: before}}}
	var reply peerpb.SourceCopy
	if err := ses.Exchange(ctx, req, &reply); err != nil {
		return err
	}
	if reply.GetRevision() <= before {
		return errNotNewer
	}
	items, err := decodeItems(reply.GetItems())
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.replica.Replace(time.Now(), items, reply.GetRevision()) {
		return errNotNewer
	}
	f.log.Info().Str("event", "peer-copy-taken").Stringer("peer", addr).
		Uint64("from_revision", before).Uint64("revision", reply.GetRevision()).Msg("copy of the store applied from a peer")
	f.applyReplicaLocked()
	return nil
}

// ServeStream replies to a peer's request for a copy. It returns false if req is another
// kind of request.
func (f *Follower) ServeStream(req *peerpb.Request, st *session.Stream) bool {
	copyReq := req.GetSourceCopy()
	if copyReq == nil {
		return false
	}
	st.SetDeadline(time.Now().Add(peerTimeout))
	if err := st.Send(f.copyNewerThan(copyReq.GetAfter())); err != nil {
		f.log.Debug().Err(err).Str("event", "peer-copy-not-sent").Msg("copy of the store could not be sent")
	}
	return true
}

// copyNewerThan returns a copy of all items, without items if the replica's revision is not
// above after.
func (f *Follower) copyNewerThan(after uint64) *peerpb.SourceCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &peerpb.SourceCopy{Revision: f.replica.Revision()}
	if c.Revision > after {
		c.Items = encodeItems(f.replica.Items())
	}
	return c
}

func encodeItems(items []source.Item) []byte {
	m := &peerpb.SourceItems{}
	for _, i := range items {
		m.Items = append(m.Items, &peerpb.SourceItem{Key: i.Key, Value: i.Value, Revision: i.Revision})
	}
	// The error is ignored: encoding strings, bytes and integers is not expected to fail.
	data, _ := proto.Marshal(m)
	return s2.Encode(nil, data)
}

func decodeItems(data []byte) ([]source.Item, error) {
	size, err := s2.DecodedLen(data)
	if err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	if size > maxCopyBytes {
		return nil, fmt.Errorf("copy of the store: %d bytes, expected at most %d", size, maxCopyBytes)
	}
	raw, err := s2.Decode(nil, data)
	if err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	var m peerpb.SourceItems
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	items := make([]source.Item, len(m.GetItems()))
	for i, p := range m.GetItems() {
		items[i] = source.Item{Key: p.GetKey(), Value: p.GetValue(), Revision: p.GetRevision()}
	}
	return items, nil
}
