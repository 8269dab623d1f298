package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"auburnladder.example/core/vmlist"
)

// socketBuffer is the number of datagrams buffered for a paused process.
const socketBuffer = 64

// testNode is one machine with the state that its driver keeps.
type testNode struct {
	id       string
	addr     netip.AddrPort
	machine  *Machine
	running  bool
	paused   bool
	buffered []Received
	view     *View
	resyncs  int
	sent     int
	// seen holds the states in which each VM was ever published by this node.
	seen map[string]map[State]bool
}

// datagram is a message in transit, due at the time at.
type datagram struct {
	at      time.Time
	to      *testNode
	message Message
	source  netip.AddrPort
}

// network simulates datagrams between machines in virtual time.
type network struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	nodes []*testNode
	addrs map[netip.AddrPort]*testNode
	queue []datagram
	// blocked reports whether datagrams from one VM to another are dropped.
	blocked func(from, to string) bool
	// loss is the probability that a datagram is dropped, and that one is duplicated.
	loss float64
	// violation is the last invariant violation.
	violation error
}

func vmID(i int) string {
	return fmt.Sprintf("vm-%04d", i)
}

func testList(revision uint64, n int) *vmlist.List {
	l := &vmlist.List{Revision: revision}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7400)
		l.VMs = append(l.VMs, vmlist.VM{
			ID:      vmID(i),
			Service: fmt.Sprintf("service-%d", i%3),
			Domain:  fmt.Sprintf("domain-%d", i%3),
			Peer:    addr,
		})
	}
	return l
}

func newNetwork(cfg Config, seed uint64, n int) *network {
	net := &network{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		addrs:   make(map[netip.AddrPort]*testNode),
		blocked: func(string, string) bool { return false },
	}
	list := testList(1, n)
	for i, vm := range list.VMs {
		net.add(vm)
		net.start(i, 0)
		net.step(net.nodes[i], ListPublished{List: list})
	}
	return net
}

func (n *network) add(vm vmlist.VM) {
	node := &testNode{id: vm.ID, addr: vm.Peer}
	n.nodes = append(n.nodes, node)
	n.addrs[vm.Peer] = node
}

// start starts or restarts a node with empty state.
func (n *network) start(i int, incarnation uint64) {
	node := n.nodes[i]
	id := Identity{VM: node.id, Incarnation: incarnation}
	rng := rand.New(rand.NewPCG(n.rng.Uint64(), 2))
	*node = testNode{id: node.id, addr: node.addr, running: true, view: EmptyView(), seen: make(map[string]map[State]bool)}
	node.machine = New(id, n.cfg, rng)
}

func (n *network) pause(i int) {
	n.nodes[i].paused = true
}

func (n *network) resume(i int) {
	node := n.nodes[i]
	node.paused = false
	buffered := node.buffered
	node.buffered = nil
	for _, ev := range buffered {
		n.step(node, ev)
	}
}

// run advances virtual time by d.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(n.cfg.TickInterval)
		n.deliver()
		for _, node := range n.nodes {
			if node.running && !node.paused {
				n.step(node, Tick{})
			}
		}
	}
}

// runUntil runs until cond holds, for at most limit, and reports whether it holds.
func (n *network) runUntil(limit time.Duration, cond func() bool) bool {
	for end := n.now.Add(limit); n.now.Before(end) && !cond(); {
		n.run(n.cfg.TickInterval)
	}
	return cond()
}

func (n *network) deliver() {
	slices.SortStableFunc(n.queue, func(a, b datagram) int { return a.at.Compare(b.at) })
	due := 0
	for due < len(n.queue) && !n.queue[due].at.After(n.now) {
		due++
	}
	batch := slices.Clone(n.queue[:due])
	n.queue = n.queue[due:]
	for _, d := range batch {
		n.receive(d)
	}
}

func (n *network) receive(d datagram) {
	node := d.to
	ev := Received{Message: d.message, Source: d.source}
	switch {
	case !node.running:
	case node.paused && len(node.buffered) < socketBuffer:
		node.buffered = append(node.buffered, ev)
	case !node.paused:
		n.step(node, ev)
	}
}

func (n *network) step(node *testNode, ev Event) {
	for _, action := range node.machine.Step(n.now, ev) {
		switch a := action.(type) {
		case Send:
			n.send(node, a)
		case Publish:
			n.observe(node, a.View)
		case Resync:
			node.resyncs++
		}
	}
}

func (n *network) send(node *testNode, s Send) {
	node.sent++
	if size := totalSize(s.Message.Updates); size > n.cfg.MaxUpdateBytes {
		n.violation = fmt.Errorf("%s sent %d bytes of updates, more than the maximum", node.id, size)
	}
	to := n.addrs[s.To]
	if n.blocked(node.id, to.id) || n.rng.Float64() < n.loss {
		return
	}
	latency := time.Duration(n.rng.Int64N(int64(40 * time.Millisecond)))
	d := datagram{at: n.now.Add(latency), to: to, message: s.Message, source: node.addr}
	n.queue = append(n.queue, d)
	if n.rng.Float64() < n.loss { // duplicated and delayed
		d.at = n.now.Add(50 * latency)
		n.queue = append(n.queue, d)
	}
}

// observe stores a view of a node and checks the invariants between it and the previous one.
func (n *network) observe(node *testNode, v *View) {
	for m := range v.Members() {
		old, found := node.view.Get(m.VM.ID)
		if found && m.Incarnation < old.Incarnation {
			n.violation = fmt.Errorf("%s: incarnation of %s decreased from %d to %d", node.id, m.VM.ID, old.Incarnation, m.Incarnation)
		}
		same := found && m.Incarnation == old.Incarnation
		if same && old.State == Leaving && (m.State == Alive || m.State == Suspect) {
			n.violation = fmt.Errorf("%s: %s changed from leaving to %s at the same incarnation", node.id, m.VM.ID, m.State)
		}
		if node.seen[m.VM.ID] == nil {
			node.seen[m.VM.ID] = make(map[State]bool)
		}
		node.seen[m.VM.ID][m.State] = true
	}
	node.view = v
}

// allSee reports whether every running node that is not paused sees vm in state want.
func (n *network) allSee(vm string, want State) bool {
	for _, node := range n.nodes {
		if !node.running || node.paused {
			continue
		}
		if m, found := node.view.Get(vm); !found || m.State != want {
			return false
		}
	}
	return true
}

// vmsEverIn returns the VMs that any node ever published in the given state, sorted.
func (n *network) vmsEverIn(s State) []string {
	var out []string
	for _, node := range n.nodes {
		for vm, states := range node.seen {
			if states[s] && !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	slices.Sort(out)
	return out
}
