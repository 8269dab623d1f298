// Package command changes the state of a node: it puts releases and VM lists in
// force and takes the node out of service. Package query reads what it changed.
package command

import (
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/membership"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
)

// Commander applies changes to one node's state. Its methods are safe for
// concurrent use.
type Commander struct {
	State *state.State
	Log   zerolog.Logger
	// Members learns each VM list that was put in use; nil if none does.
	Members Members
	// Journal records what was changed; nil if none is kept.
	Journal Journal
	// Now returns the time that is recorded with a change.
	Now func() time.Time
}

// Members probes the VMs of a list.
type Members interface {
	ReplaceList(list *vmlist.List)
	SetLeaving(leaving bool)
}

// Journal records events for operators.
type Journal interface {
	Record(e statusapi.JournalEntry)
}

func (c *Commander) record(e statusapi.JournalEntry) {
	if c.Journal != nil {
		c.Journal.Record(e)
	}
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
		c.record(statusapi.JournalEntry{
			Kind:    statusapi.JournalReleaseApplied,
			Cause:   "newer than the release held, approved with key " + snap.KeyID,
			Release: snap.Version,
		})
	}
	return changed
}

// RefuseRelease records that a release was not put in force, and why. The release
// in force stays.
func (c *Commander) RefuseRelease(v release.Version, reason error) {
	entry := statusapi.JournalEntry{Kind: statusapi.JournalReleaseRefused, Cause: reason.Error(), Release: v}
	var field *mesh.FieldError
	if errors.As(reason, &field) {
		entry.Service = field.Service
		entry.Field = field.Field
	}
	c.Log.Warn().Str("event", "release-refused").
		Uint64("sequence", v.Sequence).
		Stringer("digest", v.Digest).
		Str("service", entry.Service).
		Str("field", entry.Field).
		Err(reason).
		Msg("release not put in force")
	c.record(entry)
}

// NoteConflict records two different releases with one sequence number. Every node
// keeps the same one.
func (c *Commander) NoteConflict(kept, dropped release.Version) {
	c.Log.Warn().Str("event", "release-conflict").
		Stringer("release", kept).
		Stringer("other", dropped).
		Msg("two releases have one sequence number")
	c.record(statusapi.JournalEntry{
		Kind:    statusapi.JournalReleaseConflict,
		Cause:   "two releases have one sequence number",
		Release: kept,
		Other:   dropped,
	})
}

// NotePause records that the process did not run for a while.
func (c *Commander) NotePause(reason string) {
	c.Log.Warn().Str("event", "paused").Msg(reason)
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalPaused, Cause: reason})
}

// NoteReader records that this node began or ceased to watch the platform's service.
func (c *Commander) NoteReader(reader bool) {
	c.Log.Info().Str("event", "reader-changed").Bool("reader", reader).Msg("the live VMs of the domain changed")
	kind := statusapi.JournalReaderStopped
	if reader {
		kind = statusapi.JournalReaderStarted
	}
	c.record(statusapi.JournalEntry{Kind: kind, Cause: "the live VMs of the domain changed"})
}

// NoteSourceFailed records that the platform stopped answering this node.
func (c *Commander) NoteSourceFailed(err error) {
	c.Log.Warn().Str("event", "source-failed").Err(err).Msg("platform does not answer; releases come from peers")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalSourceFailed, Cause: err.Error()})
}

// NoteSourceReturned records that the platform answers this node again.
func (c *Commander) NoteSourceReturned() {
	c.Log.Info().Str("event", "source-returned").Msg("platform answers again")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalSourceReturned})
}

// distributionKinds maps reports of the distribution to kinds of journal entries.
var distributionKinds = map[distribution.ReportKind]statusapi.JournalKind{
	distribution.ReportStartedAlone: statusapi.JournalStartedAlone,
	distribution.ReportWithdrawn:    statusapi.JournalSourceBehind,
	distribution.ReportSourceBehind: statusapi.JournalSourceBehind,
	distribution.ReportOldBase:      statusapi.JournalReleaseOldBase,
	distribution.ReportIncomplete:   statusapi.JournalReleaseRefused,
}

// NoteDistribution records a report of the distribution that changed nothing.
func (c *Commander) NoteDistribution(r distribution.Report) {
	c.Log.Warn().Str("event", string(r.Kind)).
		Stringer("release", r.Version).
		Stringer("other", r.Other).
		Str("field", r.Field).
		Msg(r.Reason)
	if kind, known := distributionKinds[r.Kind]; known {
		c.record(statusapi.JournalEntry{Kind: kind, Cause: r.Reason, Release: r.Version, Other: r.Other, Service: r.Service, Field: r.Field})
	}
}

// ApplyVMList replaces the VM list by one of a higher revision.
func (c *Commander) ApplyVMList(list *vmlist.List) bool {
	changed := c.State.ReplaceVMs(list)
	if changed {
		c.Log.Info().Str("event", "vm-list-applied").
			Uint64("revision", list.Revision).
			Int("vms", len(list.VMs)).
			Msg("VM list in use")
		c.record(statusapi.JournalEntry{
			Kind:  statusapi.JournalVMListApplied,
			Cause: fmt.Sprintf("revision %d with %d VMs", list.Revision, len(list.VMs)),
		})
		if c.Members != nil {
			c.Members.ReplaceList(list)
		}
	}
	return changed
}

// ApplyView corrects the VM list by what probing found.
func (c *Commander) ApplyView(view *membership.View) {
	c.State.ReplaceView(view)
}

// SetLeaving takes the node out of service or back, and tells the other members.
func (c *Commander) SetLeaving(leaving bool, cause string) {
	c.State.SetLeaving(leaving)
	if c.Members != nil {
		c.Members.SetLeaving(leaving)
	}
	step := "takes no new work: "
	if !leaving {
		step = "takes new work again: "
	}
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalDrainStep, Cause: step + cause})
}
