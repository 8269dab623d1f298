// Package state holds the shared state of one node: the active release, the VM list with the
// membership view, and whether the node is leaving or resynchronising. Package command and the
// distribution driver change it, package query reads it for operators, and the request path
// reads it through atomic pointers.
package state

import (
	"sync/atomic"
	"time"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/vmlist"
)

// Identity is the node's identity from its settings. It never changes.
type Identity struct {
	VM      string
	Service string
	Domain  string
	Region  string
}

// Held is the release that the node holds, which is the active one, and the time of its
// activation. It is immutable.
type Held struct {
	Snapshot *mesh.Snapshot
	Since    time.Time
}

// State is shared by all components of a node. Its methods take no locks and are safe for
// concurrent use.
type State struct {
	Identity  Identity
	held      atomic.Pointer[Held]
	fleet     atomic.Pointer[Fleet]
	leaving   atomic.Bool
	resyncing atomic.Bool
}

// New returns a state that holds no release and an empty VM list.
func New(id Identity) *State {
	s := &State{Identity: id}
	s.fleet.Store(newFleet(&vmlist.List{}, membership.EmptyView(), &leavingRuns{}, &evacuations{}))
	return s
}

// Held returns the active release, or nil before the first one.
func (s *State) Held() *Held {
	return s.held.Load()
}

// Snapshot returns the configuration of the active release, or nil before the first one.
func (s *State) Snapshot() *mesh.Snapshot {
	if h := s.held.Load(); h != nil {
		return h.Snapshot
	}
	return nil
}

// Fleet returns the current VM list with the current membership view.
func (s *State) Fleet() *Fleet {
	return s.fleet.Load()
}

// Leaving reports whether this node refuses new calls because it is draining.
func (s *State) Leaving() bool {
	return s.leaving.Load()
}

// Resyncing reports whether this node's process was paused and the node has not yet queried
// its peers for the updates it missed.
func (s *State) Resyncing() bool {
	return s.resyncing.Load()
}

// Install activates snap if its version is newer than that of the held release, and reports
// whether it did. now is stored as the time of activation. It is called by package command.
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

// ReplaceVMs applies a VM list if its revision is higher than the current one, and
// reports whether it did. It is called by package command.
func (s *State) ReplaceVMs(list *vmlist.List) bool {
	for {
		old := s.fleet.Load()
		if list.Revision <= old.Revision {
			return false
		}
		if s.fleet.CompareAndSwap(old, newFleet(list, old.view, old.leaving, old.evacuations)) {
			return true
		}
	}
}

// ReplaceView installs a membership view if it is newer than the current one, and reports
// whether it did. It is called by package command.
func (s *State) ReplaceView(view *membership.View) bool {
	for {
		old := s.fleet.Load()
		if view.Generation <= old.view.Generation {
			return false
		}
		if s.fleet.CompareAndSwap(old, newFleet(old.list, view, old.leaving, old.evacuations)) {
			return true
		}
	}
}

// AddLeavingServer records that a run of a backend server announced that it leaves, and reports
// whether that is new. It holds for good, whatever later lists say of the run. It is called by
// package command.
func (s *State) AddLeavingServer(run vmlist.Run) bool {
	for {
		old := s.fleet.Load()
		if run.Instance == "" || old.AnnouncedLeaving(run) {
			return false
		}
		if s.fleet.CompareAndSwap(old, newFleet(old.list, old.view, old.leaving.with(run), old.evacuations)) {
			return true
		}
	}
}

// SetLeaving sets whether this node refuses new calls. It is called by package command.
func (s *State) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
}

// SetResyncing sets whether the node still has to query its peers for missed updates. While it
// is set, the ingress refuses requests and the egress refuses calls. It is called by the
// distribution driver.
func (s *State) SetResyncing(resyncing bool) {
	s.resyncing.Store(resyncing)
}
