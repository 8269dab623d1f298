package membership

import "fmt"

// State is what a view says about a VM.
type State uint8

const (
	// Alive means that the VM's node answers, or that nothing else is known.
	Alive State = iota
	// Suspect means that the node did not answer and may still refute that.
	Suspect
	// Dead means that the node did not refute a suspicion in time.
	Dead
	// Leaving means that the node, or the published list, says the VM takes no new work.
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

// maxIncarnation bounds accepted incarnation numbers, so that one can always be raised.
const maxIncarnation = 1 << 62

// Update is one statement about a member. With Leaving it says that the member is
// alive and leaving; with Suspect and Dead it says nothing about leaving.
type Update struct {
	VM          string
	State       State
	Incarnation uint64
}

func (u Update) valid() bool {
	return u.VM != "" && u.size() <= maxUpdateBytes && u.State <= Leaving && u.Incarnation < maxIncarnation
}

// evidence is what a statement about a member rests on.
type evidence uint8

const (
	// hearsay is a statement in a message.
	hearsay evidence = iota
	// wordOfDeath is hearsay that a member is dead.
	wordOfDeath
	// ownProbe is a failed probe of this node.
	ownProbe
	// ownTimeout is a suspicion of this node that was not refuted in time.
	ownTimeout
)

// record is all that is known about one member. The health is Alive, Suspect or Dead.
type record struct {
	incarnation uint64
	health      State
	leaving     bool
}

// member is a listed VM.
type member struct {
	record
	// outdated says that the VM's node did not know its own record when it last sent.
	outdated bool
}

// recordOf returns the record that an update states.
func recordOf(u Update) record {
	if u.State == Leaving {
		return record{incarnation: u.Incarnation, health: Alive, leaving: true}
	}
	return record{incarnation: u.Incarnation, health: u.State}
}

// merge returns the least record that is at least as new as both.
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

// state returns what a view shows for the record.
func (r record) state() State {
	if r.health != Dead && r.leaving {
		return Leaving
	}
	return r.health
}

// updates returns the statements that make up the record.
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
