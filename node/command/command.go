// Package command changes the state of a node: it activates releases and VM lists and takes
// the node out of service. Package query reads that state.
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
	// Members receives each VM list that was installed and each change of the leaving
	// state; may be nil.
	Members Members
	// Journal records the changes; may be nil.
	Journal Journal
	// Now returns the time that is recorded with a change.
	Now func() time.Time
}

// Members is the failure detector, which probes the VMs of a list.
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

// ApplyRelease activates snap unless the node holds the same or a newer release. It reports
// whether the active release changed.
func (c *Commander) ApplyRelease(snap *mesh.Snapshot) bool {
	changed := c.State.Install(snap, c.Now())
	if changed {
		c.Log.Info().Str("event", "release-applied").
			Uint64("sequence", snap.Version.Sequence).
			Stringer("digest", snap.Version.Digest).
			Str("key_id", snap.KeyID).
			Msg("release activated")
		c.record(statusapi.JournalEntry{
			Kind:    statusapi.JournalReleaseApplied,
			Cause:   "newer than the release held, approved with key " + snap.KeyID,
			Release: snap.Version,
		})
	}
	return changed
}

// RefuseRelease records that a release was not activated, and why. The active release
// stays.
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
		Msg("release refused; the active release stays")
	c.record(entry)
}

// RecordConflict records two different releases with the same sequence number. All nodes keep
// the same one of them.
func (c *Commander) RecordConflict(kept, dropped release.Version) {
	c.Log.Warn().Str("event", "release-conflict").
		Stringer("release", kept).
		Stringer("other", dropped).
		Msg("two releases have the same sequence number")
	c.record(statusapi.JournalEntry{
		Kind:    statusapi.JournalReleaseConflict,
		Cause:   "two releases have one sequence number",
		Release: kept,
		Other:   dropped,
	})
}

// RecordPause records that the process was paused.
func (c *Commander) RecordPause(reason string) {
	c.Log.Warn().Str("event", "paused").Msg(reason)
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalPaused, Cause: reason})
}

// RecordReaderChange records that this node started or stopped watching the platform service.
func (c *Commander) RecordReaderChange(reader bool) {
	c.Log.Info().Str("event", "reader-changed").Bool("reader", reader).Msg("reader role changed because the live VMs of the failure domain changed")
	kind := statusapi.JournalReaderStopped
	if reader {
		kind = statusapi.JournalReaderStarted
	}
	c.record(statusapi.JournalEntry{Kind: kind, Cause: "the live VMs of the domain changed"})
}

// RecordSourceFailure records that the platform service does not respond to this node.
func (c *Commander) RecordSourceFailure(err error) {
	c.Log.Warn().Str("event", "source-failed").Err(err).Msg("platform service does not respond; releases are fetched from peers")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalSourceFailed, Cause: err.Error()})
}

// RecordSourceRecovery records that the platform service responds to this node again.
func (c *Commander) RecordSourceRecovery() {
	c.Log.Info().Str("event", "source-returned").Msg("platform service responds again")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalSourceReturned})
}

// distributionKinds maps the kinds of distribution reports to kinds of journal entries.
// Reports of other kinds are only logged.
var distributionKinds = map[distribution.ReportKind]statusapi.JournalKind{
	distribution.ReportStartedAlone: statusapi.JournalStartedAlone,
	distribution.ReportWithdrawn:    statusapi.JournalSourceBehind,
	distribution.ReportSourceBehind: statusapi.JournalSourceBehind,
	distribution.ReportOldBase:      statusapi.JournalReleaseOldBase,
	distribution.ReportIncomplete:   statusapi.JournalReleaseRefused,
}

// RecordReport records a report of the distribution that changes no state.
func (c *Commander) RecordReport(r distribution.Report) {
	c.Log.Warn().Str("event", string(r.Kind)).
		Stringer("release", r.Version).
		Stringer("other", r.Other).
		Str("field", r.Field).
		Msg(r.Reason)
	if kind, known := distributionKinds[r.Kind]; known {
		c.record(statusapi.JournalEntry{Kind: kind, Cause: r.Reason, Release: r.Version, Other: r.Other, Service: r.Service, Field: r.Field})
	}
}

// ApplyVMList installs list if its revision is higher than the current one. It reports
// whether the VM list changed.
func (c *Commander) ApplyVMList(list *vmlist.List) bool {
	changed := c.State.ReplaceVMs(list)
	if changed {
		c.Log.Info().Str("event", "vm-list-applied").
			Uint64("revision", list.Revision).
			Int("vms", len(list.VMs)).
			Msg("VM list installed")
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

// ApplyView installs a membership view if it is newer than the current one.
func (c *Commander) ApplyView(view *membership.View) {
	c.State.ReplaceView(view)
}

// SetLeaving takes the node out of service or returns it to service, and announces the
// change to the other members.
func (c *Commander) SetLeaving(leaving bool, cause string) {
	c.State.SetLeaving(leaving)
	if c.Members != nil {
		c.Members.SetLeaving(leaving)
	}
	step := "refuses new calls: "
	if !leaving {
		step = "accepts new calls again: "
	}
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalDrainStep, Cause: step + cause})
}
