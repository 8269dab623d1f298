package source

import (
	"cmp"
	"slices"
	"time"
)

// EvacuatedDomain is a failure domain to whose backend servers nothing more is sent until the store
// removes Key.
type EvacuatedDomain struct {
	Domain string
	Key    string
	// Kept reports that the store came back from an older copy that lacks the key. The evacuation
	// stays in force for a limited time.
	Kept bool
}

// maxGoneEvacuations bounds the removed evacuations that a replica remembers.
const maxGoneEvacuations = 256

// evacuations are the evacuations in force and what is needed to decide about them after the store
// came back from an older copy. It is not safe for concurrent use.
type evacuations struct {
	// domains holds the failure domain of each evacuation in force, by key.
	domains map[string]string
	// changes counts the changes of the list of evacuations.
	changes uint64
	// gone holds, by key, the position at which an evacuation that the store removed was last
	// written, and order the keys as they were removed. An older copy of the store holds the
	// evacuation at that revision; a new one has another revision.
	gone  map[string]Position
	order []string
	// withheld holds the keys of gone evacuations that the store has again because it came back
	// from an older copy.
	withheld map[string]bool
	// eraStart is the first position of the replica in the present era.
	eraStart Position
	// keepUntil is when evacuations end that were written in an earlier era and that the store
	// lacks in the present one; expired is set after that.
	keepUntil time.Time
	expired   bool
}

func newEvacuations() evacuations {
	return evacuations{domains: make(map[string]string), gone: make(map[string]Position), withheld: make(map[string]bool)}
}

// beginEra records that the replica reaches the era of at, at that position.
func (e *evacuations) beginEra(now time.Time, at Position, keep time.Duration) {
	e.eraStart, e.keepUntil, e.expired = at, now.Add(keep), false
	clear(e.withheld)
	e.changes++
}

// noteWrite records a write of an operator, after which lost evacuations are kept for at most settle:
// if they are still wanted, the operator writes them again. Only a write after eraStart is certain to be
// from after the restore.
func (e *evacuations) noteWrite(now time.Time, item *Item, settle time.Duration) {
	if item.Era != e.eraStart.Era || item.Revision <= e.eraStart.Revision {
		return
	}
	if until := now.Add(settle); until.Before(e.keepUntil) {
		e.keepUntil = until
	}
}

// expire reports whether the time for which lost evacuations are kept has ended.
func (e *evacuations) expire(now time.Time) bool {
	e.expired = e.expired || !now.Before(e.keepUntil)
	return e.expired
}

// recordGone remembers an evacuation that the store removed.
func (e *evacuations) recordGone(key string, at Position) {
	if _, known := e.gone[key]; !known {
		e.order = append(e.order, key)
	}
	e.gone[key] = at
	if len(e.order) > maxGoneEvacuations {
		delete(e.gone, e.order[0])
		delete(e.withheld, e.order[0])
		e.order = e.order[1:]
	}
}

// returns reports whether an item of a full read is an evacuation that was removed and that the store
// has again because it came back from an older copy. It is withheld until it is written again.
func (e *evacuations) returns(item *Item) bool {
	at, known := e.gone[item.Key]
	if !known || at.Revision != item.Revision {
		return false
	}
	if item.Era != at.Era {
		e.withheld[item.Key] = true
	}
	return true
}

// acceptsEvacuation reports whether an evacuation may be stored. fresh is set if the item is a change that
// the replica had not reached yet, unset if it is part of a full read.
func (r *Replica) acceptsEvacuation(item *Item, fresh bool) bool {
	e := &r.evacuations
	if item.Era < e.eraStart.Era && e.expired {
		return false
	}
	if _, held := r.items[item.Key]; !held && !fresh && e.returns(item) {
		return false
	}
	delete(e.withheld, item.Key)
	return true
}

// putEvacuation puts the evacuation of a stored item in force.
func (r *Replica) putEvacuation(key string) {
	r.evacuations.domains[key] = r.decoder.EvacuatedDomain(key)
	r.evacuations.changes++
}

// removeEvacuation ends the evacuation of a key that was removed and whose last write was at a position.
// left is set if the store removed it, unset if an older copy of the store lacks it.
func (r *Replica) removeEvacuation(key string, last Position, left bool) {
	e := &r.evacuations
	delete(e.withheld, key)
	if _, inForce := e.domains[key]; !inForce {
		return
	}
	delete(e.domains, key)
	e.changes++
	if left {
		e.recordGone(key, last)
	}
}

// noteOperatorWrite records the change of an item that operators write.
func (r *Replica) noteOperatorWrite(now time.Time, item *Item) {
	if kind := r.decoder.Kind(item.Key); kind == Release || kind == Evacuation {
		r.evacuations.noteWrite(now, item, r.cfg.SettleEvacuations)
	}
}

// dropLostEvacuations ends the evacuations that the store lacks since it came back from an older copy, once
// their time has ended.
func (r *Replica) dropLostEvacuations(now time.Time) {
	if !r.evacuations.expire(now) {
		return
	}
	for key := range r.evacuations.domains {
		if r.lost(key) {
			r.remove(now, key, false)
		}
	}
}

// lost reports whether the store lacks an evacuation since it came back from an older copy.
func (r *Replica) lost(key string) bool { return r.items[key].Era < r.evacuations.eraStart.Era }

// Evacuations returns the evacuations in force, ordered by domain.
func (r *Replica) Evacuations() []EvacuatedDomain {
	list := make([]EvacuatedDomain, 0, len(r.evacuations.domains))
	for key, domain := range r.evacuations.domains {
		list = append(list, EvacuatedDomain{Domain: domain, Key: key, Kept: r.lost(key)})
	}
	slices.SortFunc(list, func(a, b EvacuatedDomain) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Key, b.Key))
	})
	return list
}

// EvacuationChanges returns the number of changes of the list returned by Evacuations.
func (r *Replica) EvacuationChanges() uint64 { return r.evacuations.changes }

// CompleteEvacuations returns changes that hold all evacuations in force at a position, with the removals of the
// evacuations that the replica holds and that are not among them. The removal of an evacuation may be unknown where
// the changes are from.
func (r *Replica) CompleteEvacuations(changes []Change, at Position) []Change {
	for key := range r.evacuations.domains {
		held := r.items[key]
		present := slices.ContainsFunc(changes, func(c Change) bool { return c.Key == key })
		if !present && held.Era == at.Era && held.Revision <= at.Revision {
			changes = append(changes, Change{Item: Item{Key: key, Revision: at.Revision, Era: at.Era}, Removed: true})
		}
	}
	return changes
}

// evacuationsSince returns what Since adds to the changes after a position: the other evacuations in force, so that a
// replica that gets the changes can tell which have ended, and removals of withheld ones, which it may have read
// from the store.
func (r *Replica) evacuationsSince(after Position) []Change {
	var changes []Change
	for key := range r.evacuations.domains {
		if item := r.items[key]; item.Position().Compare(after) <= 0 {
			changes = append(changes, Change{Item: item})
		}
	}
	for key := range r.evacuations.withheld {
		gone := Item{Key: key, Revision: r.evacuations.gone[key].Revision, Era: r.at.Era}
		changes = append(changes, Change{Item: gone, Removed: true})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}
