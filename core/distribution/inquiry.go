package distribution

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnladder.example/core/release"
)

// askInterval is the mean time after which a question without an answer is repeated.
const askInterval = 400 * time.Millisecond

// inquiry is the question to several peers for what they hold, at the start and after
// a pause.
type inquiry struct {
	began time.Time
	// open holds the peers that have not answered yet: true if they may still answer,
	// false if they could not be reached so far.
	open map[string]bool
	// asked and replies count the peers that were asked and that answered.
	asked   map[string]bool
	replies int
	// nextAsk is when peers that have not answered are asked again.
	nextAsk time.Time
	// sourceAnswered is set once the platform answered a read of the current release.
	sourceAnswered bool
}

func (q *inquiry) reset(now time.Time) {
	*q = inquiry{began: now, open: make(map[string]bool), asked: make(map[string]bool)}
}

func (q *inquiry) ask(id string) bool {
	if q.asked[id] {
		return false
	}
	q.asked[id] = true
	q.open[id] = true
	return true
}

func (q *inquiry) answered(id string) {
	if _, waiting := q.open[id]; waiting {
		delete(q.open, id)
		q.replies++
	}
}

// failed notes that a peer can't be reached for now.
func (q *inquiry) failed(id string) {
	if q.open[id] {
		q.open[id] = false
	}
}

// complete reports whether all asked peers answered or can't be reached, and at least
// one answered.
func (q *inquiry) complete() bool {
	for _, mayAnswer := range q.open {
		if mayAnswer {
			return false
		}
	}
	return q.replies > 0
}

// askPeers asks the neighbours and more VMs, from as many failure domains as possible,
// for what they hold.
func (m *Machine) askPeers() {
	for _, id := range slices.Sorted(maps.Keys(m.neighbours)) {
		m.ask(id)
	}
	others := m.others()
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, distinct := range []bool{true, false} {
		seen := make(map[string]bool)
		for i := range others {
			if len(m.inquiry.asked) >= m.cfg.StartAsk {
				return
			}
			if distinct && seen[others[i].Domain] {
				continue
			}
			seen[others[i].Domain] = true
			m.ask(others[i].ID)
		}
	}
}

func (m *Machine) ask(id string) {
	if m.inquiry.ask(id) {
		m.emit(Exchange{Peer: id})
	}
}

// mayStartWith reports whether a starting node may put v in force. It may not as long as
// a peer claims to hold a newer release that was not refused, within StartAloneWait.
func (m *Machine) mayStartWith(now time.Time, v release.Version) bool {
	if now.Sub(m.inquiry.began) >= m.cfg.StartAloneWait {
		return true
	}
	for _, p := range m.peers {
		if p.versions.Held.Newer(v) && !m.refusals.has(p.versions.Held.Digest) {
			return false
		}
	}
	return m.inquiryDone(now)
}

// inquiryDone reports whether a starting node may put in force what it knows.
func (m *Machine) inquiryDone(now time.Time) bool {
	q := &m.inquiry
	elapsed := now.Sub(q.began)
	switch {
	case elapsed >= m.cfg.StartAloneWait:
		return true
	case elapsed >= m.cfg.StartWait && q.replies > 0:
		return true
	case len(m.view) == 1:
		return q.sourceAnswered
	case m.list == nil, m.reader && !q.sourceAnswered:
		return false
	default:
		return q.complete()
	}
}

// runInquiry repeats lost questions and ends the re-sync after a pause.
func (m *Machine) runInquiry(now time.Time) {
	if m.phase == PhaseServing {
		return
	}
	m.askAgain(now)
	if m.phase != PhaseResyncing {
		return
	}
	elapsed := now.Sub(m.inquiry.began)
	asked := m.inquiry.complete() || elapsed >= m.cfg.ResyncWait
	if !asked || (m.target(now) != nil && elapsed < m.cfg.ResyncMax) {
		return
	}
	m.setPhase(PhaseServing)
	m.announceToNeighbours()
}

// askAgain repeats the question to peers that have not answered.
func (m *Machine) askAgain(now time.Time) {
	q := &m.inquiry
	if now.Before(q.nextAsk) {
		return
	}
	if !q.nextAsk.IsZero() {
		for _, id := range slices.Sorted(maps.Keys(q.open)) {
			m.emit(Exchange{Peer: id})
		}
	}
	q.nextAsk = now.Add(m.jitter(askInterval))
}

// resumeAfterPause forgets what the peers held before the pause and asks them anew.
func (m *Machine) resumeAfterPause(now time.Time, gap time.Duration) {
	m.emit(Report{Kind: ReportPaused, Reason: fmt.Sprintf("process did not run for %s", gap.Round(time.Millisecond))})
	m.inquiry.reset(now)
	m.fetch, m.listFetch = nil, nil
	m.source.forgetCalls()
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
	m.askPeers()
}

func (m *Machine) setPhase(p Phase) {
	if m.phase == PhaseStarting && m.inquiry.replies == 0 && len(m.view) > 1 {
		m.emit(Report{Kind: ReportStartedAlone, Version: m.versions().Held, Reason: "no peer answered"})
	}
	m.phase = p
	m.emit(SetPhase{Phase: p})
}

// noteConflict records that v has the sequence number of another known release.
func (m *Machine) noteConflict(v release.Version, verified bool) {
	for _, known := range m.knownReleases() {
		if known.Sequence != v.Sequence || known.Digest == v.Digest {
			continue
		}
		m.addConflict(newConflict(known, v, verified))
	}
}

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

func (m *Machine) addConflict(c Conflict) {
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
	m.emit(Report{Kind: ReportConflict, Version: c.Winner, Other: c.Loser, Reason: "two releases have one sequence number"})
}
