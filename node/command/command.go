// Package command changes the state of a node: it puts releases and VM lists in
// force and takes the node out of service. Package query reads what it changed.
package command

import (
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
)

// Commander applies changes to one node's state. Its methods are safe for
// concurrent use.
type Commander struct {
	State *state.State
	Log   zerolog.Logger
	// Now returns the time that is recorded with a change.
	Now func() time.Time
}

// ApplyRelease puts snap in force unless the node holds the same or a newer
// release. It reports whether the release in force changed.
func (c *Commander) ApplyRelease(snap *mesh.Snapshot) bool {
	changed := c.State.Install(snap, c.Now())
	if changed {
		c.Log.Info().Str("event", "release-applied").
			Uint64("sequence", snap.Version.Sequence).
			Stringer("digest", snap.Version.Digest).
			Str("key_id", snap.KeyID).
			Msg("release in force")
	}
	return changed
}

// ApplyVMList replaces the VM list by one of a higher revision.
func (c *Commander) ApplyVMList(list *vmlist.List) bool {
	changed := c.State.ReplaceVMs(list)
	if changed {
		c.Log.Info().Str("event", "vm-list-applied").
			Uint64("revision", list.Revision).
			Int("vms", len(list.VMs)).
			Msg("VM list in use")
	}
	return changed
}
