package distribution

import (
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
)

const (
	// maxCandidates limits the versions that are tracked at the same time.
	maxCandidates = 8
	// maxHistory limits the manifests that are kept as bases of deltas.
	maxHistory = 4
)

// candidate is a version newer than the held one that a peer announced or the source
// published. Requests are made in rounds: each round tries every announcer, then the
// source.
type candidate struct {
	version release.Version
	// verified is the approved manifest, nil until it is received and verified.
	verified *release.Verified
	// triedPeers holds the peers that failed to provide data in this round.
	triedPeers map[string]bool
	// sourceTried is set once the read of the current release from the source has ended
	// in this round.
	sourceTried bool
	// sourceReadAt is the earliest time of a source read in this round, zero if none is
	// scheduled.
	sourceReadAt time.Time
	// missingAtSource holds the chunks that the source failed to provide in this round.
	missingAtSource map[release.Digest]bool
	failures        int
	retryAt         time.Time
}

// fetch is an outstanding request to a peer.
type fetch struct {
	id       uint64
	peer     string
	version  release.Version
	deadline time.Time
	// forManifest is set if the request is for the manifest and not for chunks.
	forManifest bool
}

// startRound clears the state of the round, so that all peers and the source are tried
// again.
func (c *candidate) startRound() {
	c.triedPeers = make(map[string]bool)
	c.missingAtSource = make(map[release.Digest]bool)
	c.sourceTried = false
	c.sourceReadAt = time.Time{}
}

// fetchReleases fetches and activates the newest eligible version, until a request is
// outstanding or no eligible version is left.
func (m *Machine) fetchReleases(now time.Time) {
	m.expireFetches(now)
	for {
		c := m.selectCandidate(now)
		if c == nil || !m.advanceCandidate(now, c) {
			return
		}
	}
}

// advanceCandidate takes the next step for c: it requests the manifest, requests missing
// chunks or activates the release. It reports whether the caller must select a candidate
// again.
func (m *Machine) advanceCandidate(now time.Time, c *candidate) bool {
	if c.verified == nil {
		return m.requestManifest(now, c)
	}
	missing := m.chunks.missing(c.verified.Manifest)
	if len(missing) == 0 {
		return m.activate(now, c)
	}
	return m.requestChunks(now, c, missing)
}

// selectCandidate returns the newest eligible version that is newer than the held one, or
// nil. Versions come from the announcements of peers and from verified manifests.
func (m *Machine) selectCandidate(now time.Time) *candidate {
	var newest release.Version
	if m.held != nil {
		newest = m.held.Version
	}
	found := false
	consider := func(v release.Version) {
		if v.Newer(newest) && m.eligible(now, v) {
			newest, found = v, true
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
	return m.ensureCandidate(newest)
}

// eligible reports whether v is neither refused nor in backoff.
func (m *Machine) eligible(now time.Time, v release.Version) bool {
	if m.refusals.contains(v.Digest) {
		return false
	}
	c := m.candidates[v]
	return c == nil || !now.Before(c.retryAt)
}

// ensureCandidate returns the candidate for v and creates it if it does not exist. If
// there are too many, another candidate is evicted.
func (m *Machine) ensureCandidate(v release.Version) *candidate {
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

// evictCandidate drops the oldest candidate without a verified manifest or, if all have
// one, the oldest candidate.
func (m *Machine) evictCandidate() {
	var victim *candidate
	for _, c := range m.candidates {
		switch {
		case victim == nil:
			victim = c
		case (c.verified == nil) != (victim.verified == nil):
			if c.verified == nil {
				victim = c
			}
		case victim.version.Newer(c.version):
			victim = c
		}
	}
	delete(m.candidates, victim.version)
}

// scheduleRetry ends a failed round for c and schedules the next one after a backoff. The
// first failure of a candidate with a verified manifest is reported.
func (m *Machine) scheduleRetry(now time.Time, c *candidate, reason string) {
	c.failures++
	c.retryAt = now.Add(m.backoff(c.failures, m.cfg.RetryMin, m.cfg.RetryMax))
	c.startRound()
	if c.failures == 1 && c.verified != nil {
		m.emit(Report{Kind: ReportIncomplete, Version: c.version, Reason: reason})
	}
}

// acceptManifest verifies an approved manifest that was received from a peer, or from the
// source if from is empty, and tracks it as a candidate. It refuses the manifest and
// returns nil if it is invalid, not approved or too large.
func (m *Machine) acceptManifest(a *release.Approved, from string) *release.Verified {
	v, err := m.trust.Verify(a)
	if err == nil {
		err = m.checkReleaseSize(v)
	}
	if err != nil {
		m.refuse(claimedVersion(a), approvedDigest(a), from, err)
		return nil
	}
	return m.trackCandidate(v)
}

// trackCandidate makes a verified manifest a candidate unless the held release is the
// same or newer.
func (m *Machine) trackCandidate(v *release.Verified) *release.Verified {
	m.detectConflicts(v.Version, true)
	if m.held != nil && !v.Version.Newer(m.held.Version) {
		return v
	}
	c := m.ensureCandidate(v.Version)
	if c.verified == nil {
		c.verified = v
		c.startRound()
	}
	return v
}

// checkReleaseSize returns an error if the chunks of v exceed MaxReleaseBytes.
func (m *Machine) checkReleaseSize(v *release.Verified) error {
	total := 0
	for _, ref := range v.Manifest.Chunks {
		total += ref.Size
	}
	if total > m.cfg.MaxReleaseBytes {
		return fmt.Errorf("release %s: chunks total %d bytes, expected at most %d bytes", v.Version, total, m.cfg.MaxReleaseBytes)
	}
	return nil
}

// activate builds the snapshot of c and activates it. A starting node waits until
// canStartWith allows the version. An invalid release is refused. It reports whether the
// caller must select a candidate again.
func (m *Machine) activate(now time.Time, c *candidate) bool {
	if m.phase == PhaseStarting && !m.canStartWith(now, c.version) {
		return false
	}
	snapshot, err := mesh.Rebuild(m.snapshot, c.verified, m.chunks.get)
	if err != nil {
		m.refuse(c.version, c.version.Digest, "", err)
		delete(m.candidates, c.version)
		return true
	}
	m.setHeld(c.verified)
	m.snapshot = snapshot
	m.emit(Apply{Snapshot: snapshot})
	if m.phase == PhaseStarting {
		m.setPhase(PhaseServing)
	}
	return true
}

// setHeld makes v the held release and drops superseded candidates, chunks and the
// outstanding fetch.
func (m *Machine) setHeld(v *release.Verified) {
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

// reportOldBase reports v if it directly follows the held release by sequence number but
// was compiled on another one.
func (m *Machine) reportOldBase(v *release.Verified) {
	if v.Manifest.Parent == m.held.Version.Digest || v.Manifest.Sequence != m.held.Manifest.Sequence+1 {
		return
	}
	m.emit(Report{
		Kind:    ReportOldBase,
		Version: v.Version,
		Other:   m.held.Version,
		Field:   "parent",
		Reason:  "release was not compiled on the active release",
	})
}

// refuse records refused content and reports it once. digest identifies the content. If
// it is the digest of a manifest, that version is not tried again.
func (m *Machine) refuse(v release.Version, digest release.Digest, from string, err error) {
	if !m.refusals.add(Refusal{Version: v, Digest: digest, Peer: from, Reason: err.Error()}) {
		return
	}
	r := Report{Kind: ReportRefused, Version: v, Peer: from, Reason: err.Error()}
	var field *mesh.FieldError
	if errors.As(err, &field) {
		r.Service, r.Field, r.Reason = field.Service, field.Field, field.Reason
	}
	m.emit(r)
}

// claimedVersion returns the version in the manifest of a, which is not verified, or zero
// if the manifest cannot be parsed.
func claimedVersion(a *release.Approved) release.Version {
	v, err := a.Version()
	if err != nil {
		return release.Version{}
	}
	return v
}

// approvedDigest returns a digest of the manifest together with its approvals, so that a
// manifest refused for a missing approval is accepted once it is approved.
func approvedDigest(a *release.Approved) release.Digest {
	encoded, err := a.Encode()
	if err != nil {
		return release.Digest{}
	}
	return release.DigestOf(encoded)
}
