// Package spread decides, for one node, from where it takes the changes of a key-value store,
// so that few nodes ask the store and every node that can reach it still applies each change
// in time. It does no I/O and knows no clock: package node/follow carries the decisions out.
//
// One node of the fleet, the root, watches the store. The others take its changes along a
// tree (Tree). With each message travels a bound on its age: the time since which the store may
// have changed without the sender knowing. A node whose copy gets too old first takes another
// parent, then asks random nodes, and at last reads the store itself, all before a change that
// it may have missed would be late. Which nodes do so is a matter of their own age only; no
// node needs to know who failed.
package spread

import (
	"math"
	"time"

	"auburnladder.example/core/vmlist"
)

// Config holds the limits of a Machine.
type Config struct {
	// Within is the time in which a change of the store must be applied at every node that
	// reaches it. Longer costs fewer calls of the store.
	Within time.Duration
	// Fanout is the largest number of children that a node has in its domain, and a head
	// among the other heads. More makes the tree flatter, so that changes arrive sooner, and
	// puts more copies of a change on the link of one VM.
	Fanout int
	// SuspectFor is how long a parent that failed is left out. It doubles with each further
	// failure up to SuspectMax. Shorter returns to the tree that all nodes share sooner;
	// longer avoids attempts at a node that stays away.
	SuspectFor time.Duration
	SuspectMax time.Duration
	// Jitter in [0, 1) spreads the nodes that read the store themselves over time.
	Jitter float64
}

// DefaultConfig returns the limits of a node in production, without Jitter.
func DefaultConfig() Config {
	return Config{Within: 2 * time.Second, Fanout: 6, SuspectFor: 4 * time.Second, SuspectMax: 30 * time.Second}
}

// Ages of a copy at which a node acts, as fractions of Config.Within. They grow with each step,
// so that a step only happens where the earlier one did not help, and leave the rest for a
// call of the store and for applying the change.
const (
	// watchShare is how long one watch of the root may wait, which is the largest age in a
	// fleet without faults.
	watchShare = 0.35
	// askShare is the age from which a node asks random nodes for a newer copy.
	askShare = 0.45
	// switchShare is the age from which a node takes another parent, and depthShare what is
	// added for each node above it: the upper nodes repair the tree for those below.
	switchShare = 0.5
	depthShare  = 0.04
	// attachShare is how long a new parent may take to send its first message.
	attachShare = 0.15
	// storeShare is the age from which a node reads the store itself, and jitterShare what
	// Jitter adds at most.
	storeShare  = 0.72
	jitterShare = 0.1
)

func (c *Config) share(s float64) time.Duration {
	return time.Duration(s * float64(c.Within))
}

// Machine holds what one node knows of the age of its copy and of its place in the fleet.
// Times are readings of a clock that also counts while the VM is suspended. It is not safe for
// concurrent use.
type Machine struct {
	cfg          Config
	self, domain string
	tree         *Tree
	suspects     map[string]suspicion
	// failing is set after a failed call of the store, until a call succeeds or, with a parent,
	// the copy is fresh again. A parent whose copy is old is then not at fault: the store may
	// be away for all.
	failing bool
	// relayed and read are the times as of which the copy is known to be complete, from
	// other nodes and from this node's own calls of the store.
	relayed, read time.Duration
	place         Place
	// placeUntil is when the place must be found again because a suspicion ends; 0 if it must
	// be found at once.
	placeUntil time.Duration
	// parentDue is when the parent counts as failed unless a message moves it.
	parentDue time.Duration
}

// suspicion is a node that is left out until a time. span is its length. stale is set if its
// copy was too old, and not its connection at fault.
type suspicion struct {
	until, span time.Duration
	stale       bool
}

// NewMachine returns the machine of the node of a VM that knows no other node and holds no
// copy at the time now.
func NewMachine(cfg Config, self, domain string, now time.Duration) *Machine {
	unknown := now - cfg.Within
	return &Machine{
		cfg: cfg, self: self, domain: domain, tree: NewTree(nil), suspects: make(map[string]suspicion),
		relayed: unknown, read: unknown,
	}
}

// SetVMs replaces the VM list.
func (m *Machine) SetVMs(vms []vmlist.VM) {
	m.tree = NewTree(vms)
	m.placeUntil = 0
}

// Age returns the time for which the store may have changed without this node knowing.
func (m *Machine) Age(now time.Duration) time.Duration {
	return now - max(m.relayed, m.read)
}

// WatchWait returns how long the next watch of the store may wait, 0 if the copy must be
// confirmed at once.
func (m *Machine) WatchWait(now time.Duration) time.Duration {
	return max(0, m.cfg.share(watchShare)-m.Age(now))
}

// Place returns the place of the node that the last Decide found.
func (m *Machine) Place() Place { return m.place }

// StoreRead records a response of the store that is complete as of the given time.
func (m *Machine) StoreRead(asOf time.Duration) {
	m.read = max(m.read, asOf)
	m.failing = false
}

// StoreFailed records a failed call of the store.
func (m *Machine) StoreFailed() {
	if m.failing {
		return
	}
	m.failing = true
	m.placeUntil = 0
	for id, s := range m.suspects {
		if s.stale {
			delete(m.suspects, id)
		}
	}
}

// Copied records a copy or a confirmation from another node, complete as of the given time.
func (m *Machine) Copied(asOf time.Duration) { m.relayed = max(m.relayed, asOf) }

// Sourced reports whether changes reach this node without it asking random nodes: it has a
// parent, or reads the store without failures. Other nodes must not depend on one that is not.
func (m *Machine) Sourced() bool { return m.place.Parent != nil || !m.failing }

// ParentHeard records a message of a parent that is complete as of the given time. sourced is
// what Sourced returned there.
func (m *Machine) ParentHeard(id string, asOf time.Duration, sourced bool) {
	m.Copied(asOf)
	if m.place.Parent == nil || m.place.Parent.ID != id {
		return
	}
	m.parentDue = asOf + m.switchAfter()
	if !sourced {
		m.parentDue = 0
	}
}

// ParentFailed records that the stream from a parent ended or could not be opened.
func (m *Machine) ParentFailed(now time.Duration, id string) {
	if m.place.Parent != nil && m.place.Parent.ID == id {
		m.suspect(now, id, false)
	}
}

func (m *Machine) suspect(now time.Duration, id string, stale bool) {
	span := m.cfg.SuspectFor
	if old, again := m.suspects[id]; again {
		span = min(2*old.span, m.cfg.SuspectMax)
	}
	m.placeUntil = 0
	m.suspects[id] = suspicion{until: now + span, span: span, stale: stale}
}

func (m *Machine) suspected(now time.Duration) func(id string) bool {
	return func(id string) bool {
		s, known := m.suspects[id]
		return known && now < s.until
	}
}

// switchAfter returns the age from which the parent counts as failed.
func (m *Machine) switchAfter() time.Duration {
	return m.cfg.share(switchShare + depthShare*float64(m.place.Depth))
}

// Decision is what a node does now.
type Decision struct {
	// Parent is the VM from whose node changes are taken; nil if there is none.
	Parent *vmlist.VM
	// ReadStore means that the node keeps a watch of the store.
	ReadStore bool
	// AskPeers means that the node asks random nodes for a newer copy now and then.
	AskPeers bool
	// Wake is the time until which the decision stays the same if nothing is recorded.
	Wake time.Duration
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// maxSwitches limits the parents that one call of Decide finds to be late.
const maxSwitches = 4

// Decide returns what the node does at the time now.
func (m *Machine) Decide(now time.Duration) Decision {
	if m.place.Parent != nil && m.Age(now) < m.cfg.share(askShare) {
		m.failing = false
	}
	m.forget(now)
	m.findPlace(now)
	for range maxSwitches {
		if m.place.Parent == nil || now < m.parentDue || m.failing {
			break
		}
		m.suspect(now, m.place.Parent.ID, true)
		m.findPlace(now)
	}
	askAt := max(m.relayed, m.read) + m.cfg.share(askShare)
	readAt := m.relayed + m.cfg.share(storeShare+jitterShare*m.cfg.Jitter)
	d := Decision{Parent: m.place.Parent, AskPeers: now >= askAt, ReadStore: m.place.Parent == nil || now >= readAt}
	d.Wake = now + m.cfg.Within
	for _, at := range []time.Duration{askAt, readAt, m.nextReturn(now)} {
		if at > now {
			d.Wake = min(d.Wake, at)
		}
	}
	if d.Parent != nil && !m.failing {
		d.Wake = min(d.Wake, m.parentDue)
	}
	return d
}

// findPlace sets the place of the node among those that are not suspected.
func (m *Machine) findPlace(now time.Duration) {
	if now < m.placeUntil {
		return
	}
	m.placeUntil = never
	if next := m.nextReturn(now); next > 0 {
		m.placeUntil = next
	}
	old := m.place.Parent
	m.place = m.tree.Place(m.self, m.domain, m.cfg.Fanout, m.suspected(now))
	if p := m.place.Parent; p != nil && (old == nil || old.ID != p.ID) {
		m.parentDue = now + m.cfg.share(attachShare)
	}
}

// forget drops suspicions that ended long ago, so that a later failure counts as the first.
func (m *Machine) forget(now time.Duration) {
	for id, s := range m.suspects {
		if now >= s.until+m.cfg.SuspectMax {
			delete(m.suspects, id)
		}
	}
}

// nextReturn returns when the next suspected node is no longer left out, 0 if there is none.
func (m *Machine) nextReturn(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, s := range m.suspects {
		if s.until > now && (next == 0 || s.until < next) {
			next = s.until
		}
	}
	return next
}
