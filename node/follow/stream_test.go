package follow

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/source"
	"auburnladder.example/core/spread"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// hookDecoder is a plainDecoder that calls onRelease before it decodes a release after the first.
type hookDecoder struct {
	plainDecoder
	onRelease func()
}

func (d hookDecoder) Release(value []byte) (*mesh.Published, error) {
	if len(value) > 0 && value[0] > 1 {
		d.onRelease()
	}
	return d.plainDecoder.Release(value)
}

// pair is a node that takes changes from its parent over one stream. Neither of them runs, and
// the test moves their clock.
type pair struct {
	parent, child *Follower
	parentVM      vmlist.VM
	// asked receives a value when the parent has noted the arrival of the child's request.
	asked  chan struct{}
	clock  atomic.Int64
	closes []func()
	tasks  conc.WaitGroup
}

func newPair(t *testing.T, onRelease func()) *pair {
	p := &pair{asked: make(chan struct{}, 1)}
	p.clock.Store(int64(time.Hour))
	root, other := rootOf("10.0.0.1", "10.0.0.2")
	p.parentVM = vmlist.VM{ID: root, Peer: netip.MustParseAddrPort(root + ":1")}
	near, far := connPair(t)
	client, err := session.Client(near, session.DefaultConfig())
	So(err, ShouldBeNil)
	server, err := session.Server(far, session.DefaultConfig())
	So(err, ShouldBeNil)
	p.parent = p.follower(root, plainDecoder{}, noPeers{})
	p.child = p.follower(other, hookDecoder{onRelease: onRelease}, &copyPeer{ses: client})
	p.change(source.Item{Key: "config", Value: []byte("\x01"), Revision: 1}, vmEntry(root, 2), vmEntry(other, 3))
	// The parent has read its clock before, for the changes above.
	p.parent.boot = p.noteAsked
	p.tasks.Go(func() { p.serve(server) })
	p.closes = append(p.closes, client.Close, server.Close)
	return p
}

// vmEntry returns the entry of a VM's server.
func vmEntry(vm string, revision uint64) source.Item {
	return source.Item{Key: vm, Value: []byte{}, Revision: revision}
}

// rootOf returns the VM of the two that reads the store, and the other one.
func rootOf(a, b string) (root, other string) {
	none := func(string) bool { return false }
	if spread.NewTree([]vmlist.VM{{ID: a}, {ID: b}}).Place(a, "", 6, none).Parent == nil {
		return a, b
	}
	return b, a
}

func (p *pair) follower(vm string, d source.Decoder, peers Peers) *Follower {
	cmd := &command.Commander{State: state.New(state.Identity{VM: vm}), Log: zerolog.Nop(), Now: time.Now}
	return New(DefaultConfig(), newFakeStore(), d, peers, cmd, p.now, zerolog.Nop())
}

func (p *pair) now() time.Duration { return time.Duration(p.clock.Load()) }

// noteAsked is the clock of the parent.
func (p *pair) noteAsked() time.Duration {
	now := p.now()
	select {
	case p.asked <- struct{}{}:
	default:
	}
	return now
}

// pass moves the clock by a fraction of the time within which changes must be applied.
func (p *pair) pass(share float64) {
	p.clock.Add(int64(share * float64(p.child.cfg.ApplyWithin)))
}

func (p *pair) serve(server *session.Session) {
	st, err := server.Accept()
	if err != nil {
		return
	}
	defer st.Close()
	var req peerpb.Request
	if st.Recv(&req) == nil {
		p.parent.ServeStream(&req, st)
	}
}

// follow makes the child take changes from the parent until close.
func (p *pair) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	p.closes = append(p.closes, cancel)
	p.tasks.Go(func() { _ = p.child.receiveFrom(ctx, p.parentVM, source.Position{}) })
	p.tasks.Go(func() { p.child.buildReleases(ctx) })
}

// change writes items to the parent's copy, which is then complete as of now. An item without a
// value is removed.
func (p *pair) change(items ...source.Item) {
	p.parent.mu.Lock()
	defer p.parent.mu.Unlock()
	p.changeLocked(items...)
}

func (p *pair) changeLocked(items ...source.Item) {
	c := source.Changes{}
	for _, item := range items {
		c.Changes = append(c.Changes, source.Change{Item: item, Removed: item.Value == nil})
		c.Revision = item.Revision
	}
	p.parent.replica.Apply(time.Now(), c)
	p.parent.machine.StoreRead(p.now())
	p.parent.renewLocked()
}

// awaitChild waits until the child's copy includes a revision.
func (p *pair) awaitChild(t *testing.T, revision uint64) {
	eventually(t, func() bool { return p.child.position().Revision >= revision })
}

func (p *pair) close() {
	for _, f := range p.closes {
		f()
	}
	p.parent.Stop()
	p.tasks.Wait()
}

// Guards against a node that leaves its parent because of its own slow build.
func TestParentKeptDuringBuild(t *testing.T) {
	Convey("A node that builds a release for a third of the bound keeps the parent that sent it", t, func() {
		parents := make(chan string, 1)
		var p *pair
		p = newPair(t, func() {
			p.pass(0.3)
			parents <- vmID(p.child.decide().Parent)
		})
		defer p.close()
		p.follow()
		eventually(t, func() bool { return p.child.command.State.Snapshot() != nil })
		So(vmID(p.child.decide().Parent), ShouldEqual, p.parentVM.ID)
		p.change(vmEntry(p.parentVM.ID, 4))
		p.awaitChild(t, 4)
		p.pass(0.3)
		p.change(source.Item{Key: "config", Value: []byte("\x02"), Revision: 5})
		So(<-parents, ShouldEqual, p.parentVM.ID)
	})
}

// Guards against a parent that is left because the build that its message starts runs before the message is recorded.
func TestBuildKnowsTheMessageThatStartedIt(t *testing.T) {
	Convey("A build that is over before the list of its message is applied keeps the parent that sent it", t, func() {
		parents := make(chan string, 1)
		var p *pair
		p = newPair(t, func() {
			p.pass(0.3)
			parents <- vmID(p.child.decide().Parent)
		})
		defer p.close()
		p.follow()
		eventually(t, func() bool { return p.child.command.State.Snapshot() != nil })
		p.change(vmEntry(p.parentVM.ID, 4))
		p.awaitChild(t, 4)
		p.child.decide()
		p.pass(0.3)
		p.child.listMu.Lock()
		p.change(source.Item{Key: "config", Value: []byte("\x02"), Revision: 5})
		parent := <-parents
		p.child.listMu.Unlock()
		So(parent, ShouldEqual, p.parentVM.ID)
	})
}

// Guards against the next change being read, and passed on, only after a build.
func TestChangesReadDuringBuild(t *testing.T) {
	Convey("While a node builds a release, its copy gets the next change of its parent", t, func() {
		gate := make(chan struct{})
		p := newPair(t, func() { <-gate })
		defer p.close()
		defer close(gate)
		p.follow()
		p.awaitChild(t, 3)
		p.change(source.Item{Key: "config", Value: []byte("\x02"), Revision: 4})
		p.awaitChild(t, 4)
		p.change(source.Item{Key: "config", Value: []byte("\x03"), Revision: 5})
		p.awaitChild(t, 5)
	})
}

// Guards against requests to a server that left, while the node builds a release.
func TestServerLeavesDuringBuild(t *testing.T) {
	Convey("A server that leaves while a release is built is no longer listed", t, func() {
		gate := make(chan struct{})
		p := newPair(t, func() { <-gate })
		defer p.close()
		defer close(gate)
		p.change(vmEntry("10.0.0.9", 4))
		p.follow()
		listed := func() bool { return p.child.command.State.Fleet().VM("10.0.0.9") != nil }
		eventually(t, listed)
		p.change(source.Item{Key: "config", Value: []byte("\x02"), Revision: 5})
		p.awaitChild(t, 5)
		p.change(source.Item{Key: "10.0.0.9", Revision: 6})
		eventually(t, func() bool { return !listed() })
	})
}

// Guards against copies that count as old for minutes because the first message of their stream
// was late: the node then asks others and changes its parent all the time.
func TestAgeAfterLateFirstMessage(t *testing.T) {
	Convey("A parent's later messages are fresh although it took long to send the first one", t, func() {
		p := newPair(t, func() {})
		defer p.close()
		p.parent.mu.Lock()
		p.follow()
		<-p.asked
		p.pass(0.4)
		p.changeLocked(vmEntry(p.parentVM.ID, 4))
		p.parent.mu.Unlock()
		p.awaitChild(t, 4)
		for revision := uint64(5); revision < 7; revision++ {
			p.pass(0.3)
			p.change(vmEntry(p.parentVM.ID, revision))
			p.awaitChild(t, revision)
		}
		So(p.child.Status().Age, ShouldBeLessThan, p.child.cfg.ApplyWithin*31/100)
	})
}
