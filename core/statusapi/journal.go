package statusapi

import (
	"time"

	"auburnladder.example/core/release"
)

// JournalPath returns a Journal. The query parameter since=N limits it to entries with
// a number above N.
const JournalPath = "/v1/journal"

// Journal lists the latest events of a node with their causes, oldest entry first. The
// node keeps a bounded number of entries in memory.
type Journal struct {
	APIVersion string `json:"api_version"`
	VM         string `json:"vm"`
	// Dropped counts the requested entries that the node no longer holds.
	Dropped uint64         `json:"dropped"`
	Entries []JournalEntry `json:"entries"`
}

// JournalEntry is one event.
type JournalEntry struct {
	// Number is the sequence number of the entry, counted from 1 for each process.
	Number uint64      `json:"number"`
	At     time.Time   `json:"at"`
	Kind   JournalKind `json:"kind"`
	// Cause describes why the event happened. It is for display only.
	Cause string `json:"cause,omitempty"`
	// Release is the release that the event concerns.
	Release release.Version `json:"release,omitzero"`
	// Other is the second release of a conflict.
	Other release.Version `json:"other,omitzero"`
	// VM is another VM that the event concerns, such as that of an ejected server.
	VM      string `json:"vm,omitempty"`
	Service string `json:"service,omitempty"`
	// Field is the path of the invalid field in a refused release.
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
	// JournalReleaseOldBase means that an activated release was not compiled on top of
	// the release that it replaces.
	JournalReleaseOldBase JournalKind = "release-old-base"
	JournalVMListApplied  JournalKind = "vm-list-applied"
	JournalServerEjected  JournalKind = "server-ejected"
	// JournalServerLeaving means that a backend server announced in a response that it leaves.
	JournalServerLeaving JournalKind = "server-leaving"
	JournalDrainStep     JournalKind = "drain-step"
	// JournalDomainEvacuated and JournalDomainRestored mean that an evacuation of a failure domain began
	// or ended.
	JournalDomainEvacuated JournalKind = "domain-evacuated"
	JournalDomainRestored  JournalKind = "domain-restored"
	// JournalPaused means that the process was paused.
	JournalPaused JournalKind = "paused"
	// JournalReaderStarted and JournalReaderStopped mean that the node became a reader of
	// the platform, or is no longer one.
	JournalReaderStarted JournalKind = "reader-started"
	JournalReaderStopped JournalKind = "reader-stopped"
	// JournalSourceBehind means that the platform has an older release than the held one,
	// or none.
	JournalSourceBehind JournalKind = "source-behind"
	// JournalSourceFailed means that the platform stopped responding to this node.
	JournalSourceFailed JournalKind = "source-failed"
	// JournalStartedAlone means that the node activated its first release without a reply
	// from any peer.
	JournalStartedAlone JournalKind = "started-alone"
	// JournalSourceReturned means that the platform responds to this node again.
	JournalSourceReturned JournalKind = "source-returned"
)
