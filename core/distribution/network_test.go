package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/virtualtime"
	"auburnladder.example/core/vmlist"
)

// network connects machines by links with delay, loss and duplication, in virtual time.
type network struct {
	t       testing.TB
	fixture *fixture
	cfg     Config
	rng     *rand.Rand
	virtualtime.Clock
	vms    []vmlist.VM
	nodes  map[string]*node
	source platform
	// loss and duplicates are the probabilities that a message is lost or duplicated.
	loss       float64
	duplicates float64
	// partitioned holds the failure domains that are cut off from all others.
	partitioned map[string]bool
	releases    map[release.Version]*testRelease
	// disturbedAt is the time of the last partition, heal, pause, resume or change of
	// loss.
	disturbedAt time.Time
	failures    []string
}

// platform simulates the source.
type platform struct {
	down           bool
	value          []byte
	revision       uint64
	chunks         map[release.Digest][]byte
	vmList         []byte
	vmListRevision uint64
	// reads holds the start time of each call.
	reads []time.Time
}

// node is one VM with its state machine. Each start of the node is a new incarnation with
// a new machine.
type node struct {
	vm          vmlist.VM
	machine     *Machine
	incarnation int
	alive       bool
	paused      bool
	backlog     []Event
	neighbours  map[string]bool
	sessions    map[string]bool
	// highestHeld is the newest version that the node held in earlier incarnations.
	highestHeld release.Version
	startedAt   time.Time
	reports     []Report
	// applied holds the versions that the node activated in this incarnation, in order.
	applied []release.Version
	// seed and trace are the inputs needed to replay this incarnation.
	seed  uint64
	trace []timedEvent
}

func newNetwork(t testing.TB, cfg Config, vms []vmlist.VM, seed uint64) *network {
	n := &network{
		t: t, fixture: newFixture(), cfg: cfg, Clock: virtualtime.Clock{Now: epoch}, vms: vms,
		rng:         rand.New(rand.NewPCG(seed, 7)),
		nodes:       make(map[string]*node),
		partitioned: make(map[string]bool),
		releases:    make(map[release.Version]*testRelease),
	}
	list := vmlist.List{VMs: vms}
	data, err := list.Encode()
	if err != nil {
		t.Fatal(err)
	}
	n.source = platform{chunks: make(map[release.Digest][]byte), vmList: data, vmListRevision: 1}
	for _, vm := range vms {
		n.nodes[vm.ID] = &node{vm: vm}
		n.start(vm.ID)
	}
	return n
}

// start begins a new incarnation of a node, which knows only the seeds.
func (n *network) start(id string) {
	x := n.nodes[id]
	x.alive, x.paused, x.backlog = true, false, nil
	x.incarnation++
	x.startedAt = n.Now
	x.reports, x.applied = nil, nil
	x.sessions, x.neighbours = make(map[string]bool), make(map[string]bool)
	x.seed, x.trace = n.rng.Uint64(), nil
	x.machine = newMachine(n.t, n.fixture, n.cfg, x.vm, x.seed)
	n.scheduleTick(x, x.incarnation)
	n.deliver(x, x.incarnation, ViewChanged{VMs: n.vms[:min(seedCount, len(n.vms))]})
}

// maxToleratedLoss is the largest message loss rate at which a restarted node is expected
// to receive a reply from every running peer in time.
const maxToleratedLoss = 0.05

// seedCount is the number of VMs that each node knows from its settings.
const seedCount = 3

// kill stops a node, which loses all its state.
func (n *network) kill(id string) {
	x := n.nodes[id]
	if held := x.machine.Versions().Held; held.Newer(x.highestHeld) {
		x.highestHeld = held
	}
	x.alive = false
	for other := range x.sessions {
		n.closeSession(id, other)
	}
}

func (n *network) closeSession(a, b string) {
	for _, end := range [][2]string{{a, b}, {b, a}} {
		x := n.nodes[end[0]]
		if x.sessions[end[1]] {
			delete(x.sessions, end[1])
			n.deliver(x, x.incarnation, PeerDown{Peer: end[1]})
		}
	}
}

func (n *network) pause(id string) {
	n.nodes[id].paused = true
	n.disturbedAt = n.Now
}

// setPartitioned cuts a failure domain off from all others or heals the partition.
func (n *network) setPartitioned(domain string, partitioned bool) {
	n.partitioned[domain] = partitioned
	n.disturbedAt = n.Now
}

func (n *network) resume(id string) {
	x := n.nodes[id]
	x.paused = false
	n.disturbedAt = n.Now
	backlog := x.backlog
	x.backlog = nil
	for _, ev := range backlog {
		n.deliver(x, x.incarnation, ev)
	}
}

func (n *network) scheduleTick(x *node, incarnation int) {
	n.After(n.cfg.TickInterval, func() {
		if !x.alive || x.incarnation != incarnation {
			return
		}
		if !x.paused {
			n.updateSessions(x)
			n.step(x, Tick{})
		}
		n.scheduleTick(x, incarnation)
	})
}

// updateSessions closes sessions to unreachable peers and opens sessions to neighbours.
func (n *network) updateSessions(x *node) {
	for _, other := range slices.Sorted(maps.Keys(x.sessions)) {
		if !n.reachable(x, n.nodes[other]) {
			n.closeSession(x.vm.ID, other)
		}
	}
	for _, other := range slices.Sorted(maps.Keys(x.neighbours)) {
		y := n.nodes[other]
		if !x.sessions[other] && n.reachable(x, y) && !y.paused {
			x.sessions[other], y.sessions[x.vm.ID] = true, true
			n.deliver(x, x.incarnation, PeerUp{Peer: other})
			n.deliver(y, y.incarnation, PeerUp{Peer: x.vm.ID})
		}
	}
}

func (n *network) reachable(x, y *node) bool {
	return x.alive && y.alive && (x.vm.Domain == y.vm.Domain || !n.partitioned[x.vm.Domain] && !n.partitioned[y.vm.Domain])
}

// deliver passes an event to the given incarnation of a node. A paused node receives it
// when it resumes.
func (n *network) deliver(x *node, incarnation int, ev Event) {
	n.After(0, func() {
		switch {
		case !x.alive || x.incarnation != incarnation:
		case x.paused:
			x.backlog = append(x.backlog, ev)
		default:
			n.step(x, ev)
		}
	})
}

// send delivers an event from one node to another with a random delay, unless it is lost.
func (n *network) send(from, to *node, ev Event) {
	copies := 1
	if n.rng.Float64() < n.duplicates {
		copies = 2
	}
	incarnation := to.incarnation
	for range copies {
		if n.rng.Float64() < n.loss || !n.reachable(from, to) {
			continue
		}
		delay := time.Millisecond + time.Duration(n.rng.Int64N(int64(4*time.Millisecond)))
		if n.rng.IntN(20) == 0 {
			delay += time.Duration(n.rng.Int64N(int64(time.Second)))
		}
		n.After(delay, func() { n.deliver(to, incarnation, ev) })
	}
}

// requestPeer runs reply at the peer and sends the returned event back to x. Requests and
// replies can be lost.
func (n *network) requestPeer(x *node, peer string, reply func(y *node) Event) {
	y := n.nodes[peer]
	if !n.reachable(x, y) {
		n.deliver(x, x.incarnation, PeerUnreachable{Peer: peer})
		return
	}
	xIncarnation, yIncarnation := x.incarnation, y.incarnation
	if n.rng.Float64() < n.loss {
		return
	}
	n.After(2*time.Millisecond, func() {
		if y.alive && !y.paused && y.incarnation == yIncarnation && x.incarnation == xIncarnation {
			n.send(y, x, reply(y))
		}
	})
}

// step passes an event to the machine of a node, and checks and executes the actions.
func (n *network) step(x *node, ev Event) {
	before := x.machine.Versions().Held
	x.trace = append(x.trace, timedEvent{At: n.Now.Sub(epoch), Event: ev})
	actions := x.machine.Step(n.Now, ev)
	for _, a := range actions {
		n.checkInvariants(x, before, a)
		n.execute(x, a)
	}
}

func (n *network) execute(x *node, a Action) {
	switch a := a.(type) {
	case SetNeighbours:
		x.neighbours = make(map[string]bool)
		for _, vm := range a.VMs {
			x.neighbours[vm.ID] = true
		}
	case Announce:
		n.requestPeer(x, a.Peer, func(y *node) Event {
			n.deliver(y, y.incarnation, PeerVersions{Peer: x.vm.ID, Versions: a.Versions, Neighbour: true})
			return PeerVersions{Peer: a.Peer, Versions: y.machine.Versions()}
		})
	case Exchange:
		n.requestPeer(x, a.Peer, func(y *node) Event { return PeerVersions{Peer: a.Peer, Versions: y.machine.Versions()} })
	case FetchManifest:
		n.requestPeer(x, a.Peer, func(y *node) Event {
			reply := y.machine.Manifest(a.Wanted, a.Base)
			return ManifestReceived{Fetch: a.Fetch, Peer: a.Peer, Approved: reply.Approved, Delta: reply.Delta}
		})
	case FetchChunks:
		n.requestPeer(x, a.Peer, func(y *node) Event {
			ev := ChunksReceived{Fetch: a.Fetch, Peer: a.Peer}
			for _, d := range a.Digests {
				if data, found := y.machine.Chunk(d); found {
					ev.Chunks = append(ev.Chunks, data)
				}
			}
			return ev
		})
	case FetchVMList:
		n.requestPeer(x, a.Peer, func(y *node) Event {
			revision, data := y.machine.VMList()
			return VMListReceived{Fetch: a.Fetch, Peer: a.Peer, Revision: revision, Data: data}
		})
	case ReadSource:
		n.readSource(x, a)
	case Report:
		x.reports = append(x.reports, a)
	case Apply:
		x.applied = append(x.applied, a.Snapshot.Version)
	case ApplyVMList:
		n.deliver(x, x.incarnation, ViewChanged{VMs: a.List.VMs})
	}
}

// readSource starts a call to the platform. A watch waits until the revision differs or
// WatchWait has passed.
func (n *network) readSource(x *node, a ReadSource) {
	n.source.reads = append(n.source.reads, n.Now)
	n.respondToSourceCall(x, x.incarnation, a, n.Now.Add(n.cfg.WatchWait))
}

// respondToSourceCall delivers the response of the platform, or checks again after 20 ms
// if a watch has no change to report.
func (n *network) respondToSourceCall(x *node, incarnation int, a ReadSource, end time.Time) {
	n.After(2*time.Millisecond, func() {
		s := &n.source
		ev := SourceValue{Call: a.Call, Key: a.Key}
		switch a.Key {
		case release.CurrentKey:
			ev.Found, ev.Value, ev.Revision = s.value != nil, s.value, s.revision
		case release.VMListKey:
			ev.Found, ev.Value, ev.Revision = s.vmList != nil, s.vmList, s.vmListRevision
		default:
			ev.Value, ev.Found = s.chunk(a.Key)
		}
		switch {
		case s.down:
			n.deliver(x, incarnation, SourceFailed{Call: a.Call, Key: a.Key})
		case a.Wait && ev.Revision == a.After && n.Now.Before(end):
			n.After(20*time.Millisecond, func() { n.respondToSourceCall(x, incarnation, a, end) })
		case a.Wait && ev.Revision == a.After:
			n.deliver(x, incarnation, SourceValue{Call: a.Call, Key: a.Key, Unchanged: true})
		default:
			n.deliver(x, incarnation, ev)
		}
	})
}

func (p *platform) chunk(key string) ([]byte, bool) {
	for d, data := range p.chunks {
		if release.ChunkKey(d) == key {
			return data, true
		}
	}
	return nil, false
}

// publish makes b the current release at the source and stores its chunks there.
func (n *network) publish(b *testRelease) {
	n.releases[b.version] = b
	n.setSourceValue(b.value)
	maps.Copy(n.source.chunks, b.chunks)
}

func (n *network) setSourceValue(value []byte) {
	n.source.value = value
	n.source.revision++
}

func (n *network) addFailure(x *node, format string, args ...any) {
	n.failures = append(n.failures, fmt.Sprintf("%s %s: ", n.Now.Sub(epoch), x.vm.ID)+fmt.Sprintf(format, args...))
}

// checkInvariants records a failure if the action violates an invariant: an applied
// release is newer than the one before, complete, valid and published, and a restarted
// node does not fall back to an older release while a reachable peer holds its earlier
// one.
func (n *network) checkInvariants(x *node, before release.Version, a Action) {
	apply, ok := a.(Apply)
	if !ok {
		return
	}
	s := apply.Snapshot
	if !s.Version.Newer(before) {
		n.addFailure(x, "applied release %s, not newer than the held release %s", s.Version, before)
	}
	if before.IsZero() && x.highestHeld.Newer(s.Version) && n.reachablePeerHolds(x, x.highestHeld) {
		n.addFailure(x, "restarted with release %s although it held %s before and a reachable peer holds that", s.Version, x.highestHeld)
	}
	b := n.releases[s.Version]
	if b == nil {
		n.addFailure(x, "applied release %s, which was not published as a valid release", s.Version)
		return
	}
	if len(s.Services()) != len(b.services) {
		n.addFailure(x, "applied release is incomplete: %d of %d services", len(s.Services()), len(b.services))
	}
	for _, svc := range s.Services() {
		for _, r := range svc.Routes {
			if s.Service(r.Service) == nil {
				n.addFailure(x, "a route of service %s leads to missing service %s", svc.Name, r.Service)
			}
		}
	}
}

// reachablePeerHolds reports whether a peer that x has been able to reach since its start
// holds v or a newer version.
func (n *network) reachablePeerHolds(x *node, v release.Version) bool {
	if !n.disturbedAt.Before(x.startedAt) || n.loss > maxToleratedLoss {
		return false
	}
	for _, y := range n.nodes {
		if y.startedAt.Before(x.startedAt) && n.reachable(x, y) && !y.paused && !v.Newer(y.machine.Versions().Held) {
			return true
		}
	}
	return false
}

// hasReported reports whether the node emitted a report of this kind in its current
// incarnation.
func (x *node) hasReported(kind ReportKind) bool {
	return slices.ContainsFunc(x.reports, func(r Report) bool { return r.Kind == kind })
}

// waitConverged runs until all nodes serve v, for at most one minute of virtual time.
func (n *network) waitConverged(v release.Version) bool {
	for range 600 {
		if n.converged(v) {
			return true
		}
		n.Advance(100 * time.Millisecond)
	}
	return false
}

// newestHeld returns the newest version that a running node holds.
func (n *network) newestHeld() release.Version {
	var newest release.Version
	for _, x := range n.nodes {
		if v := x.machine.Versions().Held; x.alive && v.Newer(newest) {
			newest = v
		}
	}
	return newest
}

// converged reports whether all nodes serve v and hold the VM list of the platform.
func (n *network) converged(v release.Version) bool {
	for _, x := range n.nodes {
		s := x.machine.Status()
		if s.Versions.Held != v || s.Phase != PhaseServing || s.Versions.VMList != n.source.vmListRevision {
			return false
		}
	}
	return true
}

func (n *network) anyNodeReported(kind ReportKind) bool {
	for _, x := range n.nodes {
		if x.hasReported(kind) {
			return true
		}
	}
	return false
}
