package distribution

import (
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
)

const (
	// maxCandidates bounds the versions that are followed at one time.
	maxCandidates = 8
	// maxHistory bounds the manifests kept as bases of deltas.
	maxHistory = 4
)

// candidate is a version that some peer or the source claims to exist.
type candidate struct {
	version release.Version
	// verified is nil until the approved manifest arrived.
	verified *release.Verified
	// tried holds the peers that were asked in this round.
	tried map[string]bool
	// sourceTried is set once the source was asked in this round.
	sourceTried bool
	// sourceAt is when the source may be asked in this round, zero if not yet planned.
	sourceAt time.Time
	// unavailable holds chunks that the source lacked in this round.
	unavailable map[release.Digest]bool
	failures    int
	retryAt     time.Time
}

// fetch is an outstanding request to a peer.
type fetch struct {
	id       uint64
	peer     string
	version  release.Version
	deadline time.Time
	// manifest is set if the manifest was asked for and not chunks.
	manifest bool
}

func (c *candidate) startRound() {
	c.tried = make(map[string]bool)
	c.unavailable = make(map[release.Digest]bool)
	c.sourceTried = false
	c.sourceAt = time.Time{}
}

// pursue continues with the newest version that is worth a try.
func (m *Machine) pursue(now time.Time) {
	m.expireFetch(now)
	for {
		c := m.target(now)
		if c == nil || !m.advance(now, c) {
			return
		}
	}
}

// advance does the next step towards c. It reports whether the choice of the target
// has to be made again.
func (m *Machine) advance(now time.Time, c *candidate) bool {
	if c.verified == nil {
		return m.requestManifest(now, c)
	}
	missing := m.chunks.missing(c.verified.Manifest)
	if len(missing) == 0 {
		return m.apply(now, c)
	}
	return m.requestChunks(now, c, missing)
}

// target returns the newest version above the held one that is neither refused nor
// waiting for its next round.
func (m *Machine) target(now time.Time) *candidate {
	var best release.Version
	if m.held != nil {
		best = m.held.Version
	}
	found := false
	consider := func(v release.Version) {
		if v.Newer(best) && m.mayTry(now, v) {
			best, found = v, true
		}
	}
	for _, p := range m.peers {
		consider(p.versions.Held)
	}
	for v, c := range m.candidates {
		if c.verified != nil {
			consider(v)
		}
	}
	if !found {
		return nil
	}
	return m.candidate(best)
}

func (m *Machine) mayTry(now time.Time, v release.Version) bool {
	if m.refusals.has(v.Digest) {
		return false
	}
	c := m.candidates[v]
	return c == nil || !now.Before(c.retryAt)
}

// candidate returns the candidate for v, made if necessary.
func (m *Machine) candidate(v release.Version) *candidate {
	if c := m.candidates[v]; c != nil {
		return c
	}
	if len(m.candidates) >= maxCandidates {
		m.evictCandidate()
	}
	c := &candidate{version: v}
	c.startRound()
	m.candidates[v] = c
	return c
}

// evictCandidate drops the oldest candidate without a verified manifest, or the oldest.
func (m *Machine) evictCandidate() {
	var worst *candidate
	for _, c := range m.candidates {
		switch {
		case worst == nil:
			worst = c
		case (c.verified == nil) != (worst.verified == nil):
			if c.verified == nil {
				worst = c
			}
		case worst.version.Newer(c.version):
			worst = c
		}
	}
	delete(m.candidates, worst.version)
}

// roundFailed schedules the next round for c.
func (m *Machine) roundFailed(now time.Time, c *candidate, reason string) {
	c.failures++
	c.retryAt = now.Add(m.backoff(c.failures, m.cfg.RetryMin, m.cfg.RetryMax))
	c.startRound()
	if c.failures == 1 && c.verified != nil {
		m.emit(Report{Kind: ReportIncomplete, Version: c.version, Reason: reason})
	}
}

// admit verifies an approved manifest from a peer or the source and makes it a
// candidate. It returns nil if the manifest is not valid or not approved.
func (m *Machine) admit(a *release.Approved, from string) *release.Verified {
	v, err := m.trust.Verify(a)
	if err == nil {
		err = m.checkSize(v)
	}
	if err != nil {
		m.refuse(claimedVersion(a), approvedDigest(a), from, err)
		return nil
	}
	return m.follow(v)
}

// follow makes a verified manifest a candidate unless the held one is as new.
func (m *Machine) follow(v *release.Verified) *release.Verified {
	m.noteConflict(v.Version, true)
	if m.held != nil && !v.Version.Newer(m.held.Version) {
		return v
	}
	c := m.candidate(v.Version)
	if c.verified == nil {
		c.verified = v
		c.startRound()
	}
	return v
}

func (m *Machine) checkSize(v *release.Verified) error {
	total := 0
	for _, ref := range v.Manifest.Chunks {
		total += ref.Size
	}
	if total > m.cfg.MaxReleaseBytes {
		return fmt.Errorf("release %s: %d chunk bytes, expected at most %d", v.Version, total, m.cfg.MaxReleaseBytes)
	}
	return nil
}

// apply puts c in force if it is valid and the start allows it. It reports whether
// another target may be chosen.
func (m *Machine) apply(now time.Time, c *candidate) bool {
	if m.phase == PhaseStarting && !m.mayStartWith(now, c.version) {
		return false
	}
	snapshot, err := mesh.Rebuild(m.snapshot, c.verified, m.chunks.get)
	if err != nil {
		m.refuse(c.version, c.version.Digest, "", err)
		delete(m.candidates, c.version)
		return true
	}
	m.hold(c.verified)
	m.snapshot = snapshot
	m.emit(Apply{Snapshot: snapshot})
	if m.phase == PhaseStarting {
		m.setPhase(PhaseServing)
	}
	return true
}

// hold makes v the held release and forgets everything that it supersedes.
func (m *Machine) hold(v *release.Verified) {
	if m.held != nil {
		m.reportOldBase(v)
	}
	m.held = v
	m.history = append(m.history, v)
	if len(m.history) > maxHistory {
		m.history = m.history[1:]
	}
	for version := range m.candidates {
		if !version.Newer(v.Version) {
			delete(m.candidates, version)
		}
	}
	m.fetch = nil
	m.retainChunks()
}

func (m *Machine) reportOldBase(v *release.Verified) {
	if v.Manifest.Parent == m.held.Version.Digest || v.Manifest.Sequence != m.held.Manifest.Sequence+1 {
		return
	}
	m.emit(Report{
		Kind:    ReportOldBase,
		Version: v.Version,
		Other:   m.held.Version,
		Field:   "parent",
		Reason:  "release was not compiled on the one in force",
	})
}

// refuse records a release that is not tried again and reports it once.
func (m *Machine) refuse(v release.Version, key release.Digest, from string, err error) {
	if !m.refusals.add(Refusal{Version: v, Digest: key, Peer: from, Reason: err.Error()}) {
		return
	}
	r := Report{Kind: ReportRefused, Version: v, Peer: from, Reason: err.Error()}
	var field *mesh.FieldError
	if errors.As(err, &field) {
		r.Service, r.Field, r.Reason = field.Service, field.Field, field.Reason
	}
	m.emit(r)
}

// claimedVersion returns the version that a claims, or zero if it can't be read.
func claimedVersion(a *release.Approved) release.Version {
	v, err := a.Version()
	if err != nil {
		return release.Version{}
	}
	return v
}

// approvedDigest identifies the manifest together with its approvals, so that a
// manifest refused for a missing approval is tried again once it is approved.
func approvedDigest(a *release.Approved) release.Digest {
	encoded, err := a.Encode()
	if err != nil {
		return release.Digest{}
	}
	return release.DigestOf(encoded)
}
