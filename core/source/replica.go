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

// Config bounds what a Replica believes after an outage of the store.
type Config struct {
	// OutageAfter is how long the store must have been silent for servers' entries to
	// have expired meanwhile. Shorter takes a cut connection for an outage and then
	// learns later that a server left.
	OutageAfter time.Duration
	// ReturnGrace is how long after an outage an entry that expired may take to come
	// back. Until then its server is kept in the list.
	ReturnGrace time.Duration
}

// DefaultConfig keeps entries almost as long as living servers may take to be listed
// again, two seconds, and less than it may take until a server that left gets no work.
func DefaultConfig() Config {
	return Config{OutageAfter: time.Second, ReturnGrace: 1700 * time.Millisecond}
}

// Replica is a node's copy of the store. It belongs to one goroutine.
type Replica struct {
	cfg      Config
	decoder  Decoder
	revision uint64
	items    map[string]Item
	servers  map[string]ServerEntry
	// kept holds entries that were removed right after an outage, until their time.
	kept map[string]keptEntry
	// failedSince is when the store ceased to answer; zero while it answers.
	failedSince time.Time
	// graceUntil is the end of the time in which removals are not believed.
	graceUntil time.Time
	// listChanges counts changes of the list of VMs.
	listChanges uint64
	problems    []error
}

// keptEntry is an entry that is believed until a time although the store lacks it.
type keptEntry struct {
	entry ServerEntry
	until time.Time
}

// NewReplica returns an empty replica.
func NewReplica(cfg Config, d Decoder) *Replica {
	return &Replica{
		cfg:     cfg,
		decoder: d,
		items:   make(map[string]Item),
		servers: make(map[string]ServerEntry),
		kept:    make(map[string]keptEntry),
	}
}

// Revision returns the revision up to which the replica is complete; 0 before the
// first read.
func (r *Replica) Revision() uint64 { return r.revision }

// Items returns all items, in order of key.
func (r *Replica) Items() []Item {
	keys := slices.Sorted(maps.Keys(r.items))
	all := make([]Item, len(keys))
	for i, k := range keys {
		all[i] = r.items[k]
	}
	return all
}

// Item returns the newest item of a kind, or false if there is none.
func (r *Replica) Item(kind Kind) (Item, bool) {
	var newest Item
	for key, item := range r.items {
		if r.decoder.Kind(key) == kind && item.Revision >= newest.Revision {
			newest = item
		}
	}
	return newest, newest.Key != ""
}

// Problems returns what could not be decoded since the last call.
func (r *Replica) Problems() []error {
	p := r.problems
	r.problems = nil
	return p
}

// ListChanges counts the changes of the list that VMs returns.
func (r *Replica) ListChanges() uint64 { return r.listChanges }

// Failed notes that the store gave no answer.
func (r *Replica) Failed(now time.Time) {
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// Answered notes that the store answered. After an outage removals are not believed
// for a while.
func (r *Replica) Answered(now time.Time) {
	if !r.failedSince.IsZero() && now.Sub(r.failedSince) >= r.cfg.OutageAfter {
		r.graceUntil = now.Add(r.cfg.ReturnGrace)
	}
	r.failedSince = time.Time{}
}

// Settling reports whether entries that expired during an outage may still come back.
func (r *Replica) Settling(now time.Time) bool { return now.Before(r.graceUntil) }

// Replace takes over all items as of a revision, unless the replica is newer.
func (r *Replica) Replace(now time.Time, items []Item, revision uint64) bool {
	if revision < r.revision {
		return false
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		r.put(item)
	}
	for key, item := range r.items {
		if !present[key] && item.Revision <= revision {
			r.remove(now, key)
		}
	}
	r.revision = revision
	return true
}

// Apply takes over changes.
func (r *Replica) Apply(now time.Time, c Changes) {
	for _, ch := range c.Changes {
		if ch.Removed {
			if r.items[ch.Key].Revision <= ch.Revision {
				r.remove(now, ch.Key)
			}
			continue
		}
		r.put(ch.Item)
	}
	r.revision = max(r.revision, c.Revision)
}

// put stores an item unless a newer one is held.
func (r *Replica) put(item Item) {
	old, held := r.items[item.Key]
	if held && old.Revision >= item.Revision {
		return
	}
	r.items[item.Key] = item
	if r.decoder.Kind(item.Key) != Server {
		return
	}
	r.listChanges++
	delete(r.kept, item.Key)
	if held && bytes.Equal(old.Value, item.Value) {
		return
	}
	entry, err := r.decoder.Server(item.Key, item.Value)
	if err != nil {
		r.problems = append(r.problems, fmt.Errorf("%s: %w", item.Key, err))
		delete(r.servers, item.Key)
		return
	}
	r.servers[item.Key] = entry
}

func (r *Replica) remove(now time.Time, key string) {
	delete(r.items, key)
	entry, listed := r.servers[key]
	if !listed {
		return
	}
	delete(r.servers, key)
	r.listChanges++
	if r.Settling(now) {
		r.kept[key] = keptEntry{entry: entry, until: r.graceUntil}
	}
}

// Expire drops entries whose grace is over, and returns the time of the next one, zero
// if there is none.
func (r *Replica) Expire(now time.Time) time.Time {
	var next time.Time
	for key, k := range r.kept {
		if !now.Before(k.until) {
			delete(r.kept, key)
			r.listChanges++
			continue
		}
		if next.IsZero() || k.until.Before(next) {
			next = k.until
		}
	}
	return next
}

// VMs returns the servers in order of VM. Of several entries for one VM the one of the
// youngest server counts.
func (r *Replica) VMs() []vmlist.VM {
	byVM := make(map[string]ServerEntry, len(r.servers)+len(r.kept))
	for _, k := range r.kept {
		choose(byVM, k.entry)
	}
	for _, e := range r.servers {
		choose(byVM, e)
	}
	list := make([]vmlist.VM, 0, len(byVM))
	for _, e := range byVM {
		list = append(list, e.VM)
	}
	slices.SortFunc(list, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func choose(byVM map[string]ServerEntry, e ServerEntry) {
	old, found := byVM[e.VM.ID]
	if !found || e.younger(old) {
		byVM[e.VM.ID] = e
	}
}

// younger reports whether e describes a later run of a server than old. Without a time
// of birth a server that stays goes before one that leaves.
func (e ServerEntry) younger(old ServerEntry) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	if e.VM.Leaving != old.VM.Leaving {
		return old.VM.Leaving
	}
	return e.VM.Instance > old.VM.Instance
}
