// Package distribution implements the state machine that distributes releases and the VM
// list to a node. It decides which peers the node connects to, whether the node watches
// the platform, which data it fetches from which peer, and when a complete release
// becomes active.
//
// A Machine has no clock, no I/O and no source of randomness of its own. Its driver
// passes in one event at a time and executes the returned actions. Events may be lost,
// delayed, duplicated or reordered: versions are merged by maximum, and chunks are
// accepted by digest regardless of the sender.
package distribution

import (
	"errors"
	"math/rand/v2"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// Phase is the configuration phase of a node. It decides whether the node runs calls.
type Phase uint8

const (
	// PhaseStarting means that no release is active yet. The node runs no calls.
	PhaseStarting Phase = iota
	// PhaseResyncing means that the node queries its peers for newer versions after a
	// process pause. New calls wait.
	PhaseResyncing
	// PhaseServing means that the held release is active and the node runs calls.
	PhaseServing
)

// String returns the name of the phase as used in logs and in the status.
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

// Machine is the distribution state machine of one node. It is not safe for concurrent
// use.
type Machine struct {
	cfg   Config
	self  vmlist.VM
	trust *release.Trust
	rng   *rand.Rand

	phase      Phase
	lastStepAt time.Time
	poll       versionPoll

	// held is the active release, nil before the first one. Only setHeld changes it, and
	// only to a newer version.
	held     *release.Verified
	snapshot *mesh.Snapshot
	// history holds the most recently activated manifests, oldest first.
	history    []*release.Verified
	chunks     chunkStore
	candidates map[release.Version]*candidate
	fetch      *fetch
	lastID     uint64
	refusals   refusals
	conflicts  []Conflict

	// view holds the live VMs, including the node itself.
	view       []vmlist.VM
	neighbours map[string]bool
	peers      map[string]*peer
	// reader and primaryReader are the role of the node in reading from the platform.
	reader          bool
	primaryReader   bool
	nextAntiEntropy time.Time

	vmList        *vmlist.List
	vmListData    []byte
	vmListFetch   *fetch
	vmListRetryAt time.Time
	source        source
	// lastAnnounced holds the versions in the last announcement to all peers that expect
	// announcements.
	lastAnnounced Versions

	// actions collects the result of the current step.
	actions []Action
}

// New returns the state machine of the node on VM self. Releases must be approved by a
// key in trust. All random choices are drawn from rng. New fails if self has no id or
// failure domain, or if trust is nil.
func New(cfg Config, self vmlist.VM, trust *release.Trust, rng *rand.Rand) (*Machine, error) {
	if self.ID == "" || self.Domain == "" {
		return nil, errors.New("distribution: local VM has no id or no failure domain")
	}
	if trust == nil {
		return nil, errors.New("distribution: trusted approval keys are missing")
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

// Step handles one event at the time now and returns the actions to execute, in order.
// now must not be earlier than in the previous step.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.observeTime(now)
	m.handleEvent(now, ev)
	m.runSource(now)
	m.fetchReleases(now)
	m.fetchVMList(now)
	m.runPoll(now)
	m.flushAnnouncements()
	return m.actions
}

// observeTime initializes the timers on the first step and detects process pauses on
// later ones.
func (m *Machine) observeTime(now time.Time) {
	if m.lastStepAt.IsZero() {
		m.lastStepAt = now
		m.nextAntiEntropy = now.Add(m.jitter(m.cfg.AntiEntropyInterval))
		m.poll.reset(now)
		m.startSource(now)
		m.emit(SetPhase{Phase: PhaseStarting})
		return
	}
	gap := now.Sub(m.lastStepAt)
	m.lastStepAt = now
	if gap > m.cfg.PauseGap {
		m.resumeAfterPause(now, gap)
	}
}

func (m *Machine) handleEvent(now time.Time, ev Event) {
	switch e := ev.(type) {
	case Tick:
		m.runAntiEntropy(now)
	case ViewChanged:
		m.setView(now, e.VMs)
	case PeerUp:
		m.handlePeerUp(e.Peer)
	case PeerDown:
		m.handlePeerDown(e.Peer)
	case PeerUnreachable:
		m.handlePeerUnreachable(e.Peer)
	case PeerVersions:
		m.handlePeerVersions(e)
	case ManifestReceived:
		m.handleManifest(e)
	case ChunksReceived:
		m.handleChunks(e)
	case VMListReceived:
		m.handleVMList(e)
	case FetchFailed:
		m.handleFetchFailed(e)
	case SourceValue:
		m.handleSourceValue(now, e)
	case SourceFailed:
		m.handleSourceFailed(now, e.Call)
	}
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// jitter returns a random duration between 0.5*d and 1.5*d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + m.randomUpTo(d)
}

// randomUpTo returns a random duration in [0, d).
func (m *Machine) randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

// backoff returns the jittered exponential delay before the next attempt after the given
// number of failures. The delay without jitter is between minDelay and maxDelay.
func (m *Machine) backoff(failures int, minDelay, maxDelay time.Duration) time.Duration {
	delay := minDelay
	for i := 1; i < failures && delay < maxDelay; i++ {
		delay *= 2
	}
	return m.jitter(min(delay, maxDelay))
}

// versions returns the versions that the node holds.
func (m *Machine) versions() Versions {
	var v Versions
	if m.held != nil {
		v.Held = m.held.Version
	}
	if m.vmList != nil {
		v.VMList = m.vmList.Revision
	}
	return v
}
