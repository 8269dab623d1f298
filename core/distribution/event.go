package distribution

import (
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// Versions describes what a node holds, as sent to its peers.
type Versions struct {
	// Held is the version of the held release, zero if the node holds none.
	Held release.Version
	// VMList is the platform's revision of the held VM list, 0 if the node holds none.
	VMList uint64
}

// merge returns the field-wise maximum of v and w.
func (v Versions) merge(w Versions) Versions {
	if w.Held.Newer(v.Held) {
		v.Held = w.Held
	}
	v.VMList = max(v.VMList, w.VMList)
	return v
}

// Event is an input of a Machine, passed to Step by the driver.
type Event interface{ event() }

// Tick reports that time has passed. The driver sends one every TickInterval.
type Tick struct{}

// ViewChanged replaces the node's view of the live VMs. VMs may or may not include the
// node itself.
type ViewChanged struct{ VMs []vmlist.VM }

// PeerUp reports that a session with a peer was established, by either side.
type PeerUp struct{ Peer string }

// PeerDown reports that the last session with a peer ended.
type PeerDown struct{ Peer string }

// PeerUnreachable reports that no session with a peer could be opened, or that the peer
// did not reply on an open one.
type PeerUnreachable struct{ Peer string }

// PeerVersions reports what a peer holds, as stated by the peer itself.
type PeerVersions struct {
	Peer     string
	Versions Versions
	// Neighbour is set if the versions came in an announcement from the peer. Such a peer
	// counts this node among its neighbours and expects announcements from it.
	Neighbour bool
}

// ManifestReceived is a peer's reply to FetchManifest. At most one of Approved and Delta
// is set; both are nil if the peer does not have the manifest.
type ManifestReceived struct {
	Fetch    uint64
	Peer     string
	Approved *release.Approved
	Delta    *release.Delta
}

// ChunksReceived is a peer's reply to FetchChunks. It omits chunks that the peer does not
// have.
type ChunksReceived struct {
	Fetch  uint64
	Peer   string
	Chunks [][]byte
}

// VMListReceived is a peer's reply to FetchVMList. Data is empty if the peer holds no
// list.
type VMListReceived struct {
	Fetch    uint64
	Peer     string
	Revision uint64
	Data     []byte
}

// FetchFailed reports that a fetch ended without a reply from the peer.
type FetchFailed struct {
	Fetch uint64
	Peer  string
}

// SourceValue is the platform's response to ReadSource.
type SourceValue struct {
	Call     uint64
	Key      string
	Revision uint64
	// Unchanged is set if a watch ended without a change. The value is not set then.
	Unchanged bool
	Found     bool
	Value     []byte
}

// SourceFailed reports that a ReadSource ended without a response from the platform.
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
