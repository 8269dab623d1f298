package statusapi

import (
	"time"

	"auburnladder.example/core/release"
)

// JournalPath answers with a Journal. The query parameter since=N leaves out entries
// up to number N.
const JournalPath = "/v1/journal"

// Journal is what a node did and why, oldest entry first.
type Journal struct {
	APIVersion string `json:"api_version"`
	VM         string `json:"vm"`
	// Dropped counts older entries that the node no longer holds.
	Dropped uint64         `json:"dropped"`
	Entries []JournalEntry `json:"entries"`
}

// JournalEntry is one event.
type JournalEntry struct {
	// Number counts the entries of one process from 1.
	Number uint64      `json:"number"`
	At     time.Time   `json:"at"`
	Kind   JournalKind `json:"kind"`
	// Cause says why it happened, for people.
	Cause string `json:"cause,omitempty"`
	// Release is the release that the event is about.
	Release release.Version `json:"release,omitzero"`
	// Other is the second release of a conflict.
	Other release.Version `json:"other,omitzero"`
	// VM is another VM that the event is about, such as an ejected server's.
	VM      string `json:"vm,omitempty"`
	Service string `json:"service,omitempty"`
	// Field is the path of the field at fault in a refused release.
	Field string `json:"field,omitempty"`
}

// JournalKind classifies journal entries.
type JournalKind string

// Kinds of journal entries.
const (
	JournalStarted         JournalKind = "started"
	JournalReleaseApplied  JournalKind = "release-applied"
	JournalReleaseRefused  JournalKind = "release-refused"
	JournalReleaseConflict JournalKind = "release-conflict"
	// JournalReleaseOldBase is a release that was not compiled on the one it replaces.
	JournalReleaseOldBase JournalKind = "release-old-base"
	JournalVMListApplied  JournalKind = "vm-list-applied"
	JournalServerEjected  JournalKind = "server-ejected"
	JournalDrainStep      JournalKind = "drain-step"
	// JournalPaused is a process that did not run for a while.
	JournalPaused        JournalKind = "paused"
	JournalReaderStarted JournalKind = "reader-started"
	JournalReaderStopped JournalKind = "reader-stopped"
	// JournalSourceBehind is a value of the platform that is older than what is held.
	JournalSourceBehind JournalKind = "source-behind"
	JournalSourceFailed JournalKind = "source-failed"
	// JournalStartedAlone is a start without an answer from any peer.
	JournalStartedAlone   JournalKind = "started-alone"
	JournalSourceReturned JournalKind = "source-returned"
)
