package source

// removal is the removal of a key at a revision.
type removal struct {
	key      string
	revision uint64
}

// revisionRange is a range of revisions without its ends.
type revisionRange struct{ from, to uint64 }

// skipRevisions records that the replica moves to a position without each change up to it. A
// node in between may hold an item that was added and removed again, which no removal tells it.
func (r *Replica) skipRevisions(at Position, newEra bool) {
	if newEra || r.at.Revision == 0 {
		r.removals, r.removalsFrom, r.skipped = nil, at.Revision, revisionRange{}
		return
	}
	if at.Revision == r.at.Revision {
		return
	}
	r.removalsFrom = max(r.removalsFrom, r.skipped.to)
	r.skipped = revisionRange{from: r.at.Revision, to: at.Revision}
}

// maxRemovals bounds the removals that a replica remembers. A node that is further behind gets
// the whole copy.
const maxRemovals = 1024

// recordRemoval remembers a removal for Since.
func (r *Replica) recordRemoval(key string, revision uint64) {
	r.removals = append(r.removals, removal{key: key, revision: revision})
	if len(r.removals) > maxRemovals {
		r.removalsFrom = max(r.removalsFrom, r.removals[0].revision)
		r.removals = r.removals[1:]
	}
}

// Knows reports whether Since returns all changes after a position.
func (r *Replica) Knows(after Position) bool {
	if after.Revision == 0 || after.Era != r.at.Era || after.Revision < r.removalsFrom {
		return false
	}
	return after.Revision <= r.skipped.from || after.Revision >= r.skipped.to
}

// Since returns the changes after a position, which the replica must know, and all evacuations in force, or
// all items for the zero value.
func (r *Replica) Since(after Position) []Change {
	var changes []Change
	for _, item := range r.Items() {
		if after == (Position{}) || item.Position().Compare(after) > 0 {
			changes = append(changes, Change{Item: item})
		}
	}
	if after == (Position{}) {
		return changes
	}
	changes = append(changes, r.evacuationsSince(after)...)
	for _, gone := range r.removals {
		if _, present := r.items[gone.key]; !present && gone.revision > after.Revision {
			changes = append(changes, Change{Item: Item{Key: gone.key, Revision: gone.revision, Era: r.at.Era}, Removed: true})
		}
	}
	return changes
}

// Value returns the value of a key if its last change was at the given position.
func (r *Replica) Value(key string, at Position) ([]byte, bool) {
	item, found := r.items[key]
	return item.Value, found && item.Position() == at
}
