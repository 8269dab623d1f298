package distribution

import (
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// Action is something that the driver has to do.
type Action interface{ action() }

// SetNeighbours replaces the peers to which the driver keeps sessions open.
type SetNeighbours struct{ VMs []vmlist.VM }

// Announce tells a peer what this node holds. The peer's answer is reported as
// PeerVersions.
type Announce struct {
	Peer     string
	Versions Versions
}

// Exchange asks a peer what it holds, over a session that may have to be opened. It is
// answered by PeerVersions or PeerUnreachable.
type Exchange struct{ Peer string }

// FetchManifest asks a peer for the manifest of Wanted, as a delta to Base if Base is
// not zero. It is answered by ManifestReceived or FetchFailed.
type FetchManifest struct {
	Fetch  uint64
	Peer   string
	Wanted release.Version
	Base   release.Version
}

// FetchChunks asks a peer for chunks. It is answered by ChunksReceived or FetchFailed.
type FetchChunks struct {
	Fetch   uint64
	Peer    string
	Digests []release.Digest
}

// FetchVMList asks a peer for its VM list. It is answered by VMListReceived or
// FetchFailed.
type FetchVMList struct {
	Fetch uint64
	Peer  string
}

// ReadSource reads a key at the platform. With Wait set the call returns when the
// revision of the key differs from After, or unchanged after Config.WatchWait.
type ReadSource struct {
	Call  uint64
	Key   string
	Wait  bool
	After uint64
}

// Apply puts a whole release in force.
type Apply struct{ Snapshot *mesh.Snapshot }

// ApplyVMList hands a newer VM list to the membership.
type ApplyVMList struct{ List *vmlist.List }

// SetPhase tells the request path whether it may run calls.
type SetPhase struct{ Phase Phase }

// Report states something that operators should find in the log and journal.
type Report struct {
	Kind    ReportKind
	Version release.Version
	// Other is the second release of a conflict, or the release in force.
	Other release.Version
	Peer  string
	// Service and Field name what is not valid, if known.
	Service string
	Field   string
	Reason  string
}

// ReportKind classifies reports.
type ReportKind string

// Kinds of reports.
const (
	// ReportRefused is a release or list that is not valid or not approved.
	ReportRefused ReportKind = "refused"
	// ReportConflict is two releases with one sequence number.
	ReportConflict ReportKind = "conflict"
	// ReportOldBase is a release that was not compiled on the one it replaces.
	ReportOldBase ReportKind = "old-base"
	// ReportWithdrawn is a value that the platform no longer holds.
	ReportWithdrawn ReportKind = "withdrawn"
	// ReportSourceBehind is a value at the platform that is older than the held one.
	ReportSourceBehind ReportKind = "source-behind"
	// ReportIncomplete is a release with chunks that neither peers nor source provide.
	ReportIncomplete ReportKind = "incomplete"
	// ReportPaused is a process that did not run for a while.
	ReportPaused ReportKind = "paused"
	// ReportStartedAlone is a start without an answer from any peer.
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
