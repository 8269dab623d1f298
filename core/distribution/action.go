package distribution

import (
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// Action is an output of a Machine, executed by the driver.
type Action interface{ action() }

// SetNeighbours replaces the set of peers with which the driver keeps sessions open.
type SetNeighbours struct{ VMs []vmlist.VM }

// Announce sends this node's versions to a peer. The peer's reply is reported as
// PeerVersions.
type Announce struct {
	Peer     string
	Versions Versions
}

// Exchange queries a peer for its versions and opens a session if necessary. The result
// is reported as PeerVersions or PeerUnreachable.
type Exchange struct{ Peer string }

// FetchManifest requests the manifest of Wanted from a peer, as a delta to Base if Base
// is not zero. The result is reported as ManifestReceived or FetchFailed.
type FetchManifest struct {
	Fetch  uint64
	Peer   string
	Wanted release.Version
	Base   release.Version
}

// FetchChunks requests chunks from a peer. The result is reported as ChunksReceived or
// FetchFailed.
type FetchChunks struct {
	Fetch   uint64
	Peer    string
	Digests []release.Digest
}

// FetchVMList requests the VM list of a peer. The result is reported as VMListReceived or
// FetchFailed.
type FetchVMList struct {
	Fetch uint64
	Peer  string
}

// ReadSource reads a key from the platform. If Wait is set, the call is a watch: it
// returns when the revision of the key differs from After, or unchanged after
// Config.WatchWait. The result is reported as SourceValue or SourceFailed.
type ReadSource struct {
	Call  uint64
	Key   string
	Wait  bool
	After uint64
}

// Apply activates a complete release.
type Apply struct{ Snapshot *mesh.Snapshot }

// ApplyVMList passes a newer VM list to the membership.
type ApplyVMList struct{ List *vmlist.List }

// SetPhase reports a new phase to the request path, which runs calls only in
// PhaseServing.
type SetPhase struct{ Phase Phase }

// Report is an incident for operators, to be written to the log and the journal.
type Report struct {
	Kind    ReportKind
	Version release.Version
	// Other is the losing release of a conflict, or the active release.
	Other release.Version
	// Peer is the peer that sent refused content. It is empty if the content came from
	// the platform, and for all other kinds.
	Peer string
	// Service and Field identify the invalid part of the release, if known.
	Service string
	Field   string
	Reason  string
}

// ReportKind classifies reports. The values are written to the log.
type ReportKind string

// Kinds of reports.
const (
	// ReportRefused means that a release or VM list is invalid or not approved.
	ReportRefused ReportKind = "refused"
	// ReportConflict means that two releases have the same sequence number.
	ReportConflict ReportKind = "conflict"
	// ReportOldBase means that an activated release was not compiled on top of the
	// release that it replaces.
	ReportOldBase ReportKind = "old-base"
	// ReportWithdrawn means that the platform no longer has a current release.
	ReportWithdrawn ReportKind = "withdrawn"
	// ReportSourceBehind means that the current release at the platform is older than the
	// held one.
	ReportSourceBehind ReportKind = "source-behind"
	// ReportIncomplete means that neither the peers nor the platform provided all chunks
	// of a release.
	ReportIncomplete ReportKind = "incomplete"
	// ReportPaused means that the process was paused for longer than Config.PauseGap.
	ReportPaused ReportKind = "paused"
	// ReportStartedAlone means that the node activated its first release without a reply
	// from any peer.
	ReportStartedAlone ReportKind = "started-alone"
)

func (SetNeighbours) action() {}
func (Announce) action()      {}
func (Exchange) action()      {}
func (FetchManifest) action() {}
func (FetchChunks) action()   {}
func (FetchVMList) action()   {}
func (ReadSource) action()    {}
func (Apply) action()         {}
func (ApplyVMList) action()   {}
func (SetPhase) action()      {}
func (Report) action()        {}
