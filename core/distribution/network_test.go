package distribution

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// network connects machines by links with delay, loss and duplicates, in virtual time.
type network struct {
	t       testing.TB
	fixture *fixture
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	queue   schedule
	serial  int
	vms     []vmlist.VM
	nodes   map[string]*node
	source  platform
	// loss and duplicates are probabilities for each message.
	loss       float64
	duplicates float64
	// cut holds failure domains that nobody outside reaches.
	cut      map[string]bool
	releases map[release.Version]*built
	// disturbed is the time of the last cut, heal, pause or resume.
	disturbed time.Time
	failures  []string
}

// platform is the source as the nodes see it.
type platform struct {
	down         bool
	value        []byte
	revision     uint64
	chunks       map[release.Digest][]byte
	list         []byte
	listRevision uint64
	// reads holds the time of each call.
	reads []time.Time
}

// node is one VM with the machine of its present life.
type node struct {
	vm         vmlist.VM
	machine    *Machine
	life       int
	alive      bool
	paused     bool
	backlog    []Event
	neighbours map[string]bool
	sessions   map[string]bool
	// floor is the newest version that the node held in earlier lives.
	floor   release.Version
	started time.Time
	reports []Report
	// served is the history of versions that the node put in force in this life.
	served []release.Version
	// seed and trace hold what is needed to replay this life.
	seed  uint64
	trace []traced
}

type scheduled struct {
	at     time.Time
	serial int
	run    func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].serial < s[j].serial
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func newNetwork(t testing.TB, cfg Config, vms []vmlist.VM, seed uint64) *network {
	n := &network{
		t: t, fixture: newFixture(), cfg: cfg, now: epoch, vms: vms,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		nodes:    make(map[string]*node),
		cut:      make(map[string]bool),
		releases: make(map[release.Version]*built),
	}
	list := vmlist.List{VMs: vms}
	data, err := list.Encode()
	if err != nil {
		t.Fatal(err)
	}
	n.source = platform{chunks: make(map[release.Digest][]byte), list: data, listRevision: 1}
	for _, vm := range vms {
		n.nodes[vm.ID] = &node{vm: vm}
		n.start(vm.ID)
	}
	return n
}

func (n *network) after(d time.Duration, run func()) {
	n.serial++
	heap.Push(&n.queue, scheduled{at: n.now.Add(d), serial: n.serial, run: run})
}

// run lets virtual time pass.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(scheduled)
		n.now = next.at
		next.run()
	}
	n.now = end
}

func (n *network) start(id string) {
	x := n.nodes[id]
	x.alive, x.paused, x.backlog = true, false, nil
	x.life++
	x.started = n.now
	x.reports, x.served = nil, nil
	x.sessions, x.neighbours = make(map[string]bool), make(map[string]bool)
	x.seed, x.trace = n.rng.Uint64(), nil
	x.machine = newMachine(n.t, n.fixture, n.cfg, x.vm, x.seed)
	n.tick(x, x.life)
	n.deliver(x, x.life, ViewChanged{VMs: n.vms[:min(seeds, len(n.vms))]})
}

// maxLoss is the share of lost messages up to which a restarted node is expected to
// hear every living peer in time.
const maxLoss = 0.05

// seeds is the number of VMs that each node knows from its settings.
const seeds = 3

func (n *network) kill(id string) {
	x := n.nodes[id]
	if held := x.machine.Versions().Held; held.Newer(x.floor) {
		x.floor = held
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
			n.deliver(x, x.life, PeerDown{Peer: end[1]})
		}
	}
}

func (n *network) pause(id string) {
	n.nodes[id].paused = true
	n.disturbed = n.now
}

// setCut separates or heals a failure domain.
func (n *network) setCut(domain string, cut bool) {
	n.cut[domain] = cut
	n.disturbed = n.now
}

func (n *network) resume(id string) {
	x := n.nodes[id]
	x.paused = false
	n.disturbed = n.now
	backlog := x.backlog
	x.backlog = nil
	for _, ev := range backlog {
		n.deliver(x, x.life, ev)
	}
}

func (n *network) tick(x *node, life int) {
	n.after(n.cfg.TickInterval, func() {
		if !x.alive || x.life != life {
			return
		}
		if !x.paused {
			n.reconnect(x)
			n.step(x, Tick{})
		}
		n.tick(x, life)
	})
}

// reconnect opens sessions to neighbours and closes silent ones.
func (n *network) reconnect(x *node) {
	for _, other := range slices.Sorted(maps.Keys(x.sessions)) {
		if !n.reachable(x, n.nodes[other]) {
			n.closeSession(x.vm.ID, other)
		}
	}
	for _, other := range slices.Sorted(maps.Keys(x.neighbours)) {
		y := n.nodes[other]
		if !x.sessions[other] && n.reachable(x, y) && !y.paused {
			x.sessions[other], y.sessions[x.vm.ID] = true, true
			n.deliver(x, x.life, PeerUp{Peer: other})
			n.deliver(y, y.life, PeerUp{Peer: x.vm.ID})
		}
	}
}

func (n *network) reachable(x, y *node) bool {
	return x.alive && y.alive && (x.vm.Domain == y.vm.Domain || !n.cut[x.vm.Domain] && !n.cut[y.vm.Domain])
}

// deliver hands an event to a node in its present life.
func (n *network) deliver(x *node, life int, ev Event) {
	n.after(0, func() {
		switch {
		case !x.alive || x.life != life:
		case x.paused:
			x.backlog = append(x.backlog, ev)
		default:
			n.step(x, ev)
		}
	})
}

// send delivers an event with delay, unless it is lost.
func (n *network) send(from, to *node, ev Event) {
	copies := 1
	if n.rng.Float64() < n.duplicates {
		copies = 2
	}
	life := to.life
	for range copies {
		if n.rng.Float64() < n.loss || !n.reachable(from, to) {
			continue
		}
		delay := time.Millisecond + time.Duration(n.rng.Int64N(int64(4*time.Millisecond)))
		if n.rng.IntN(20) == 0 {
			delay += time.Duration(n.rng.Int64N(int64(time.Second)))
		}
		n.after(delay, func() { n.deliver(to, life, ev) })
	}
}

// ask runs answer at the peer and returns its event to the node that asked.
func (n *network) ask(x *node, peer string, answer func(y *node) Event) {
	y := n.nodes[peer]
	if !n.reachable(x, y) {
		n.deliver(x, x.life, PeerUnreachable{Peer: peer})
		return
	}
	life, yLife := x.life, y.life
	if n.rng.Float64() < n.loss {
		return
	}
	n.after(2*time.Millisecond, func() {
		if y.alive && !y.paused && y.life == yLife && x.life == life {
			n.send(y, x, answer(y))
		}
	})
}

func (n *network) step(x *node, ev Event) {
	before := x.machine.Versions().Held
	x.trace = append(x.trace, traced{At: n.now.Sub(epoch), Event: ev})
	actions := x.machine.Step(n.now, ev)
	for _, a := range actions {
		n.check(x, before, a)
		n.act(x, a)
	}
}

func (n *network) act(x *node, a Action) {
	switch a := a.(type) {
	case SetNeighbours:
		x.neighbours = make(map[string]bool)
		for _, vm := range a.VMs {
			x.neighbours[vm.ID] = true
		}
	case Announce:
		n.ask(x, a.Peer, func(y *node) Event {
			n.deliver(y, y.life, PeerVersions{Peer: x.vm.ID, Versions: a.Versions, Neighbour: true})
			return PeerVersions{Peer: a.Peer, Versions: y.machine.Versions()}
		})
	case Exchange:
		n.ask(x, a.Peer, func(y *node) Event { return PeerVersions{Peer: a.Peer, Versions: y.machine.Versions()} })
	case FetchManifest:
		n.ask(x, a.Peer, func(y *node) Event {
			answer := y.machine.Manifest(a.Wanted, a.Base)
			return ManifestReceived{Fetch: a.Fetch, Peer: a.Peer, Approved: answer.Approved, Delta: answer.Delta}
		})
	case FetchChunks:
		n.ask(x, a.Peer, func(y *node) Event {
			ev := ChunksReceived{Fetch: a.Fetch, Peer: a.Peer}
			for _, d := range a.Digests {
				if data, found := y.machine.Chunk(d); found {
					ev.Chunks = append(ev.Chunks, data)
				}
			}
			return ev
		})
	case FetchVMList:
		n.ask(x, a.Peer, func(y *node) Event {
			revision, data := y.machine.VMList()
			return VMListReceived{Fetch: a.Fetch, Peer: a.Peer, Revision: revision, Data: data}
		})
	case ReadSource:
		n.readSource(x, a)
	case Report:
		x.reports = append(x.reports, a)
	case Apply:
		x.served = append(x.served, a.Snapshot.Version)
	case ApplyVMList:
		n.deliver(x, x.life, ViewChanged{VMs: a.List.VMs})
	}
}

// readSource answers like the platform: a watch waits until the revision differs.
func (n *network) readSource(x *node, a ReadSource) {
	n.source.reads = append(n.source.reads, n.now)
	n.watch(x, x.life, a, n.now.Add(n.cfg.WatchWait))
}

func (n *network) watch(x *node, life int, a ReadSource, end time.Time) {
	n.after(2*time.Millisecond, func() {
		s := &n.source
		ev := SourceValue{Call: a.Call, Key: a.Key}
		switch a.Key {
		case release.CurrentKey:
			ev.Found, ev.Value, ev.Revision = s.value != nil, s.value, s.revision
		case release.VMListKey:
			ev.Found, ev.Value, ev.Revision = s.list != nil, s.list, s.listRevision
		default:
			ev.Value, ev.Found = s.chunk(a.Key)
		}
		switch {
		case s.down:
			n.deliver(x, life, SourceFailed{Call: a.Call, Key: a.Key})
		case a.Wait && ev.Revision == a.After && n.now.Before(end):
			n.after(20*time.Millisecond, func() { n.watch(x, life, a, end) })
		case a.Wait && ev.Revision == a.After:
			n.deliver(x, life, SourceValue{Call: a.Call, Key: a.Key, Unchanged: true})
		default:
			n.deliver(x, life, ev)
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

// publish makes b the current release at the source, with its chunks.
func (n *network) publish(b *built) {
	n.releases[b.version] = b
	n.setSource(b.value)
	maps.Copy(n.source.chunks, b.chunks)
}

func (n *network) setSource(value []byte) {
	n.source.value = value
	n.source.revision++
}

func (n *network) fail(x *node, format string, args ...any) {
	n.failures = append(n.failures, fmt.Sprintf("%s %s: ", n.now.Sub(epoch), x.vm.ID)+fmt.Sprintf(format, args...))
}

// check states what must hold for every action.
func (n *network) check(x *node, before release.Version, a Action) {
	apply, ok := a.(Apply)
	if !ok {
		return
	}
	s := apply.Snapshot
	if !s.Version.Newer(before) {
		n.fail(x, "applied %s after %s", s.Version, before)
	}
	if before.IsZero() && x.floor.Newer(s.Version) && n.peerHolds(x, x.floor) {
		n.fail(x, "restarted with %s, held %s before and a peer holds it", s.Version, x.floor)
	}
	b := n.releases[s.Version]
	if b == nil {
		n.fail(x, "applied %s, which was never published as valid", s.Version)
		return
	}
	if len(s.Services()) != len(b.services) {
		n.fail(x, "applied %d services of %d", len(s.Services()), len(b.services))
	}
	for _, svc := range s.Services() {
		for _, r := range svc.Routes {
			if s.Service(r.Service) == nil {
				n.fail(x, "route of %s leads to missing service %s", svc.Name, r.Service)
			}
		}
	}
}

// peerHolds reports whether a peer that x could reach since its start holds v.
func (n *network) peerHolds(x *node, v release.Version) bool {
	if !n.disturbed.Before(x.started) || n.loss > maxLoss {
		return false
	}
	for _, y := range n.nodes {
		if y.started.Before(x.started) && n.reachable(x, y) && !y.paused && !v.Newer(y.machine.Versions().Held) {
			return true
		}
	}
	return false
}

// reported reports whether the node emitted a report of this kind in this life.
func (x *node) reported(kind ReportKind) bool {
	return slices.ContainsFunc(x.reports, func(r Report) bool { return r.Kind == kind })
}

// settle runs until all nodes serve v, at most for a minute.
func (n *network) settle(v release.Version) bool {
	for range 600 {
		if n.converged(v) {
			return true
		}
		n.run(100 * time.Millisecond)
	}
	return false
}

// newest returns the newest version that a living node holds.
func (n *network) newest() release.Version {
	var newest release.Version
	for _, x := range n.nodes {
		if v := x.machine.Versions().Held; x.alive && v.Newer(newest) {
			newest = v
		}
	}
	return newest
}

// converged reports whether all nodes serve v and hold the platform's VM list.
func (n *network) converged(v release.Version) bool {
	for _, x := range n.nodes {
		s := x.machine.Status()
		if s.Versions.Held != v || s.Phase != PhaseServing || s.Versions.VMList != n.source.listRevision {
			return false
		}
	}
	return true
}

func (n *network) anyReported(kind ReportKind) bool {
	for _, x := range n.nodes {
		if x.reported(kind) {
			return true
		}
	}
	return false
}
