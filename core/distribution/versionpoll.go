package distribution

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnladder.example/core/release"
)

// queryRetryInterval is the mean interval at which a version query without a reply is
// repeated.
const queryRetryInterval = 400 * time.Millisecond

// versionPoll is the state of a poll of several peers for their versions, made at start
// and after a process pause.
type versionPoll struct {
	startedAt time.Time
	// pending holds the peers that have not replied yet. The value is true if a reply is
	// still expected, false if the peer was unreachable at the last attempt.
	pending map[string]bool
	// queried holds all peers that were queried. replies is the number of those that
	// replied.
	queried map[string]bool
	replies int
	// nextRetry is when the pending peers are queried again.
	nextRetry time.Time
	// sourceResponded is set once the platform responded to a read of the current
	// release.
	sourceResponded bool
}

func (q *versionPoll) reset(now time.Time) {
	*q = versionPoll{startedAt: now, pending: make(map[string]bool), queried: make(map[string]bool)}
}

// markQueried records a query to a peer. It returns false if the peer was already
// queried.
func (q *versionPoll) markQueried(id string) bool {
	if q.queried[id] {
		return false
	}
	q.queried[id] = true
	q.pending[id] = true
	return true
}

func (q *versionPoll) markReplied(id string) {
	if _, isPending := q.pending[id]; isPending {
		delete(q.pending, id)
		q.replies++
	}
}

// markUnreachable records that a pending peer is unreachable. It still counts if it
// replies to a retry.
func (q *versionPoll) markUnreachable(id string) {
	if q.pending[id] {
		q.pending[id] = false
	}
}

// complete reports whether at least one peer replied and every other queried peer replied
// or is unreachable.
func (q *versionPoll) complete() bool {
	for _, mayReply := range q.pending {
		if mayReply {
			return false
		}
	}
	return q.replies > 0
}

// queryPeers queries the neighbours for their versions, then random other VMs up to
// Config.StartPeers peers in total, from as many failure domains as possible.
func (m *Machine) queryPeers() {
	for _, id := range slices.Sorted(maps.Keys(m.neighbours)) {
		m.queryPeer(id)
	}
	vms := m.otherVMs()
	m.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, distinct := range []bool{true, false} {
		seen := make(map[string]bool)
		for i := range vms {
			if len(m.poll.queried) >= m.cfg.StartPeers {
				return
			}
			if distinct && seen[vms[i].Domain] {
				continue
			}
			seen[vms[i].Domain] = true
			m.queryPeer(vms[i].ID)
		}
	}
}

// queryPeer queries a peer for its versions unless it was already queried in this poll.
func (m *Machine) queryPeer(id string) {
	if m.poll.markQueried(id) {
		m.emit(Exchange{Peer: id})
	}
}

// canStartWith reports whether a starting node may activate v. Within StartAloneWait it
// may not if a peer announced a newer release that was not refused.
func (m *Machine) canStartWith(now time.Time, v release.Version) bool {
	if now.Sub(m.poll.startedAt) >= m.cfg.StartAloneWait {
		return true
	}
	for _, p := range m.peers {
		if p.versions.Held.Newer(v) && !m.refusals.contains(p.versions.Held.Digest) {
			return false
		}
	}
	return m.startupPollDone(now)
}

// startupPollDone reports whether a starting node has waited long enough for its peers
// and the source to activate the newest release that it knows.
func (m *Machine) startupPollDone(now time.Time) bool {
	q := &m.poll
	elapsed := now.Sub(q.startedAt)
	switch {
	case elapsed >= m.cfg.StartAloneWait:
		return true
	case elapsed >= m.cfg.StartWait && q.replies > 0:
		return true
	case len(m.view) == 1:
		return q.sourceResponded
	case m.vmList == nil, m.reader && !q.sourceResponded:
		return false
	default:
		return q.complete()
	}
}

// runPoll repeats queries without a reply and ends the resync phase after a process
// pause. The phase ends once the poll is complete or ResyncWait has passed, and nothing
// is left to fetch or ResyncMax has passed.
func (m *Machine) runPoll(now time.Time) {
	if m.phase == PhaseServing {
		return
	}
	m.retryQueries(now)
	if m.phase != PhaseResyncing {
		return
	}
	elapsed := now.Sub(m.poll.startedAt)
	polled := m.poll.complete() || elapsed >= m.cfg.ResyncWait
	if !polled || (m.selectCandidate(now) != nil && elapsed < m.cfg.ResyncMax) {
		return
	}
	m.setPhase(PhaseServing)
	m.announceToNeighbours()
}

// retryQueries periodically queries the pending peers again.
func (m *Machine) retryQueries(now time.Time) {
	q := &m.poll
	if now.Before(q.nextRetry) {
		return
	}
	if !q.nextRetry.IsZero() {
		for _, id := range slices.Sorted(maps.Keys(q.pending)) {
			m.emit(Exchange{Peer: id})
		}
	}
	q.nextRetry = now.Add(m.jitter(queryRetryInterval))
}

// resumeAfterPause discards the peer versions and outstanding requests from before a
// process pause, queries the peers again and enters the resync phase.
func (m *Machine) resumeAfterPause(now time.Time, gap time.Duration) {
	m.emit(Report{Kind: ReportPaused, Reason: fmt.Sprintf("process was paused for %s", gap.Round(time.Millisecond))})
	m.poll.reset(now)
	m.fetch, m.vmListFetch = nil, nil
	m.source.dropCalls()
	for _, p := range m.peers {
		p.versions = Versions{}
	}
	for _, c := range m.candidates {
		c.startRound()
		c.retryAt = time.Time{}
	}
	if m.phase == PhaseServing {
		m.setPhase(PhaseResyncing)
	}
	m.queryPeers()
}

// setPhase enters phase p. It reports a start without a reply from any peer.
func (m *Machine) setPhase(p Phase) {
	if m.phase == PhaseStarting && m.poll.replies == 0 && len(m.view) > 1 {
		m.emit(Report{Kind: ReportStartedAlone, Version: m.versions().Held, Reason: "release activated without a reply from any peer"})
	}
	m.phase = p
	m.emit(SetPhase{Phase: p})
}

// detectConflicts records a conflict between v and each known release that has the same
// sequence number.
func (m *Machine) detectConflicts(v release.Version, verified bool) {
	for _, known := range m.knownReleases() {
		if known.Sequence != v.Sequence || known.Digest == v.Digest {
			continue
		}
		m.recordConflict(newConflict(known, v, verified))
	}
}

// knownReleases returns the versions in the history and of the candidates with a verified
// manifest.
func (m *Machine) knownReleases() []release.Version {
	var known []release.Version
	for _, v := range m.history {
		known = append(known, v.Version)
	}
	for _, c := range m.candidates {
		if c.verified != nil {
			known = append(known, c.version)
		}
	}
	return known
}

// recordConflict adds a conflict to the status and reports it once.
func (m *Machine) recordConflict(c Conflict) {
	for i, old := range m.conflicts {
		if old.Winner == c.Winner && old.Loser == c.Loser {
			m.conflicts[i].Verified = old.Verified || c.Verified
			return
		}
	}
	if len(m.conflicts) == maxConflicts {
		m.conflicts = m.conflicts[1:]
	}
	m.conflicts = append(m.conflicts, c)
	m.emit(Report{Kind: ReportConflict, Version: c.Winner, Other: c.Loser, Reason: "two releases have the same sequence number"})
}
