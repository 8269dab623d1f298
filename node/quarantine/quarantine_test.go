package quarantine

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"auburnladder.example/core/quarantine"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

// testTimeout limits the wait for an event that must happen. It is no performance requirement.
const testTimeout = 20 * time.Second

var errStopped = errors.New("network is stopped")

// network connects trackers by in-memory sessions. It implements Peers for each of them.
type network struct {
	mu       sync.Mutex
	trackers map[string]*Tracker
	sessions []*session.Session
	// stopped is set once no session may be opened.
	stopped bool
	tasks   conc.WaitGroup
}

// member is one tracker's view of the network.
type member struct {
	network *network
	// connected are the VMs to which a session is open.
	connected []string
}

func (m *member) Get(_ context.Context, vm string, _ netip.AddrPort) (*session.Session, error) {
	return m.network.connect(vm)
}

func (m *member) Connected(vm string) bool { return slices.Contains(m.connected, vm) }

func (m *member) VMs() []vmlist.VM {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	var all []vmlist.VM
	for vm := range m.network.trackers {
		all = append(all, vmlist.VM{ID: vm})
	}
	return all
}

// add starts a tracker.
func (n *network) add(ctx context.Context, vm string, cfg Config, connected ...string) *Tracker {
	t := New(cfg, vm, &member{network: n, connected: connected}, zerolog.Nop())
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.trackers == nil {
		n.trackers = make(map[string]*Tracker)
	}
	n.trackers[vm] = t
	n.tasks.Go(func() { t.Run(ctx) })
	return t
}

// connect returns a new session to a tracker.
func (n *network) connect(vm string) (*session.Session, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil, errStopped
	}
	near, far := net.Pipe()
	client, err := session.Client(near, session.DefaultConfig())
	if err != nil {
		return nil, err
	}
	server, err := session.Server(far, session.DefaultConfig())
	if err != nil {
		return nil, err
	}
	n.sessions = append(n.sessions, client, server)
	t := n.trackers[vm]
	n.tasks.Go(func() { serve(t, server) })
	return client, nil
}

func serve(t *Tracker, server *session.Session) {
	for {
		st, err := server.Accept()
		if err != nil {
			return
		}
		var req peerpb.Request
		if st.Recv(&req) == nil {
			t.ServeStream(&req, st)
		}
		st.Close()
	}
}

// stop ends the trackers and their sessions.
func (n *network) stop(cancel context.CancelFunc) {
	cancel()
	n.mu.Lock()
	n.stopped = true
	for _, s := range n.sessions {
		s.Close()
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// await waits until the request has the state at all trackers.
func await(trackers []*Tracker, fp quarantine.Fingerprint, want quarantine.State) {
	end := time.Now().Add(testTimeout)
	for _, t := range trackers {
		state, _ := t.State(fp)
		for ; state != want && time.Now().Before(end); state, _ = t.State(fp) {
			time.Sleep(time.Millisecond)
		}
		So(state, ShouldEqual, want)
	}
}

// Guards against a node that sends a request to servers although other nodes know that it crashes them.
func TestRecordsReachAllNodes(t *testing.T) {
	const cause = quarantine.Fingerprint(7)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	// start starts a tracker for each name, connected to the next ones in a ring only.
	start := func(ctx context.Context, n *network, cfg Config) (trackers []*Tracker) {
		for i, name := range names {
			next := []string{names[(i+1)%len(names)], names[(i+2)%len(names)], names[(i+5)%len(names)]}
			trackers = append(trackers, n.add(ctx, name, cfg, next...))
		}
		return trackers
	}
	few := DefaultConfig()
	few.PullInterval = 20 * time.Millisecond
	few.Fanout = 3
	Convey("Crashes that three nodes saw reach all nodes, and so does an answer", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		n := &network{}
		trackers := start(ctx, n, few)
		for i := range 3 {
			trackers[i*4].RecordCrash(quarantine.CrashID(i+1), []quarantine.Fingerprint{cause})
		}
		await(trackers, cause, quarantine.Quarantined)
		trackers[2].RecordAnswer(cause)
		await(trackers, cause, quarantine.Free)
		n.stop(cancel)
	})
	noPull := DefaultConfig()
	noPull.PullInterval = time.Hour
	Convey("Records are sent without being asked for", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		n := &network{}
		trackers := start(ctx, n, noPull)
		// One round of sending may miss a node, so that crashes go on.
		var crashes atomic.Uint64
		done := make(chan struct{})
		var server conc.WaitGroup
		server.Go(func() {
			ticker := time.NewTicker(noPull.PushInterval)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					trackers[0].RecordCrash(quarantine.CrashID(crashes.Add(1)), []quarantine.Fingerprint{cause})
				}
			}
		})
		await(trackers, cause, quarantine.Quarantined)
		close(done)
		server.Wait()
		n.stop(cancel)
	})
	noPush := DefaultConfig()
	noPush.Fanout = 0
	noPush.PullInterval = 10 * time.Millisecond
	Convey("A node that starts later, or to which nothing is sent, asks for the records", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		n := &network{}
		first := n.add(ctx, "a", noPush)
		for i := range 3 {
			first.RecordCrash(quarantine.CrashID(i+1), []quarantine.Fingerprint{cause})
		}
		second := n.add(ctx, "b", noPush)
		await([]*Tracker{second}, cause, quarantine.Quarantined)
		state, left := second.State(cause)
		So(state, ShouldEqual, quarantine.Quarantined)
		So(left, ShouldBeLessThanOrEqualTo, quarantine.DefaultConfig().TTL)
		n.stop(cancel)
	})
}
