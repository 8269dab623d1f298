package quarantine

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/sourcegraph/conc"
)

const (
	// exchangeTimeout bounds one exchange with another node, including the connection set-up.
	exchangeTimeout = time.Second
	// maxExchanges bounds the exchanges in flight. Records beyond it wait for a request of
	// the other node.
	maxExchanges = 64
	// startPullInterval is the PullInterval until the first reply.
	startPullInterval = 100 * time.Millisecond
)

// Peers provides sessions to other nodes.
type Peers interface {
	// Get returns an open session to the VM, and opens one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Connected returns the IDs of the VMs to which a session is open.
	Connected() []string
	// Others returns all VMs but this one. The caller must not change the slice.
	Others() []vmlist.VM
}

// peer is a node that records are exchanged with. The address of a connected one is not needed.
type peer struct {
	vm   string
	addr netip.AddrPort
}

// Run sends new records to other nodes and asks them for missing ones until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { t.pushAll(ctx) })
	interval := startPullInterval
	for {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if t.pull(ctx) {
			interval = t.cfg.PullInterval
		}
	}
}

// pushAll sends new records in rounds until ctx ends.
func (t *Tracker) pushAll(ctx context.Context) {
	var exchanges conc.WaitGroup
	defer exchanges.Wait()
	slots := make(chan struct{}, maxExchanges)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		req := t.pushRequest()
		for _, p := range t.choose(t.cfg.Fanout) {
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			exchanges.Go(func() {
				defer func() { <-slots }()
				_, _ = t.exchange(ctx, p, req)
			})
		}
		timer := time.NewTimer(t.cfg.PushInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// pushRequest returns a request with the records that have changed since the last one.
func (t *Tracker) pushRequest() *peerpb.CrashSync {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.table.Records(t.unsent...)
	t.unsent = nil
	stats.Add("pushed", int64(len(records)))
	return &peerpb.CrashSync{Records: toWire(t.boot(), records)}
}

// pull asks a random node for the records that this one lacks, and reports whether it replied.
func (t *Tracker) pull(ctx context.Context) bool {
	chosen := t.choose(1)
	if len(chosen) == 0 {
		return false
	}
	t.mu.Lock()
	digest := t.table.Digest()
	t.mu.Unlock()
	reply, err := t.exchange(ctx, chosen[0], &peerpb.CrashSync{Pull: true, Digest: digest})
	if err != nil {
		t.log.Debug().Err(err).Str("event", "quarantine-pull-failed").Str("peer", chosen[0].vm).Msg("records of crashes could not be got from this node")
		return false
	}
	t.Merge(reply.GetRecords())
	return true
}

// exchange sends a request to a node and returns its reply.
func (t *Tracker) exchange(ctx context.Context, p peer, req *peerpb.CrashSync) (*peerpb.CrashSync, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ses, err := t.peers.Get(ctx, p.vm, p.addr)
	if err != nil {
		return nil, err
	}
	reply := new(peerpb.CrashSync)
	err = ses.Exchange(ctx, &peerpb.Request{Kind: &peerpb.Request_CrashSync{CrashSync: req}}, reply)
	return reply, err
}

// choose returns up to n random nodes, connected ones first.
func (t *Tracker) choose(n int) []peer {
	connected := t.peers.Connected()
	rand.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	chosen := make([]peer, 0, n)
	known := make(map[string]bool, len(connected))
	for _, vm := range connected {
		known[vm] = true
		if len(chosen) < n {
			chosen = append(chosen, peer{vm: vm})
		}
	}
	others := t.peers.Others()
	for _, i := range rand.Perm(len(others)) {
		if len(chosen) == n {
			break
		}
		if vm := &others[i]; !known[vm.ID] {
			chosen = append(chosen, peer{vm: vm.ID, addr: vm.Peer})
		}
	}
	return chosen
}

// ServeStream replies to an exchange of another node. It returns false if req is another
// request.
func (t *Tracker) ServeStream(req *peerpb.Request, st *session.Stream) bool {
	sync := req.GetCrashSync()
	if sync == nil {
		return false
	}
	t.Merge(sync.GetRecords())
	st.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := st.Send(t.reply(sync)); err != nil {
		t.log.Debug().Err(err).Str("event", "quarantine-reply-lost").Msg("records of crashes could not be sent to a node that asked for them")
	}
	return true
}

// reply returns the reply to an exchange: all records if the other node asks for them and has
// not the same ones.
func (t *Tracker) reply(req *peerpb.CrashSync) *peerpb.CrashSync {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !req.GetPull() || req.GetDigest() == t.table.Digest() {
		return &peerpb.CrashSync{}
	}
	return &peerpb.CrashSync{Records: toWire(t.boot(), t.table.All())}
}
