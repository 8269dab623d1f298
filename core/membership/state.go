package membership

import "fmt"

// State is the state of a VM in a View.
type State uint8

const (
	// Alive means that the VM's node acks probes, or that nothing is known about it.
	Alive State = iota
	// Suspect means that the node failed a probe and can still refute the suspicion.
	Suspect
	// Dead means that the node did not refute a suspicion within the suspicion timeout.
	Dead
	// Leaving means that, according to the node or the published list, the VM accepts no
	// new work.
	Leaving
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	default:
		return fmt.Sprintf("state(%d)", uint8(s))
	}
}

// maxIncarnation is the exclusive upper bound of accepted incarnation numbers. It
// ensures that a node can always raise its own.
const maxIncarnation = 1 << 62

// Update is one state report about a member, as disseminated by gossip. Leaving means
// alive and leaving; Suspect and Dead carry no information about leaving.
type Update struct {
	VM          string
	State       State
	Incarnation uint64
}

func (u Update) valid() bool {
	return u.VM != "" && u.size() <= maxUpdateBytes && u.State <= Leaving && u.Incarnation < maxIncarnation
}

// evidence is the origin of an update.
type evidence uint8

const (
	// evidenceGossip is an unconfirmed report received in a message.
	evidenceGossip evidence = iota
	// evidenceDeadGossip is an unconfirmed report that a member is dead.
	evidenceDeadGossip
	// evidenceProbe is a failed probe of the local node.
	evidenceProbe
	// evidenceTimeout is a suspicion that expired on the local node without refutation.
	evidenceTimeout
)

// record is the merged state of one member. The health is Alive, Suspect or Dead.
type record struct {
	incarnation uint64
	health      State
	leaving     bool
}

// member is a listed VM.
type member struct {
	record
	// selfOutdated is set if the last message from the VM's node reported a record of
	// itself that differs from this one.
	selfOutdated bool
}

// recordOf converts an update to a record.
func recordOf(u Update) record {
	if u.State == Leaving {
		return record{incarnation: u.Incarnation, health: Alive, leaving: true}
	}
	return record{incarnation: u.Incarnation, health: u.State}
}

// merge returns the least upper bound of both records.
func (r record) merge(o record) record {
	if r.incarnation != o.incarnation {
		if r.incarnation > o.incarnation {
			return r
		}
		return o
	}
	r.health = max(r.health, o.health)
	r.leaving = r.leaving || o.leaving
	return r
}

// state returns the State of the record in a view.
func (r record) state() State {
	if r.health != Dead && r.leaving {
		return Leaving
	}
	return r.health
}

// updates returns the updates that together encode the record.
func (r record) updates(vm string) []Update {
	if !r.leaving {
		return []Update{{VM: vm, State: r.health, Incarnation: r.incarnation}}
	}
	all := []Update{{VM: vm, State: Leaving, Incarnation: r.incarnation}}
	if r.health != Alive {
		all = append(all, Update{VM: vm, State: r.health, Incarnation: r.incarnation})
	}
	return all
}
