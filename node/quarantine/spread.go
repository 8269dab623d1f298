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
	// samplesPerChoice is the size of the random sample for each node to choose.
	samplesPerChoice = 4
)

// Peers provides sessions to other nodes.
type Peers interface {
	// Get returns an open session to the VM, and opens one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Connected reports whether a session to the VM is open.
	Connected(vm string) bool
	// VMs returns all VMs. The caller must not change the slice.
	VMs() []vmlist.VM
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
		for _, vm := range t.choose(t.cfg.Fanout) {
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			exchanges.Go(func() {
				defer func() { <-slots }()
				if _, err := t.exchange(ctx, vm, req); err != nil {
					t.log.Debug().Err(err).Str("event", "quarantine-push-failed").Str("peer", vm.ID).
						Msg("records of crashes could not be sent to this node; it asks for them itself")
				}
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
	digest := t.table.Digest(t.boot())
	t.mu.Unlock()
	reply, err := t.exchange(ctx, chosen[0], &peerpb.CrashSync{Pull: true, Digest: digest})
	if err != nil {
		t.log.Debug().Err(err).Str("event", "quarantine-pull-failed").Str("peer", chosen[0].ID).Msg("records of crashes could not be got from this node")
		return false
	}
	t.Merge(reply.GetRecords())
	return true
}

// exchange sends a request to a node and returns its reply.
func (t *Tracker) exchange(ctx context.Context, vm *vmlist.VM, req *peerpb.CrashSync) (*peerpb.CrashSync, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ses, err := t.peers.Get(ctx, vm.ID, vm.Peer)
	if err != nil {
		return nil, err
	}
	reply := new(peerpb.CrashSync)
	err = ses.Exchange(ctx, &peerpb.Request{Kind: &peerpb.Request_CrashSync{CrashSync: req}}, reply)
	return reply, err
}

// choose returns up to n random nodes. Of a sample it takes those first to which a session is open.
func (t *Tracker) choose(n int) []*vmlist.VM {
	all := t.peers.VMs()
	chosen := make([]*vmlist.VM, 0, n)
	var unconnected []*vmlist.VM
	for _, i := range sample(len(all), samplesPerChoice*n) {
		switch vm := &all[i]; {
		case vm.ID == t.vm:
		case t.peers.Connected(vm.ID):
			chosen = append(chosen, vm)
		default:
			unconnected = append(unconnected, vm)
		}
	}
	chosen = append(chosen, unconnected...)
	return chosen[:min(n, len(chosen))]
}

// sample returns up to n different random numbers below total, without work in proportion to
// total.
func sample(total, n int) []int {
	if total <= n {
		return rand.Perm(total)
	}
	seen := make(map[int]bool, n)
	numbers := make([]int, 0, n)
	for range n {
		if i := rand.IntN(total); !seen[i] {
			seen[i] = true
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// ServeStream replies to an exchange of another node. It returns false if req is another
// request.
func (t *Tracker) ServeStream(req *peerpb.Request, st *session.Stream) bool {
	exchange := req.GetCrashSync()
	if exchange == nil {
		return false
	}
	t.Merge(exchange.GetRecords())
	st.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := st.Send(t.reply(exchange)); err != nil {
		t.log.Debug().Err(err).Str("event", "quarantine-reply-lost").Msg("records of crashes could not be sent to a node that asked for them")
	}
	return true
}

// reply returns the reply to an exchange: all records if the other node asks for them and has
// not the same ones.
func (t *Tracker) reply(req *peerpb.CrashSync) *peerpb.CrashSync {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.boot()
	if !req.GetPull() || req.GetDigest() == t.table.Digest(now) {
		return &peerpb.CrashSync{}
	}
	return &peerpb.CrashSync{Records: toWire(now, t.table.All(now))}
}
