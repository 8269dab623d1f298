package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/core/spread"
	"auburnladder.example/core/transit"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/sourcegraph/conc"
)

const (
	// peerTimeout bounds opening a session to a peer, and the time without a further part of the
	// copy that a peer was asked for.
	peerTimeout = time.Second
	// sendTimeout bounds the time in which a node takes no part of a copy. A node takes half a window
	// of 256 KiB at a time, at a twelfth of a link of 10 Mbit/s in 1.3 s.
	sendTimeout = 4 * time.Second
	// copyTimeout bounds receiving one copy from a peer: one of maxMessageBytes at a quarter of a link
	// of 10 Mbit/s.
	copyTimeout = 30 * time.Second
)

// Peers provides sessions to other nodes and their addresses.
type Peers interface {
	// Get returns an open session to the VM, and opens one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Retire makes sure that Get does not return ses again. Open streams may finish.
	Retire(vm string, ses *session.Session)
	// Candidates returns the addresses of nodes that may hold a copy of the store's items.
	// The caller may reorder the slice.
	Candidates() []netip.AddrPort
}

// followParent takes changes from the node of a VM until ctx ends or the stream fails.
func (f *Follower) followParent(ctx context.Context, vm vmlist.VM) {
	err := f.receiveFrom(ctx, vm, f.copyFrom())
	if errors.Is(err, errNoBase) || errors.Is(err, errGap) {
		// This node's copy has changed on another path: take the whole copy.
		err = f.receiveFrom(ctx, vm, source.Position{})
	}
	if ctx.Err() != nil {
		return
	}
	f.recordTooLarge(err)
	f.log.Debug().Err(err).Str("event", "parent-failed").Str("parent", vm.ID).Msg("changes of the store can no longer be taken from this node")
	f.mu.Lock()
	f.machine.ParentFailed(f.boot(), vm.ID)
	f.mu.Unlock()
	f.signalSteer()
}

// receiveFrom opens a stream to the node of a VM and applies the copies that it sends, which
// begin after a position.
func (f *Follower) receiveFrom(ctx context.Context, vm vmlist.VM, after source.Position) error {
	dial, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	ses, err := f.peers.Get(dial, vm.ID, vm.Peer)
	if err != nil {
		return err
	}
	asked := f.boot()
	st, err := ses.Open(copyRequest(after, true, f.heldReleases(after)...))
	if err != nil {
		return err
	}
	defer st.Close()
	heard := false
	stop := context.AfterFunc(ctx, func() { st.SetDeadline(pastDeadline) })
	defer stop()
	defer func() {
		if !heard {
			f.peers.Retire(vm.ID, ses)
		}
	}()
	delays := messageDelays{asked: asked, via: viaParent, from: vm.ID}
	for {
		var c peerpb.SourceCopy
		if err := st.RecvLarge(&c, maxMessageBytes); err != nil {
			return err
		}
		heard = true
		if err := f.applyCopy(&c, &delays); err != nil {
			return err
		}
	}
}

// messageDelays bounds how long the messages of a stream were under way, although the clocks of
// the two VMs have nothing in common. The request was not received before it was sent; messages
// are compared with it and with the fastest ones.
type messageDelays struct {
	// asked is when the stream was opened, by the local clock.
	asked     time.Duration
	started   bool
	estimator transit.Estimator
	// via and from name the sender in the log.
	via, from string
}

// delay returns an upper bound of the delay of a message, but for a delay that lasts. sent is by the
// clock of the sender, which had held the request for a time if this is its first message.
func (d *messageDelays) delay(sent, held, received time.Duration) time.Duration {
	if !d.started {
		d.started = true
		d.estimator.Excess(sent-held, d.asked)
	}
	return d.estimator.Excess(sent, received)
}

// pastDeadline is a stream deadline that interrupts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// copyRequest returns the request for what is newer than a position, from a node that holds releases.
func copyRequest(after source.Position, follow bool, releases ...source.Position) *peerpb.Request {
	r := &peerpb.SourceCopyRequest{Era: after.Era, After: after.Revision, Follow: follow}
	for _, p := range releases {
		r.Releases = append(r.Releases, &peerpb.SourcePosition{Era: p.Era, Revision: p.Revision})
	}
	return &peerpb.Request{Kind: &peerpb.Request_SourceCopy{SourceCopy: r}}
}

// positionOf returns the position as of which a copy is complete.
func positionOf(c *peerpb.SourceCopy) source.Position {
	return source.Position{Era: c.GetEra(), Revision: c.GetRevision()}
}

// askPeers requests newer copies from random peers, one round every PeerInterval, while the
// decision asks for that.
func (f *Follower) askPeers(ctx context.Context) {
	for f.await(ctx, func(d *spread.Decision) bool { return d.AskPeers }) {
		f.askRound(ctx)
		sleep(ctx, f.cfg.PeerInterval)
	}
}

// askRound requests a copy from PeersPerRound random peers at the same time. Once one gave a newer copy
// the others have peerTimeout left, so that a large copy on a slow link doesn't delay the next round.
func (f *Follower) askRound(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	counters.askRounds.Add(1)
	candidates := f.peers.Candidates()
	rand.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, addr := range candidates[:min(f.cfg.PeersPerRound, len(candidates))] {
		tasks.Go(func() {
			newer, err := f.askPeer(ctx, addr)
			if newer && f.copyFrom().Revision > 0 {
				time.AfterFunc(peerTimeout, cancel)
			}
			if err != nil {
				f.recordTooLarge(err)
				f.log.Debug().Err(err).Str("event", "peer-copy-failed").Stringer("peer", addr).Msg("copy of the store could not be fetched from peer")
			}
		})
	}
}

// askPeer requests a copy from one peer and applies it. It reports whether the copy was newer.
func (f *Follower) askPeer(ctx context.Context, addr netip.AddrPort) (newer bool, err error) {
	dial, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	vm := addr.Addr().String()
	ses, err := f.peers.Get(dial, vm, addr)
	if err != nil {
		return false, err
	}
	before := f.position()
	at, err := f.askCopy(ctx, vm, ses, f.copyFrom())
	if errors.Is(err, errNoBase) {
		at, err = f.askCopy(ctx, vm, ses, source.Position{})
	}
	if err != nil {
		return false, err
	}
	newer = at.Compare(before) > 0
	if newer {
		f.log.Info().Str("event", "peer-copy-taken").Stringer("peer", addr).
			Uint64("from_revision", before.Revision).Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("copy of the store applied from a peer")
	}
	return newer, nil
}

// askCopy requests what is newer than a position over a session to a VM and applies it. It returns
// the position of the copy.
func (f *Follower) askCopy(ctx context.Context, vm string, ses *session.Session, after source.Position) (source.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	asked := f.boot()
	var c peerpb.SourceCopy
	if err := ses.ExchangeLarge(ctx, copyRequest(after, false, f.heldReleases(after)...), &c, maxMessageBytes, peerTimeout); err != nil {
		return source.Position{}, err
	}
	if err := f.applyCopy(&c, &messageDelays{asked: asked, via: viaPeer, from: vm}); err != nil {
		return source.Position{}, err
	}
	return positionOf(&c), nil
}

// heldReleases returns the positions of the releases of which this node takes patches, none if it
// asks for all items.
func (f *Follower) heldReleases(after source.Position) []source.Position {
	if after == (source.Position{}) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releases.positions()
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

var (
	errEmptyPeer = errors.New("the peer holds no copy yet")
	errGap       = errors.New("the peer's changes begin after the local position")
	errBehind    = errors.New("the peer sent no items for a position after the local one")
)

// applyCopy applies a copy or the changes of a peer, and records the time as of which this node's copy
// is complete by it.
func (f *Follower) applyCopy(c *peerpb.SourceCopy, delays *messageDelays) error {
	received := f.boot()
	if c.GetRevision() == 0 {
		return errEmptyPeer
	}
	transit := delays.delay(microseconds(c.GetSentUs()), microseconds(c.GetHeldUs()), received)
	age := microseconds(c.GetAgeUs()) + transit
	came := arrival{via: delays.via, from: delays.from, whole: c.GetAfter() == 0, bytes: len(c.GetItems()), transit: transit}
	came.received.at = received
	changed, err := f.mergeCopy(c, came, received-age)
	if changed {
		f.applyList()
	}
	return err
}

// mergeCopy merges a copy or the changes of a peer, complete as of a time, into the replica, and reports
// whether it held any items. What a peer that is behind says of the age of its copy holds for this one
// too, which includes it.
func (f *Follower) mergeCopy(c *peerpb.SourceCopy, came arrival, asOf time.Duration) (changed bool, err error) {
	if came.bytes > 0 {
		counters.countTaken(c)
		came.received.cpu, came.gc = processorTime(), readGC()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if positionOf(c).Compare(f.replica.Position()) < 0 {
		f.recordHeardLocked(c, came, asOf)
		f.signalSteer()
		return false, nil
	}
	if len(c.GetItems()) > 0 {
		came.locked = f.usage()
		if err := f.applyItemsLocked(c, came.received.at); err != nil {
			return false, err
		}
		f.recordArrivalLocked(came)
	}
	if positionOf(c).Compare(f.replica.Position()) > 0 {
		return false, errBehind
	}
	// Before renewLocked, which starts the build of a release: the decisions during it know the sender.
	f.recordHeardLocked(c, came, asOf)
	f.renewLocked()
	return len(c.GetItems()) > 0, nil
}

// recordHeardLocked records a message of a parent or of another peer, complete as of a time. The caller
// holds mu.
func (f *Follower) recordHeardLocked(c *peerpb.SourceCopy, came arrival, asOf time.Duration) {
	switch came.via {
	case viaParent:
		f.machine.ParentHeard(came.from, asOf, !c.GetUnsourced())
	case viaPeer:
		f.machine.Copied(asOf)
	}
}
