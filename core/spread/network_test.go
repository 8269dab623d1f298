package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"auburnladder.example/core/vmlist"
)

const (
	testLatency  = 2 * time.Millisecond
	storeLatency = 4 * time.Millisecond
	callTimeout  = 700 * time.Millisecond
	askInterval  = 250 * time.Millisecond
	retryWait    = 500 * time.Millisecond
	streamWait   = time.Second
)

// network runs the machines of a fleet and a store in virtual time.
type network struct {
	cfg    Config
	rnd    *rand.Rand
	now    time.Duration
	events eventQueue
	nodes  []*simNode
	byID   map[string]*simNode
	vms    []vmlist.VM
	// revision is the store's revision, and down says that no call gets an answer.
	revision uint64
	down     bool
	// unstableUntil is the end of the time in which the bounds do not hold because of the
	// store.
	unstableUntil time.Duration
	// changed holds the watches that wait for a change.
	waiting []func()
	calls   int
	// late describes the first broken bound.
	late string
}

// simNode is one node. Its generation changes when it is killed, so that what was under way
// for the former process is dropped.
type simNode struct {
	network    *network
	vm         vmlist.VM
	machine    *Machine
	generation int
	alive      bool
	frozen     bool
	cutStore   bool
	cutPeers   bool
	// calmSince is when the node was last in trouble.
	calmSince time.Duration
	revision  uint64
	parent    string
	stream    int
	// timer is the number of the latest wake-up; earlier ones are overtaken.
	timer    int
	children map[*simNode]int
	calling  bool
	asking   bool
	// missed are events that wait until the process is no longer frozen.
	missed []func()
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newNetwork(nodes, domains int, seed uint64) *network {
	n := &network{cfg: DefaultConfig(), rnd: rand.New(rand.NewPCG(seed, 0)), byID: make(map[string]*simNode), revision: 1}
	for i := range nodes {
		vm := vmlist.VM{ID: fmt.Sprintf("10.0.%d.%d", i/250, i%250), Domain: fmt.Sprintf("d%d", i%domains)}
		n.vms = append(n.vms, vm)
		s := &simNode{network: n, vm: vm}
		n.nodes = append(n.nodes, s)
		n.byID[vm.ID] = s
	}
	for _, s := range n.nodes {
		s.start()
	}
	return n
}

func (n *network) after(d time.Duration, do func()) {
	heap.Push(&n.events, event{at: n.now + d, do: do})
}

// run advances the time by d.
func (n *network) run(d time.Duration) {
	end := n.now + d
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.do()
	}
	n.now = end
}

// change writes to the store and checks later that every node in touch has the change.
func (n *network) change() {
	n.revision++
	revision, at := n.revision, n.now
	waiting := n.waiting
	n.waiting = nil
	for _, wake := range waiting {
		wake()
	}
	if n.now < n.unstableUntil {
		return
	}
	n.after(n.cfg.Within, func() { n.check(revision, at) })
}

// calmSpan is how long a node must be without trouble for the bounds to hold.
const calmSpan = 3 * time.Second

func (n *network) check(revision uint64, at time.Duration) {
	if at < n.unstableUntil || n.down {
		return
	}
	for _, s := range n.nodes {
		inTouch := s.alive && !s.frozen && !s.cutStore && s.calmSince+calmSpan <= at
		if inTouch && s.revision < revision && n.late == "" {
			n.late = fmt.Sprintf("at %s node %s has revision %d, revision %d is %s old; age %s, parent %q, depth %d",
				n.now, s.vm.ID, s.revision, revision, n.now-at, s.machine.Age(n.now), s.parent, s.machine.Place().Depth)
		}
	}
}

// freshNodes returns how many nodes have the newest revision.
func (n *network) freshNodes() int {
	count := 0
	for _, s := range n.nodes {
		if s.revision == n.revision {
			count++
		}
	}
	return count
}

// start starts the process of a node, which holds nothing.
func (s *simNode) start() {
	s.generation++
	s.alive, s.frozen = true, false
	s.revision, s.parent = 0, ""
	s.children = make(map[*simNode]int)
	s.calling, s.asking, s.missed = false, false, nil
	s.calmSince = s.network.now
	cfg := s.network.cfg
	cfg.Jitter = s.network.rnd.Float64()
	s.machine = NewMachine(cfg, s.vm.ID, s.vm.Domain, s.network.now)
	s.network.after(time.Duration(s.network.rnd.IntN(300))*time.Millisecond, s.guard(s.decide))
}

// guard returns do for the present process: it waits while the process is frozen, and is
// dropped if the process was killed.
func (s *simNode) guard(do func()) func() {
	generation := s.generation
	return func() {
		switch {
		case !s.alive || generation != s.generation:
		case s.frozen:
			s.missed = append(s.missed, do)
		default:
			do()
		}
	}
}

// kill ends the process; it starts again later.
func (s *simNode) kill(restart time.Duration) {
	if !s.alive {
		return
	}
	s.alive = false
	for child, stream := range s.children {
		s.network.after(testLatency, child.guard(func() { child.streamEnded(s.vm.ID, stream) }))
	}
	s.network.after(restart, s.start)
}

// freeze stops the process for a time.
func (s *simNode) freeze(d time.Duration) {
	if !s.alive || s.frozen {
		return
	}
	s.frozen = true
	s.calmSince = s.network.now + d
	s.network.after(d, func() {
		s.frozen = false
		missed := s.missed
		s.missed = nil
		for _, do := range missed {
			s.guard(do)()
		}
	})
}

// cut cuts the node from the store or from all other nodes for a time.
func (s *simNode) cut(flag *bool, d time.Duration) {
	*flag = true
	if flag == &s.cutStore {
		s.calmSince = s.network.now + d
	}
	s.network.after(d, func() { *flag = false })
}

// decide carries out what the machine decides.
func (s *simNode) decide() {
	d := s.machine.Decide(s.network.now)
	next := ""
	if d.Parent != nil {
		next = d.Parent.ID
	}
	if next != s.parent {
		s.follow(next)
	}
	if d.ReadStore && !s.calling {
		s.call()
	}
	if d.AskPeers && !s.asking {
		s.ask()
	}
	s.timer++
	timer := s.timer
	s.network.after(max(d.Wake-s.network.now, time.Millisecond), s.guard(func() {
		if s.timer == timer {
			s.decide()
		}
	}))
}

// follow opens a stream to another parent.
func (s *simNode) follow(id string) {
	if old := s.network.byID[s.parent]; old != nil {
		delete(old.children, s)
	}
	s.parent = id
	s.stream++
	if id == "" {
		return
	}
	stream, parent := s.stream, s.network.byID[id]
	s.network.after(2*testLatency, s.guard(func() { s.opened(parent, stream) }))
}

func (s *simNode) opened(parent *simNode, stream int) {
	switch {
	case s.stream != stream:
	case !parent.alive:
		s.streamEnded(parent.vm.ID, stream)
	case parent.cutPeers || s.cutPeers || parent.frozen:
		s.network.after(streamWait, s.guard(func() { s.streamEnded(parent.vm.ID, stream) }))
	default:
		parent.children[s] = stream
		parent.send(s, stream)
	}
}

func (s *simNode) streamEnded(parent string, stream int) {
	if s.stream != stream {
		return
	}
	s.machine.ParentFailed(s.network.now, parent)
	s.decide()
}

// send sends the state of this node's copy to a child.
func (s *simNode) send(child *simNode, stream int) {
	if s.cutPeers || child.cutPeers || !s.alive || s.frozen || s.revision == 0 {
		return
	}
	revision, asOf, sourced := s.revision, s.network.now-s.machine.Age(s.network.now), s.machine.Sourced()
	s.network.after(testLatency, child.guard(func() {
		if child.stream != stream {
			return
		}
		child.take(revision)
		child.machine.ParentHeard(s.vm.ID, asOf, sourced)
		child.renewed()
	}))
}

// take raises the revision that the node holds; a copy never goes back.
func (s *simNode) take(revision uint64) {
	if revision <= s.revision {
		return
	}
	if s.revision == 0 {
		s.machine.SetVMs(s.network.vms)
	}
	s.revision = revision
}

// renewed passes the state of the copy on.
func (s *simNode) renewed() {
	s.decide()
	for child, stream := range s.children {
		s.send(child, stream)
	}
}

// call watches the store once.
func (s *simNode) call() {
	n := s.network
	s.calling = true
	n.calls++
	if n.down || s.cutStore {
		n.after(callTimeout, s.guard(s.callFailed))
		return
	}
	began, wait := n.now, s.machine.WatchWait(n.now)
	if s.revision < n.revision {
		wait = 0
	}
	answered := false
	answer := func(asOf time.Duration) {
		if answered {
			return
		}
		answered = true
		revision := n.revision
		n.after(storeLatency, s.guard(func() { s.called(revision, asOf) }))
	}
	n.after(storeLatency+wait, func() { answer(began + wait) })
	if wait > 0 {
		n.waiting = append(n.waiting, func() { answer(began) })
	}
}

func (s *simNode) called(revision uint64, asOf time.Duration) {
	s.calling = false
	if s.cutStore {
		s.callFailed()
		return
	}
	s.take(revision)
	s.machine.StoreRead(asOf)
	s.renewed()
}

func (s *simNode) callFailed() {
	s.machine.StoreFailed()
	s.calling = true
	s.network.after(retryWait, s.guard(func() {
		s.calling = false
		s.decide()
	}))
	s.decide()
}

// ask asks two random nodes.
func (s *simNode) ask() {
	s.asking = true
	n := s.network
	for range 2 {
		peer := n.nodes[n.rnd.IntN(len(n.nodes))]
		asked := n.now
		if peer == s || s.cutPeers || peer.cutPeers || !peer.alive || peer.frozen || peer.revision == 0 {
			continue
		}
		revision, age := peer.revision, peer.machine.Age(n.now)
		n.after(2*testLatency, s.guard(func() {
			s.take(revision)
			s.machine.Copied(asked - age)
			s.renewed()
		}))
	}
	n.after(askInterval, s.guard(func() {
		s.asking = false
		s.decide()
	}))
}
