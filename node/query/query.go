// Package query reads the state of a node for its operators. It changes nothing.
package query

import (
	"time"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/state"
)

// Reader answers questions about one node. Its methods are safe for concurrent use.
type Reader struct {
	State *state.State
	// Now returns the node's clock.
	Now func() time.Time
}

// Status reports what the node holds and serves.
func (r *Reader) Status() statusapi.Status {
	id := r.State.Identity
	fleet := r.State.Fleet()
	s := statusapi.Status{
		APIVersion:     statusapi.APIVersion,
		VM:             id.VM,
		Service:        id.Service,
		Domain:         id.Domain,
		Region:         id.Region,
		Now:            r.Now(),
		Reader:         true,
		VMListRevision: fleet.Revision,
		Drain:          r.drain(),
		Server:         statusapi.ServerUnknown,
		VMs:            fleet.VMs,
	}
	if held := r.State.Held(); held != nil {
		s.Held = held.Snapshot.Version
		s.KeyID = held.Snapshot.KeyID
		s.HeldSince = held.Since
	}
	return s
}

// Ready reports whether the node serves callers.
func (r *Reader) Ready() bool {
	return r.drain() == statusapi.DrainServing
}

func (r *Reader) drain() statusapi.DrainState {
	switch {
	case r.State.Snapshot() == nil:
		return statusapi.DrainStarting
	case r.State.Leaving():
		return statusapi.DrainDraining
	default:
		return statusapi.DrainServing
	}
}
