package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"auburnladder.example/core/vmlist"
)

// maxUnlisted bounds the records kept of VMs that the published list does not name.
const maxUnlisted = 1024

// Identity is what the machine must know of its own node.
type Identity struct {
	VM string
	// Incarnation should be higher than in earlier lives of the process, e.g. the
	// time of its start in milliseconds. If it is not, the node finds out from its
	// peers and raises it.
	Incarnation uint64
}

// Machine is the failure detector of one node. It is used from one goroutine.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	self string
	own  record

	layout *layout
	// members holds all listed VMs but the own one.
	members map[string]*member
	// unlisted holds records of VMs that the list does not name yet.
	unlisted map[string]record
	// rotation is the order of probing.
	rotation     []string
	rotationNext int

	probe         *probe
	sequence      uint64
	nextProbe     time.Time
	nextDeadProbe time.Time
	recoverUntil  time.Time
	relays        map[uint64]relay
	suspicions    []suspicion
	asks          int
	asksReset     time.Time
	awareness     int
	queue         broadcastQueue

	lastStep   time.Time
	generation uint64
	changed    bool
	actions    []Action
}

// New returns a machine that knows no other VM. cfg must be valid.
func New(id Identity, cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:      cfg,
		rng:      rng,
		self:     id.VM,
		own:      record{incarnation: id.Incarnation},
		layout:   newLayout(&vmlist.List{}),
		members:  make(map[string]*member),
		unlisted: make(map[string]record),
		relays:   make(map[uint64]relay),
	}
}

// Step handles one event. The times of successive calls must not go back.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.checkPause(now)
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.applyAll(now, ev.Message.Updates)
		m.compareOwn(ev.Message)
		m.receive(now, ev)
	case ListPublished:
		m.replaceList(now, ev.List)
	case SelfLeaving:
		m.setLeaving(ev.Leaving)
	}
	return m.actions
}

func (m *Machine) tick(now time.Time) {
	m.expireRelays(now)
	m.expireSuspicions(now)
	m.askSuspects(now)
	m.advanceProbe(now)
	m.probeDead(now)
	if m.changed {
		m.changed = false
		m.actions = append(m.actions, Publish{View: m.view()})
	}
}

// checkPause notices that the process did not run for a while. Silence of others
// during that time says nothing about them, and news from before it are old.
func (m *Machine) checkPause(now time.Time) {
	last := m.lastStep
	m.lastStep = now
	if last.IsZero() || now.Sub(last) <= m.cfg.PauseBound {
		return
	}
	m.probe = nil
	m.nextProbe = now
	m.queue.clear()
	m.forgetSuspicions()
	m.recoverUntil = now.Add(m.cfg.RecoveryPeriod)
	m.nextDeadProbe = now
	m.actions = append(m.actions, Resync{Gap: now.Sub(last)})
}

func (m *Machine) setLeaving(leaving bool) {
	if m.own.leaving == leaving {
		return
	}
	m.own.leaving = leaving
	if !leaving {
		m.own.incarnation++
	}
	m.changed = true
	m.announceSelf(m.cfg.LeavingFanout)
}

// announceSelf tells up to n random members this node's own record.
func (m *Machine) announceSelf(n int) {
	for _, vm := range m.randomMembers(n, m.self) {
		m.sendTo(vm, Message{Kind: Ack, Target: m.self})
	}
}

func (m *Machine) applyAll(now time.Time, updates []Update) {
	for _, u := range updates {
		if u.valid() {
			m.apply(now, u, hearsay)
		}
	}
}

// compareOwn notes whether the sender says of itself less than is known of it. It may
// have been restarted, or not know yet that it is suspected.
func (m *Machine) compareOwn(msg Message) {
	sender, found := m.members[msg.From]
	if !found {
		return
	}
	var said record
	for _, u := range msg.Updates {
		if u.VM == msg.From {
			said = said.merge(recordOf(u))
		}
	}
	sender.outdated = said != sender.record
}

// apply merges one statement into what is known and makes it news if it changed that.
//
// Word that a member is dead only makes it suspect: the sender may have been cut off
// alone and take everyone else for dead. Each node waits for the refutation itself.
func (m *Machine) apply(now time.Time, u Update, e evidence) {
	if u.VM == m.self {
		m.refute(u)
		return
	}
	if e == hearsay && u.State == Dead {
		u.State = Suspect
		e = wordOfDeath
	}
	r, found := m.members[u.VM]
	if !found {
		m.applyUnlisted(u)
		return
	}
	old := r.record
	r.record = old.merge(recordOf(u))
	if r.record != old {
		m.recordChanged(now, u.VM, old, e)
	} else if e == wordOfDeath && r.incarnation == u.Incarnation {
		m.hastenSuspicion(u.VM)
	}
}

// recordChanged draws the conclusions from a member's new record.
func (m *Machine) recordChanged(now time.Time, vm string, old record, e evidence) {
	r := m.members[vm]
	m.changed = true
	m.queue.add(vm)
	if r.health == Suspect && (old.health != Suspect || old.incarnation != r.incarnation) {
		m.startSuspicion(now, vm, r.incarnation, e)
	}
	if old.health == Dead && r.health != Dead {
		m.recoverUntil = now.Add(m.cfg.RecoveryPeriod)
	}
}

// refute answers a statement about this very node that is not what the node itself
// says, with a higher incarnation.
func (m *Machine) refute(u Update) {
	if m.own.merge(recordOf(u)) == m.own {
		return
	}
	m.own.incarnation = u.Incarnation + 1
	m.awareness = min(m.awareness+1, m.cfg.MaxAwareness)
	m.changed = true
	m.announceSelf(m.cfg.RefutationFanout)
}

func (m *Machine) applyUnlisted(u Update) {
	old, found := m.unlisted[u.VM]
	if !found && len(m.unlisted) >= maxUnlisted {
		return
	}
	m.unlisted[u.VM] = old.merge(recordOf(u))
}

// replaceList takes over a newer published list and ignores an older one.
func (m *Machine) replaceList(now time.Time, list *vmlist.List) {
	if list.Revision <= m.layout.revision {
		return
	}
	m.layout = newLayout(list)
	previous := m.members
	m.members = make(map[string]*member, len(list.VMs))
	for _, vm := range m.layout.vms {
		if vm.ID != m.self {
			m.admit(now, vm.ID, previous[vm.ID])
		}
	}
	// What is still not listed was removed, or will speak for itself once it is.
	clear(m.unlisted)
	m.rotation = slices.DeleteFunc(m.rotation, func(vm string) bool { return m.members[vm] == nil })
	m.rotationNext = min(m.rotationNext, len(m.rotation))
	m.changed = true
}

// admit makes a listed VM a member, with what is known of it already.
func (m *Machine) admit(now time.Time, vm string, known *member) {
	if known != nil {
		m.members[vm] = known
		return
	}
	r := m.unlisted[vm]
	delete(m.unlisted, vm)
	m.members[vm] = &member{record: r}
	if r.health == Suspect {
		m.startSuspicion(now, vm, r.incarnation, hearsay)
	}
	at := m.rotationNext + m.rng.IntN(len(m.rotation)-m.rotationNext+1)
	m.rotation = slices.Insert(m.rotation, at, vm)
}

// sendTo sends to a listed member.
func (m *Machine) sendTo(vm string, msg Message) {
	i, found := m.layout.byID[vm]
	if !found {
		return
	}
	m.send(vm, m.layout.vms[i].Peer, msg)
}

// replyTo sends to a member at its listed address, or to the source of an unlisted VM.
func (m *Machine) replyTo(vm string, source netip.AddrPort, msg Message) {
	if _, found := m.layout.byID[vm]; found {
		m.sendTo(vm, msg)
		return
	}
	m.send(vm, source, msg)
}

// send adds this node's own record, what it believes of the receiver if that may be
// news to it, and as much other news as fits.
func (m *Machine) send(vm string, to netip.AddrPort, msg Message) {
	msg.From = m.self
	msg.Updates = m.own.updates(m.self)
	if r, found := m.members[vm]; found && (r.outdated || r.health != Alive) {
		msg.Updates = append(msg.Updates, r.updates(vm)...)
	}
	budget := m.cfg.MaxUpdateBytes - totalSize(msg.Updates)
	limit := m.cfg.retransmitLimit(len(m.members) + 1)
	msg.Updates = append(msg.Updates, m.queue.take(budget, limit, m.newsOf)...)
	m.actions = append(m.actions, Send{To: to, Message: msg})
}

// newsOf returns the record of a member for the queue.
func (m *Machine) newsOf(vm string) []Update {
	r, found := m.members[vm]
	if !found {
		return nil
	}
	return r.updates(vm)
}

func (m *Machine) view() *View {
	m.generation++
	v := &View{
		Generation:   m.generation,
		ListRevision: m.layout.revision,
		layout:       m.layout,
		members:      make([]Member, len(m.layout.vms)),
	}
	for i := range m.layout.vms {
		v.members[i] = m.show(&m.layout.vms[i])
	}
	return v
}

func (m *Machine) show(vm *vmlist.VM) Member {
	r := m.own
	if vm.ID != m.self {
		r = m.members[vm.ID].record
	}
	r.leaving = r.leaving || vm.Leaving
	return Member{VM: vm, State: r.state(), Incarnation: r.incarnation}
}
