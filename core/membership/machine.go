package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"auburnladder.example/core/vmlist"
)

// maxUnlisted is the maximum number of records kept for VMs that are not in the
// published list.
const maxUnlisted = 1024

// Identity identifies the local node.
type Identity struct {
	// VM is the ID of the local VM.
	VM string
	// Incarnation should be higher than in earlier runs of the process, e.g. the start
	// time in milliseconds. If it is not, the node raises it when it receives the higher
	// incarnation from its peers.
	Incarnation uint64
}

// Machine is the failure detector of one node. It is not safe for concurrent use; the
// driver calls it from one goroutine.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	self  string
	local record

	index *listIndex
	// members holds all listed VMs except the local one.
	members map[string]*member
	// unlisted holds records of VMs that are not in the published list yet.
	unlisted map[string]record
	// rotation is the probe order of the members; rotationNext is the next index.
	rotation     []string
	rotationNext int

	probe             *probe
	sequence          uint64
	nextProbe         time.Time
	nextDeadProbe     time.Time
	recoverUntil      time.Time
	relays            map[uint64]relay
	suspicions        []suspicion
	suspectPings      int
	suspectPingsReset time.Time
	awareness         int
	queue             broadcastQueue

	lastStep   time.Time
	generation uint64
	changed    bool
	actions    []Action
}

// New returns a machine without members; the first ListPublished adds them. cfg must be
// valid. The machine uses rng in Step only.
func New(id Identity, cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:      cfg,
		rng:      rng,
		self:     id.VM,
		local:    record{incarnation: id.Incarnation},
		index:    newListIndex(&vmlist.List{}),
		members:  make(map[string]*member),
		unlisted: make(map[string]record),
		relays:   make(map[uint64]relay),
	}
}

// Step handles one event and returns the actions to execute, in order. now must not
// decrease between calls.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.checkPause(now)
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.applyUpdates(now, ev.Message.Updates)
		m.checkSenderRecord(ev.Message)
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
	m.pingSuspects(now)
	m.advanceProbe(now)
	m.probeDead(now)
	if m.changed {
		m.changed = false
		m.actions = append(m.actions, Publish{View: m.view()})
	}
}

// checkPause detects that the process was paused. Missed acks during the pause are no
// evidence against other members, and updates queued before the pause are outdated.
func (m *Machine) checkPause(now time.Time) {
	last := m.lastStep
	m.lastStep = now
	if last.IsZero() || now.Sub(last) <= m.cfg.PauseBound {
		return
	}
	m.probe = nil
	m.nextProbe = now
	m.queue.clear()
	m.clearSuspicions()
	m.recoverUntil = now.Add(m.cfg.RecoveryPeriod)
	m.nextDeadProbe = now
	m.actions = append(m.actions, Resync{Gap: now.Sub(last)})
}

func (m *Machine) setLeaving(leaving bool) {
	if m.local.leaving == leaving {
		return
	}
	m.local.leaving = leaving
	if !leaving {
		m.local.incarnation++
	}
	m.changed = true
	m.announceSelf(m.cfg.LeavingFanout)
}

// announceSelf sends the local record to up to n random members.
func (m *Machine) announceSelf(n int) {
	for _, vm := range m.randomMembers(n, m.self) {
		m.sendTo(vm, Message{Kind: Ack, Target: m.self})
	}
}

func (m *Machine) applyUpdates(now time.Time, updates []Update) {
	for _, u := range updates {
		if u.valid() {
			m.apply(now, u, evidenceGossip)
		}
	}
}

// checkSenderRecord marks the sender if the record it reports of itself differs from the
// known one. It may have been restarted, or may not have received a suspicion of itself.
func (m *Machine) checkSenderRecord(msg Message) {
	sender, found := m.members[msg.From]
	if !found {
		return
	}
	var reported record
	for _, u := range msg.Updates {
		if u.VM == msg.From {
			reported = reported.merge(recordOf(u))
		}
	}
	sender.selfOutdated = reported != sender.record
}

// apply merges one update into the known records and queues the member for
// dissemination if its record changed.
//
// A gossiped report that a member is dead only makes it suspect: the sender may be
// partitioned from the fleet and consider all other nodes dead. Each node waits for the
// refutation itself.
func (m *Machine) apply(now time.Time, u Update, e evidence) {
	if u.VM == m.self {
		m.refute(u)
		return
	}
	if e == evidenceGossip && u.State == Dead {
		u.State = Suspect
		e = evidenceDeadGossip
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
	} else if e == evidenceDeadGossip && r.incarnation == u.Incarnation {
		m.shortenSuspicion(u.VM)
	}
}

// recordChanged handles a changed record of a member: it queues the record, starts a
// suspicion for a new suspect, and starts the recovery period for a member that returned
// from dead.
func (m *Machine) recordChanged(now time.Time, vm string, old record, e evidence) {
	r := m.members[vm]
	m.changed = true
	m.queue.enqueue(vm)
	if r.health == Suspect && (old.health != Suspect || old.incarnation != r.incarnation) {
		m.startSuspicion(now, vm, r.incarnation, e)
	}
	if old.health == Dead && r.health != Dead {
		m.recoverUntil = now.Add(m.cfg.RecoveryPeriod)
	}
}

// refute raises the local incarnation and announces the local record if an update about
// the local node contradicts that record.
func (m *Machine) refute(u Update) {
	if m.local.merge(recordOf(u)) == m.local {
		return
	}
	m.local.incarnation = u.Incarnation + 1
	m.awareness = min(m.awareness+1, m.cfg.MaxAwareness)
	m.changed = true
	m.announceSelf(m.cfg.RefutationFanout)
}

// applyUnlisted records an update about a VM that is not listed yet.
func (m *Machine) applyUnlisted(u Update) {
	old, found := m.unlisted[u.VM]
	if !found && len(m.unlisted) >= maxUnlisted {
		return
	}
	m.unlisted[u.VM] = old.merge(recordOf(u))
}

// replaceList applies a newer published list and ignores an older one.
func (m *Machine) replaceList(now time.Time, list *vmlist.List) {
	if list.Revision <= m.index.revision {
		return
	}
	m.index = newListIndex(list)
	previous := m.members
	m.members = make(map[string]*member, len(list.VMs))
	for _, vm := range m.index.vms {
		if vm.ID != m.self {
			m.addMember(now, vm.ID, previous[vm.ID])
		}
	}
	// VMs that are still unlisted were removed, or will announce themselves once listed.
	clear(m.unlisted)
	m.rotation = slices.DeleteFunc(m.rotation, func(vm string) bool { return m.members[vm] == nil })
	m.rotationNext = min(m.rotationNext, len(m.rotation))
	m.changed = true
}

// addMember adds a listed VM to the members. It keeps the record of an existing member
// or of a VM that was unlisted so far.
func (m *Machine) addMember(now time.Time, vm string, existing *member) {
	if existing != nil {
		m.members[vm] = existing
		return
	}
	r := m.unlisted[vm]
	delete(m.unlisted, vm)
	m.members[vm] = &member{record: r}
	if r.health == Suspect {
		m.startSuspicion(now, vm, r.incarnation, evidenceGossip)
	}
	at := m.rotationNext + m.rng.IntN(len(m.rotation)-m.rotationNext+1)
	m.rotation = slices.Insert(m.rotation, at, vm)
}

// sendTo sends a message to a listed VM, and drops it if the VM is not listed.
func (m *Machine) sendTo(vm string, msg Message) {
	i, found := m.index.byID[vm]
	if !found {
		return
	}
	m.send(vm, m.index.vms[i].Peer, msg)
}

// replyTo sends a message to the listed address of a VM, or to source if the VM is not
// listed.
func (m *Machine) replyTo(vm string, source netip.AddrPort, msg Message) {
	if _, found := m.index.byID[vm]; found {
		m.sendTo(vm, msg)
		return
	}
	m.send(vm, source, msg)
}

// send piggybacks updates on a message and queues it as a Send action. The updates are
// the local record, the record of the receiver if the receiver may not have it, and as
// many queued updates as fit.
func (m *Machine) send(vm string, to netip.AddrPort, msg Message) {
	msg.From = m.self
	msg.Updates = m.local.updates(m.self)
	if r, found := m.members[vm]; found && (r.selfOutdated || r.health != Alive) {
		msg.Updates = append(msg.Updates, r.updates(vm)...)
	}
	budget := m.cfg.MaxUpdateBytes - totalSize(msg.Updates)
	limit := m.cfg.retransmitLimit(len(m.members) + 1)
	msg.Updates = append(msg.Updates, m.queue.nextUpdates(budget, limit, m.memberUpdates)...)
	m.actions = append(m.actions, Send{To: to, Message: msg})
}

// memberUpdates returns the updates that encode the record of a member, or none if it is
// not listed.
func (m *Machine) memberUpdates(vm string) []Update {
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
		ListRevision: m.index.revision,
		index:        m.index,
		members:      make([]Member, len(m.index.vms)),
	}
	for i := range m.index.vms {
		v.members[i] = m.viewMember(&m.index.vms[i])
	}
	return v
}

func (m *Machine) viewMember(vm *vmlist.VM) Member {
	r := m.local
	if vm.ID != m.self {
		r = m.members[vm.ID].record
	}
	r.leaving = r.leaving || vm.Leaving
	return Member{VM: vm, State: r.state(), Incarnation: r.incarnation}
}
