package source

import (
	"cmp"
	"time"
)

// maxRemovedEntries bounds the removed entries that a replica remembers.
const maxRemovedEntries = 1024

// restoredEntries decides about server entries that are in the store again because it came back
// from an older copy. The entry of a server that left must not name a server again; that of a
// server that was only silent must, once the store has kept it for longer than it keeps the entry
// of a silent server. It is not safe for concurrent use.
type restoredEntries struct {
	// removed holds the last entry of each removed key, order the keys as they were removed.
	removed map[string]ServerEntry
	order   []string
	// withheld holds the time until which the entry of a key names no server.
	withheld map[string]time.Time
}

func newRestoredEntries() restoredEntries {
	return restoredEntries{removed: make(map[string]ServerEntry), withheld: make(map[string]time.Time)}
}

// recordRemoval remembers an entry that the store removed.
func (e *restoredEntries) recordRemoval(key string, entry ServerEntry) {
	if _, known := e.removed[key]; !known {
		e.order = append(e.order, key)
	}
	e.removed[key] = entry
	if len(e.order) > maxRemovedEntries {
		delete(e.removed, e.order[0])
		e.order = e.order[1:]
	}
}

// release ends the withholding of a key and reports whether its entry was withheld.
func (e *restoredEntries) release(key string) bool {
	_, withheld := e.withheld[key]
	delete(e.withheld, key)
	return withheld
}

// expired ends the withholding of all keys whose time has come, and returns them.
func (e *restoredEntries) expired(now time.Time) []string {
	var keys []string
	for key, until := range e.withheld {
		if !now.Before(until) {
			delete(e.withheld, key)
			keys = append(keys, key)
		}
	}
	return keys
}

// withholdIfRemoved withholds the entry of a server that the store had removed before it came
// back from an older copy, unless the server has written it since.
func (r *Replica) withholdIfRemoved(now time.Time, item Item) {
	entry, listed := r.servers[item.Key]
	removed, known := r.restored.removed[item.Key]
	if !listed || !known || entry.compareReport(removed) > 0 {
		return
	}
	delete(r.servers, item.Key)
	r.listChanges++
	r.restored.withheld[item.Key] = now.Add(r.cfg.WithholdFor)
}

// supersedes reports whether item is newer than old, which has the same key. Within an era the
// revision decides. Across eras it is the content, because an older copy of the store has older
// content under a later era: a configuration never goes back, and neither does what a server
// reported.
func (r *Replica) supersedes(item, old Item) bool {
	if item.Era == old.Era {
		return item.Revision > old.Revision
	}
	later := item.Era > old.Era
	switch r.decoder.Kind(item.Key) {
	case Release:
		next, err := r.decoder.ReleaseSequence(item.Value)
		held, heldErr := r.decoder.ReleaseSequence(old.Value)
		return newer(next, err, held, heldErr, cmp.Compare[uint64], later)
	case Server:
		next, err := r.decoder.Server(item.Key, item.Value)
		held, heldErr := r.decoder.Server(old.Key, old.Value)
		return newer(next, err, held, heldErr, ServerEntry.compareReport, later)
	default:
		return later
	}
}

// newer reports whether next is newer than held by compare. later decides if they are equal or
// one of them could not be decoded.
func newer[T any](next T, err error, held T, heldErr error, compare func(a, b T) int, later bool) bool {
	if err != nil || heldErr != nil {
		return later
	}
	if order := compare(next, held); order != 0 {
		return order > 0
	}
	return later
}

// compareReport compares the reports of one server by its run and the report's number in it.
func (e ServerEntry) compareReport(other ServerEntry) int {
	return cmp.Or(cmp.Compare(e.VM.StartedAtMs, other.VM.StartedAtMs), cmp.Compare(e.Sequence, other.Sequence))
}

// outlivesEra reports whether an item is kept although the store lacks it after it came back from
// an older copy: the configuration, which the store had accepted and which will be written again, and for
// a limited time an evacuation.
func (r *Replica) outlivesEra(item Item, era uint64) bool {
	if item.Era >= era {
		return false
	}
	kind := r.decoder.Kind(item.Key)
	return kind == Release || kind == Evacuation && !r.evacuations.expired
}
