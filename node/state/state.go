// Package state holds what one node knows. Package command changes it, package
// query reads it, and the request path reads it through atomic pointers.
package state

import (
	"sync/atomic"
	"time"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/vmlist"
)

// Identity is what a node's settings say about it. It never changes.
type Identity struct {
	VM      string
	Service string
	Domain  string
	Region  string
}

// Held is the release in force together with when it came into force.
type Held struct {
	Snapshot *mesh.Snapshot
	Since    time.Time
}

// State is shared by all parts of a node. All fields are read without locks.
type State struct {
	Identity Identity
	held     atomic.Pointer[Held]
	vms      atomic.Pointer[Fleet]
	leaving  atomic.Bool
	resync   atomic.Bool
}

// New returns a state that holds no release and an empty VM list.
func New(id Identity) *State {
	s := &State{Identity: id}
	s.vms.Store(newFleet(&vmlist.List{}, membership.EmptyView()))
	return s
}

// Held returns the release in force, or nil before the first one.
func (s *State) Held() *Held {
	return s.held.Load()
}

// Snapshot returns the configuration in force, or nil before the first one.
func (s *State) Snapshot() *mesh.Snapshot {
	if h := s.held.Load(); h != nil {
		return h.Snapshot
	}
	return nil
}

// Fleet returns the VM list in use, corrected by the view of the members.
func (s *State) Fleet() *Fleet {
	return s.vms.Load()
}

// Leaving reports whether this node refuses new work.
func (s *State) Leaving() bool {
	return s.leaving.Load()
}

// Resyncing reports whether this node was paused and has not yet asked its peers
// for what it missed.
func (s *State) Resyncing() bool {
	return s.resync.Load()
}

// Install puts a snapshot in force if it is newer than the one held, and reports
// whether it did. It is called by package command.
func (s *State) Install(snap *mesh.Snapshot, now time.Time) bool {
	next := &Held{Snapshot: snap, Since: now}
	for {
		old := s.held.Load()
		if old != nil && !snap.Version.Newer(old.Snapshot.Version) {
			return false
		}
		if s.held.CompareAndSwap(old, next) {
			return true
		}
	}
}

// ReplaceVMs installs a VM list if its revision is higher than the one in use, and
// reports whether it did. It is called by package command.
func (s *State) ReplaceVMs(list *vmlist.List) bool {
	for {
		old := s.vms.Load()
		if list.Revision <= old.Revision {
			return false
		}
		if s.vms.CompareAndSwap(old, newFleet(list, old.view)) {
			return true
		}
	}
}

// ReplaceView installs a view of the members if it is newer than the one in use. It
// is called by package command.
func (s *State) ReplaceView(view *membership.View) bool {
	for {
		old := s.vms.Load()
		if view.Generation <= old.view.Generation {
			return false
		}
		if s.vms.CompareAndSwap(old, newFleet(old.list, view)) {
			return true
		}
	}
}

// SetLeaving changes whether this node refuses new work. It is called by package
// command.
func (s *State) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
}

// SetResyncing changes whether requests must wait for a resynchronisation. It is
// called by package command.
func (s *State) SetResyncing(resyncing bool) {
	s.resync.Store(resyncing)
}
