package source

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"auburnladder.example/core/vmlist"
)

// Config configures how a Replica handles removed server entries after a store outage.
type Config struct {
	// OutageAfter is the time without a response from the store after which server
	// entries may have expired because of the outage. If it is too short, a dropped
	// connection is mistaken for an outage, and the removal of a server is then applied
	// late. Default: 1 s.
	OutageAfter time.Duration
	// ReturnGrace is the time after an outage within which an expired entry may be
	// written again. Until then its server stays in the list. A longer time delays the
	// removal of servers that did leave. Default: 1700 ms.
	ReturnGrace time.Duration
	// WithholdFor is how long an entry that was removed, and is there again because the store
	// came back from an older copy, names no server unless it is written again. It must be longer
	// than the store keeps the entry of a server that is silent. A longer time delays the use of a
	// server that was only silent. Default: 6 s.
	WithholdFor time.Duration
	// KeepEvacuations is how long an evacuation stays in force that the store lacks because it came back
	// from an older copy. A shorter time may end it before its author has written it again; a longer one
	// blocks a failure domain for longer whose evacuation has been removed meanwhile. Default: 30 s.
	KeepEvacuations time.Duration
	// SettleEvacuations is the rest of that time once an operator has written to the store again. Default:
	// 10 s.
	SettleEvacuations time.Duration
}

// DefaultConfig returns the default configuration. Its ReturnGrace is slightly below two
// seconds, which is both the time that live servers may take to be listed again and the
// limit within which a server that left must stop receiving work.
func DefaultConfig() Config {
	return Config{
		OutageAfter: time.Second, ReturnGrace: 1700 * time.Millisecond, WithholdFor: 6 * time.Second,
		KeepEvacuations: 30 * time.Second, SettleEvacuations: 10 * time.Second,
	}
}

// Replica is a node's copy of the store. It is not safe for concurrent use; package
// node/follow guards it with a mutex.
type Replica struct {
	cfg     Config
	decoder Decoder
	at      Position
	items   map[string]Item
	// newestEntry is the position of the newest entry of a server that was stored.
	newestEntry Position
	// release is the newest release item; its key is empty if there is none.
	release Item
	servers map[string]ServerEntry
	// restored holds what must not come back with an older copy of the store.
	restored restoredEntries
	// evacuations are the evacuated failure domains.
	evacuations evacuations
	// retained holds entries that were removed during the grace period after an outage, by
	// key. Each stays until its time.
	retained map[string]retainedEntry
	// failedSince is the time of the first failed request; zero while the store responds.
	failedSince time.Time
	// graceUntil is the end of the period in which removed server entries are retained.
	graceUntil time.Time
	// listChanges is the number of changes of the VM list.
	listChanges  uint64
	decodeErrors []error
	// unreadable holds the keys of the entries that cannot be decoded and were reported.
	unreadable map[string]bool
	// named are the services that the release at namedAt names.
	named   map[string]bool
	namedAt Position
	// contested is set if entries of different services named one VM in the last list.
	contested bool
	// removals are the latest removals of keys in the present era, in order of revision. Those
	// at or before removalsFrom are not known.
	removals     []removal
	removalsFrom uint64
	// skipped is the last range of revisions whose changes were not received one by one.
	skipped revisionRange
}

// NewReplica returns an empty replica.
func NewReplica(cfg Config, d Decoder) *Replica {
	return &Replica{
		cfg:        cfg,
		decoder:    d,
		items:      make(map[string]Item),
		servers:    make(map[string]ServerEntry),
		retained:   make(map[string]retainedEntry),
		unreadable: make(map[string]bool),
		restored:   newRestoredEntries(),

		evacuations: newEvacuations(),
	}
}

// Position returns the point in the store's history up to which the replica includes all
// changes; the zero value before the first read.
func (r *Replica) Position() Position { return r.at }

// CopyFrom returns the position from which the changes of another replica complete this one. It is
// the zero value, for all items, while this one holds entries of servers from after its own position:
// the other one may have skipped their removal.
func (r *Replica) CopyFrom() Position {
	if r.newestEntry.Compare(r.at) > 0 {
		return Position{}
	}
	return r.at
}

// Items returns all items, ordered by key.
func (r *Replica) Items() []Item {
	keys := slices.Sorted(maps.Keys(r.items))
	all := make([]Item, len(keys))
	for i, k := range keys {
		all[i] = r.items[k]
	}
	return all
}

// Release returns the newest release item, or false if there is none.
func (r *Replica) Release() (Item, bool) {
	return r.release, r.release.Key != ""
}

// findRelease finds the release item again after one was removed.
func (r *Replica) findRelease() {
	r.release = Item{}
	for key, item := range r.items {
		if r.decoder.Kind(key) == Release && item.Position().Compare(r.release.Position()) >= 0 {
			r.release = item
		}
	}
	r.releaseChanged()
}

// releaseChanged makes a change of the list if it depends on the services that the release names.
func (r *Replica) releaseChanged() {
	if r.contested {
		r.listChanges++
	}
}

// namedServices returns the services that the release names. If it cannot be read, they are those
// of the one before.
func (r *Replica) namedServices() map[string]bool {
	if at := r.release.Position(); r.release.Key != "" && at != r.namedAt {
		r.namedAt = at
		if named, err := r.decoder.ServiceNames(r.release.Value); err == nil {
			r.named = named
		}
	}
	return r.named
}

// DecodeErrors returns the decode errors since the last call. A *TooLargeError is of an item above a
// limit.
func (r *Replica) DecodeErrors() []error {
	p := r.decodeErrors
	r.decodeErrors = nil
	return p
}

// ListChanges returns the number of changes of the list returned by VMs.
func (r *Replica) ListChanges() uint64 { return r.listChanges }

// Replace replaces the items by those that the store had at a position, and keeps items that are
// newer. It returns false and changes nothing if the replica itself is at a later position.
func (r *Replica) Replace(now time.Time, items []Item, at Position) bool {
	if at.Compare(r.at) < 0 {
		return false
	}
	newEra := at.Era > r.at.Era && r.at.Revision > 0
	if newEra {
		// What was written after the copy was taken is missing until it is written again.
		r.ExtendGrace(now.Add(r.cfg.ReturnGrace))
	}
	if newEra || r.at.Revision == 0 {
		r.evacuations.beginEra(now, at, r.cfg.KeepEvacuations)
	}
	r.dropLostEvacuations(now)
	r.skipRevisions(at, newEra)
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		r.noteOperatorWrite(now, &item)
		r.put(item, false)
		if newEra {
			r.withholdIfRemoved(now, item)
		}
	}
	for key, item := range r.items {
		if !present[key] && item.Position().Compare(at) <= 0 && !r.outlivesEra(item, at.Era) {
			r.remove(now, key, !newEra)
			r.recordRemoval(key, at.Revision)
		}
	}
	r.at = at
	return true
}

// Apply applies changes and advances the position. It returns false and changes nothing if they
// are of another era than the replica: then changes before them may be missing.
func (r *Replica) Apply(now time.Time, c Changes) bool {
	if c.Era != r.at.Era {
		return false
	}
	r.dropLostEvacuations(now)
	for _, ch := range c.Changes {
		fresh := ch.Era == r.at.Era && ch.Revision > r.at.Revision
		r.noteOperatorWrite(now, &ch.Item)
		if ch.Removed {
			at := Position{Era: c.Era, Revision: ch.Revision}
			if old := r.items[ch.Key]; old.Position().Compare(at) <= 0 {
				r.remove(now, ch.Key, true)
			}
			if fresh || r.decoder.Kind(ch.Key) != Evacuation {
				r.recordRemoval(ch.Key, ch.Revision)
			}
			continue
		}
		r.put(ch.Item, fresh)
	}
	r.at.Revision = max(r.at.Revision, c.Revision)
	return true
}

// put stores an item unless the replica has the same or a newer one. A release that has no value,
// because it could not be read, or one above its limit is not stored; the one before stays. fresh is set for
// a change after the position of the replica.
func (r *Replica) put(item Item, fresh bool) {
	old, found := r.items[item.Key]
	kind := r.decoder.Kind(item.Key)
	if found && !r.supersedes(item, old) || kind == Release && len(item.Value) == 0 {
		return
	}
	if tooLarge := checkSize(kind, &item); tooLarge != nil && kind == Release {
		r.decodeErrors = append(r.decodeErrors, tooLarge)
		return
	}
	if kind == Evacuation && !r.acceptsEvacuation(&item, fresh) {
		return
	}
	if kind == Other || kind == Evacuation {
		item.Value = nil
	}
	r.items[item.Key] = item
	switch {
	case kind == Server:
		if item.Position().Compare(r.newestEntry) > 0 {
			r.newestEntry = item.Position()
		}
		r.putServer(item, old, found)
	case kind == Evacuation:
		r.putEvacuation(item.Key)
	case kind == Release && (item.Key == r.release.Key || item.Position().Compare(r.release.Position()) >= 0):
		r.release = item
		r.releaseChanged()
	}
}

// putServer lists the server of an item that replaced old, if that was found.
func (r *Replica) putServer(item, old Item, found bool) {
	_, listed := r.servers[item.Key]
	_, retained := r.retained[item.Key]
	delete(r.retained, item.Key)
	withheld := r.restored.release(item.Key)
	if !found || withheld || !bytes.Equal(old.Value, item.Value) {
		r.decodeServer(item)
	}
	if _, names := r.servers[item.Key]; names || listed || retained {
		r.listChanges++
	}
}

// decodeServer decodes the entry of a server and lists it. Of an entry that cannot be decoded the
// replica keeps no bytes: there may be many, and other nodes get what it keeps.
func (r *Replica) decodeServer(item Item) {
	entry, err := r.readServer(item)
	if err == nil {
		r.servers[item.Key] = entry
		delete(r.unreadable, item.Key)
		return
	}
	delete(r.servers, item.Key)
	item.Value = nil
	r.items[item.Key] = item
	if !r.unreadable[item.Key] {
		r.unreadable[item.Key] = true
		r.decodeErrors = append(r.decodeErrors, fmt.Errorf("%s: %w", item.Key, err))
	}
}

// readServer decodes the entry of a server unless it is above the limit.
func (r *Replica) readServer(item Item) (ServerEntry, error) {
	if tooLarge := checkSize(Server, &item); tooLarge != nil {
		return ServerEntry{}, tooLarge
	}
	return r.decoder.Server(item.Key, item.Value)
}

// remove removes an item. During the grace period after an outage it retains the server
// entry. left is set if the store removed it, and unset if an older copy of the store lacks it.
func (r *Replica) remove(now time.Time, key string, left bool) {
	last := r.items[key]
	delete(r.items, key)
	r.removeEvacuation(key, last.Position(), left)
	delete(r.unreadable, key)
	if key == r.release.Key {
		r.findRelease()
	}
	r.restored.release(key)
	entry, listed := r.servers[key]
	if !listed {
		return
	}
	delete(r.servers, key)
	r.listChanges++
	if left {
		r.restored.recordRemoval(key, entry)
	}
	if r.InReturnGrace(now) {
		r.retained[key] = retainedEntry{entry: entry, until: r.graceUntil}
	}
}

// VMs returns the VMs of all servers, ordered by ID. If a VM has several entries, the one
// of the server started last is used; an entry of a service that the release does not name gives
// way to one of a service that it names.
func (r *Replica) VMs() []vmlist.VM {
	byVM := make(map[string]ServerEntry, len(r.servers)+len(r.retained))
	r.contested = false
	for _, k := range r.retained {
		r.putPreferred(byVM, k.entry)
	}
	for _, e := range r.servers {
		r.putPreferred(byVM, e)
	}
	list := make([]vmlist.VM, 0, len(byVM))
	for _, e := range byVM {
		list = append(list, e.VM)
	}
	slices.SortFunc(list, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// putPreferred adds an entry to byVM unless the entry present takes precedence.
func (r *Replica) putPreferred(byVM map[string]ServerEntry, e ServerEntry) {
	old, found := byVM[e.VM.ID]
	if !found || r.precedes(e, old) {
		byVM[e.VM.ID] = e
	}
}

// precedes reports whether e takes precedence over old, which names the same VM.
func (r *Replica) precedes(e, old ServerEntry) bool {
	if e.VM.Service != old.VM.Service {
		r.contested = true
		named := r.namedServices()
		if named[e.VM.Service] != named[old.VM.Service] {
			return named[e.VM.Service]
		}
	}
	return e.startedAfter(old)
}

// startedAfter reports whether e describes a later run of a server than old. If the start
// times are equal or missing, a server that is not leaving takes precedence over one that
// is.
func (e ServerEntry) startedAfter(old ServerEntry) bool {
	if e.VM.StartedAtMs != old.VM.StartedAtMs {
		return e.VM.StartedAtMs > old.VM.StartedAtMs
	}
	if e.VM.Leaving != old.VM.Leaving {
		return old.VM.Leaving
	}
	return e.VM.Instance > old.VM.Instance
}
