package distribution

import (
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// Versions is what a node tells its peers that it holds.
type Versions struct {
	Held release.Version
	// VMList is the platform's revision of the VM list, 0 if none is held.
	VMList uint64
}

// merge returns the newer of each part of v and w.
func (v Versions) merge(w Versions) Versions {
	if w.Held.Newer(v.Held) {
		v.Held = w.Held
	}
	v.VMList = max(v.VMList, w.VMList)
	return v
}

// Event is something that happened to the node.
type Event interface{ event() }

// Tick reports that time has passed. The driver sends one every TickInterval.
type Tick struct{}

// ViewChanged replaces the node's view of the live VMs. The node itself may be in it.
type ViewChanged struct{ VMs []vmlist.VM }

// PeerUp reports that a session to a peer is established, by either end.
type PeerUp struct{ Peer string }

// PeerDown reports that the last session to a peer ended.
type PeerDown struct{ Peer string }

// PeerUnreachable reports that no session to a peer could be opened, or that it gave no
// answer over an open one.
type PeerUnreachable struct{ Peer string }

// PeerVersions reports what a peer holds, as told by the peer itself.
type PeerVersions struct {
	Peer     string
	Versions Versions
	// Neighbour is set when the peer announced unasked: it counts this node among its
	// neighbours and expects announcements in return.
	Neighbour bool
}

// ManifestReceived is a peer's answer to FetchManifest: Approved, Delta or neither.
type ManifestReceived struct {
	Fetch    uint64
	Peer     string
	Approved *release.Approved
	Delta    *release.Delta
}

// ChunksReceived is a peer's answer to FetchChunks. Chunks that the peer lacks are
// left out.
type ChunksReceived struct {
	Fetch  uint64
	Peer   string
	Chunks [][]byte
}

// VMListReceived is a peer's answer to FetchVMList.
type VMListReceived struct {
	Fetch    uint64
	Peer     string
	Revision uint64
	Data     []byte
}

// FetchFailed reports that a peer gave no answer to a fetch.
type FetchFailed struct {
	Fetch uint64
	Peer  string
}

// SourceValue is the platform's answer to ReadSource.
type SourceValue struct {
	Call     uint64
	Key      string
	Revision uint64
	// Unchanged is set when a watch ended without a change.
	Unchanged bool
	Found     bool
	Value     []byte
}

// SourceFailed reports that the platform gave no answer to ReadSource.
type SourceFailed struct {
	Call uint64
	Key  string
}

func (Tick) event()             {}
func (ViewChanged) event()      {}
func (PeerUp) event()           {}
func (PeerDown) event()         {}
func (PeerUnreachable) event()  {}
func (PeerVersions) event()     {}
func (ManifestReceived) event() {}
func (ChunksReceived) event()   {}
func (VMListReceived) event()   {}
func (FetchFailed) event()      {}
func (SourceValue) event()      {}
func (SourceFailed) event()     {}
