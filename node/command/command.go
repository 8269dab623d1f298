// Package command changes the state of a node: it activates releases, installs VM lists and
// membership views, and takes the node out of service. It also logs and journals these changes
// and the events of the distribution that change nothing. Package query reads the state.
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

// Commander applies changes to one node's state. Its fields must be set before its methods are
// called; the methods are safe for concurrent use.
type Commander struct {
	State *state.State
	Log   zerolog.Logger
	// Members receives each VM list that was applied and each change of the leaving
	// state; nil if the node runs no failure detector.
	Members Members
	// Journal receives an entry for each change and event; may be nil.
	Journal Journal
	// Now returns the time that is stored as the activation time of a release.
	Now func() time.Time
}

// Members is the failure detector, which probes the VMs of the VM list and announces the
// leaving state of this node to them.
type Members interface {
	// ReplaceList replaces the VMs that are probed.
	ReplaceList(list *vmlist.List)
	// SetLeaving sets whether the node is announced as leaving.
	SetLeaving(leaving bool)
}

// Journal keeps events for operators. query.Journal implements it.
type Journal interface {
	// Record appends e. It is called from several goroutines.
	Record(e statusapi.JournalEntry)
}

func (c *Commander) record(e statusapi.JournalEntry) {
	if c.Journal != nil {
		c.Journal.Record(e)
	}
}

// ApplyRelease activates snap unless the node holds the same or a newer release, and logs and
// journals the activation. It reports whether the active release changed.
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

// RefuseRelease records that release v was refused because of reason; the active release
// stays. If reason is a mesh.FieldError, the log line and the journal entry name the service
// and the field at fault.
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

// RecordConflict records that two different releases have the same sequence number. All nodes
// keep the same one of them: the one with the higher digest.
func (c *Commander) RecordConflict(kept, dropped release.Version) {
	c.Log.Warn().Str("event", "release-conflict").
		Stringer("release", kept).
		Stringer("other", dropped).
		Msg("two releases have the same sequence number; the other one was dropped")
	c.record(statusapi.JournalEntry{
		Kind:    statusapi.JournalReleaseConflict,
		Cause:   "two releases have one sequence number",
		Release: kept,
		Other:   dropped,
	})
}

// RecordPause records that the process was paused; reason is the journal entry's cause.
func (c *Commander) RecordPause(reason string) {
	c.Log.Warn().Str("event", "paused").Msg(reason)
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalPaused, Cause: reason})
}

// RecordReaderChange records that this node started (reader is true) or stopped being a reader,
// which is a node that watches the platform service itself.
func (c *Commander) RecordReaderChange(reader bool) {
	c.Log.Info().Str("event", "reader-changed").Bool("reader", reader).Msg("reader role changed because the live VMs of the failure domain changed")
	kind := statusapi.JournalReaderStopped
	if reader {
		kind = statusapi.JournalReaderStarted
	}
	c.record(statusapi.JournalEntry{Kind: kind, Cause: "the live VMs of the domain changed"})
}

// RecordSourceFailure records that the source, which is the platform service or a key-value
// store, does not respond to this node. The caller reports an outage once, not each call.
func (c *Commander) RecordSourceFailure(err error) {
	c.Log.Warn().Str("event", "source-failed").Err(err).Msg("source of releases does not respond; releases are fetched from peers")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalSourceFailed, Cause: err.Error()})
}

// RecordSourceRecovery records that the source responds to this node again.
func (c *Commander) RecordSourceRecovery() {
	c.Log.Info().Str("event", "source-returned").Msg("source of releases responds again")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalSourceReturned})
}

// distributionKinds maps the kinds of distribution reports to kinds of journal entries.
// RecordReport only logs reports of other kinds.
var distributionKinds = map[distribution.ReportKind]statusapi.JournalKind{
	distribution.ReportStartedAlone: statusapi.JournalStartedAlone,
	distribution.ReportWithdrawn:    statusapi.JournalSourceBehind,
	distribution.ReportSourceBehind: statusapi.JournalSourceBehind,
	distribution.ReportOldBase:      statusapi.JournalReleaseOldBase,
	distribution.ReportIncomplete:   statusapi.JournalReleaseRefused,
}

// RecordReport logs a report of the distribution that changes no state, and journals it if
// distributionKinds contains its kind.
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

// ApplyVMList installs list if its revision is higher than the current one, and passes it to
// the failure detector. It reports whether the VM list changed.
func (c *Commander) ApplyVMList(list *vmlist.List) bool {
	changed := c.State.ReplaceVMs(list)
	if changed {
		c.Log.Info().Str("event", "vm-list-applied").
			Uint64("revision", list.Revision).
			Int("vms", len(list.VMs)).
			Msg("VM list applied")
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

// ApplyView installs a membership view if it is newer than the current one. It neither logs
// nor journals the view.
func (c *Commander) ApplyView(view *membership.View) {
	c.State.ReplaceView(view)
}

// RecordLeavingServer excludes a run of a backend server from new requests for good, because the
// server announced in a response that it leaves.
func (c *Commander) RecordLeavingServer(run vmlist.Run) {
	if !c.State.AddLeavingServer(run) {
		return
	}
	c.Log.Info().Str("event", "server-leaving").Str("instance", run.Instance).Int64("started_at_ms", run.StartedAtMs).
		Msg("backend server announced that it leaves; it gets no new requests")
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalServerLeaving, Cause: "instance " + run.Instance + " announced it in a response"})
}

// SetLeaving takes the node out of service or returns it to service, announces the change to
// the other members, and journals it with cause.
func (c *Commander) SetLeaving(leaving bool, cause string) {
	c.State.SetLeaving(leaving)
	if c.Members != nil {
		c.Members.SetLeaving(leaving)
	}
	prefix := "refuses new calls: "
	if !leaving {
		prefix = "accepts new calls again: "
	}
	c.record(statusapi.JournalEntry{Kind: statusapi.JournalDrainStep, Cause: prefix + cause})
}
