// Package distribution decides how releases and the VM list reach a node: which peers
// it talks to, whether it watches the platform, what it fetches from whom, and when a
// whole release is put in force.
//
// A Machine has no clock, no randomness and no I/O of its own. Its driver feeds it one
// event at a time and carries out the returned actions. Every event may be lost, late,
// repeated or out of order: versions are merged as a maximum and chunks are accepted by
// their digest, whoever sent them.
package distribution

import (
	"errors"
	"math/rand/v2"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// Phase is the state of a node with regard to its configuration.
type Phase uint8

const (
	// PhaseStarting means that no release is in force yet; no call may run.
	PhaseStarting Phase = iota
	// PhaseResyncing means that the process was paused and asks its peers for newer
	// versions; new calls wait.
	PhaseResyncing
	// PhaseServing means that the held release is in force.
	PhaseServing
)

// String returns the name used in logs and in the status.
func (p Phase) String() string {
	switch p {
	case PhaseResyncing:
		return "resyncing"
	case PhaseServing:
		return "serving"
	default:
		return "starting"
	}
}

// Machine is the state of one node. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	self  vmlist.VM
	trust *release.Trust
	rng   *rand.Rand

	phase    Phase
	lastStep time.Time
	inquiry  inquiry

	// held is the release in force, nil before the first one. Only apply changes it,
	// and only to a newer one.
	held     *release.Verified
	snapshot *mesh.Snapshot
	// history holds the newest manifests that were in force, oldest first.
	history    []*release.Verified
	chunks     chunkStore
	candidates map[release.Version]*candidate
	fetch      *fetch
	lastID     uint64
	refusals   refusals
	conflicts  []Conflict

	view       []vmlist.VM
	neighbours map[string]bool
	peers      map[string]*peer
	reader     bool
	primary    bool
	nextRepair time.Time

	list         *vmlist.List
	listData     []byte
	listFetch    *fetch
	listRetryAt  time.Time
	source       source
	announcement Versions

	actions []Action
}

// New returns the machine of the node on VM self. The node trusts releases approved by
// trust. All random choices come from rng.
func New(cfg Config, self vmlist.VM, trust *release.Trust, rng *rand.Rand) (*Machine, error) {
	if self.ID == "" || self.Domain == "" {
		return nil, errors.New("distribution: VM id or failure domain is missing")
	}
	if trust == nil {
		return nil, errors.New("distribution: no trusted keys")
	}
	m := &Machine{
		cfg:        cfg,
		self:       self,
		trust:      trust,
		rng:        rng,
		candidates: make(map[release.Version]*candidate),
		neighbours: make(map[string]bool),
		peers:      make(map[string]*peer),
		chunks:     make(chunkStore),
	}
	return m, nil
}

// Step handles one event at the time now and returns the actions to carry out, in
// order. The time must not go back.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.observeTime(now)
	m.handle(now, ev)
	m.runSource(now)
	m.pursue(now)
	m.pursueVMList(now)
	m.runInquiry(now)
	m.flushAnnouncements()
	return m.actions
}

// observeTime initializes the timers on the first step and detects pauses later on.
func (m *Machine) observeTime(now time.Time) {
	if m.lastStep.IsZero() {
		m.lastStep = now
		m.nextRepair = now.Add(m.jitter(m.cfg.AntiEntropyInterval))
		m.inquiry.reset(now)
		m.startSource(now)
		m.emit(SetPhase{Phase: PhaseStarting})
		return
	}
	gap := now.Sub(m.lastStep)
	m.lastStep = now
	if gap > m.cfg.PauseGap {
		m.resumeAfterPause(now, gap)
	}
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch e := ev.(type) {
	case Tick:
		m.repair(now)
	case ViewChanged:
		m.setView(now, e.VMs)
	case PeerUp:
		m.peerUp(e.Peer)
	case PeerDown:
		m.peerDown(e.Peer)
	case PeerUnreachable:
		m.peerUnreachable(e.Peer)
	case PeerVersions:
		m.peerVersions(e)
	case ManifestReceived:
		m.manifestReceived(e)
	case ChunksReceived:
		m.chunksReceived(e)
	case VMListReceived:
		m.vmListReceived(e)
	case FetchFailed:
		m.fetchFailed(e)
	case SourceValue:
		m.sourceValue(now, e)
	case SourceFailed:
		m.sourceFailed(now, e.Call)
	}
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// jitter returns a random duration between half of d and one and a half of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + m.upTo(d)
}

// upTo returns a random duration from 0 to d.
func (m *Machine) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

// backoff returns the jittered delay before attempt number failures+1.
func (m *Machine) backoff(failures int, least, most time.Duration) time.Duration {
	d := least
	for i := 1; i < failures && d < most; i++ {
		d *= 2
	}
	return m.jitter(min(d, most))
}

// versions returns what the node holds.
func (m *Machine) versions() Versions {
	var v Versions
	if m.held != nil {
		v.Held = m.held.Version
	}
	if m.list != nil {
		v.VMList = m.list.Revision
	}
	return v
}
