package distribution

import (
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"auburnladder.example/core/release"
)

// minCheckInterval bounds how often a node that is not a reader checks the source.
const minCheckInterval = 30 * time.Second

// source is the state of the conversation with the platform.
type source struct {
	limiter *rate.Limiter
	calls   map[uint64]sourceCall
	release document
	vmList  document
	// chunkCalls holds the outstanding reads by digest.
	chunkCalls map[release.Digest]uint64
	nextCheck  time.Time
	// behind is the last older release that was seen and reported.
	behind    release.Version
	withdrawn bool
}

// sourceCall is an outstanding call.
type sourceCall struct {
	key      string
	wait     bool
	began    time.Time
	deadline time.Time
	digest   release.Digest
}

// document is a key that changes over time.
type document struct {
	key string
	// after is the revision of the last answer.
	after    uint64
	answered bool
	// watch and read are the outstanding calls, 0 if none.
	watch uint64
	read  uint64
	// readAt is when the next plain read is due, zero if none is planned.
	readAt   time.Time
	failures int
	retryAt  time.Time
}

// forgetCalls drops all outstanding calls: after a pause they may never be answered.
func (s *source) forgetCalls() {
	s.calls = make(map[uint64]sourceCall)
	s.chunkCalls = make(map[release.Digest]uint64)
	for _, d := range []*document{&s.release, &s.vmList} {
		d.watch, d.read = 0, 0
		d.failures, d.retryAt = 0, time.Time{}
	}
}

// pending reports whether a plain read of the key is planned or outstanding.
func (s *source) pending(key string) bool {
	d := s.document(key)
	return d.read != 0 || !d.readAt.IsZero()
}

func (s *source) document(key string) *document {
	if key == release.VMListKey {
		return &s.vmList
	}
	return &s.release
}

// startSource plans the first read of the VM list. A fleet that starts at once spreads
// these reads, which do not depend on any peer, over its budget.
func (m *Machine) startSource(now time.Time) {
	m.source = source{
		limiter: rate.NewLimiter(m.peerRate(m.cfg.FleetSize), peerBurst),
		release: document{key: release.CurrentKey},
		vmList:  document{key: release.VMListKey},
	}
	m.source.forgetCalls()
	m.source.vmList.readAt = now.Add(m.upTo(m.sourceSpread()))
	m.planCheck(now)
}

// runSource makes the calls that are due and within the budget.
func (m *Machine) runSource(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.source.calls)) {
		if !now.Before(m.source.calls[id].deadline) {
			m.sourceFailed(now, id)
		}
	}
	if !m.reader {
		m.planPeerReads(now)
	}
	m.runDocument(now, &m.source.release)
	m.runDocument(now, &m.source.vmList)
}

// planPeerReads plans the rare reads of a node that is not a reader: when no peer
// answers at the start, and a check from time to time.
func (m *Machine) planPeerReads(now time.Time) {
	s := &m.source
	silent := m.inquiry.replies == 0 && now.Sub(m.inquiry.began) >= m.cfg.StartWait
	if m.phase == PhaseStarting && silent && !s.release.answered && !s.pending(release.CurrentKey) {
		s.release.readAt = now.Add(m.upTo(m.sourceSpread()))
	}
	if now.Before(s.nextCheck) {
		return
	}
	m.planCheck(now)
	s.release.readAt = now
	s.vmList.readAt = now.Add(m.upTo(m.sourceSpread()))
}

func (m *Machine) planCheck(now time.Time) {
	vms := max(len(m.view), m.cfg.FleetSize)
	interval := time.Duration(2 * float64(vms) / m.cfg.SourceChecksPerSecond * float64(time.Second))
	m.source.nextCheck = now.Add(m.jitter(max(interval, minCheckInterval)))
}

func (m *Machine) runDocument(now time.Time, d *document) {
	if m.reader && !d.answered && d.read == 0 && d.readAt.IsZero() {
		d.readAt = d.retryAt
		if d.readAt.IsZero() {
			d.readAt = now
		}
	}
	if d.read == 0 && !d.readAt.IsZero() && !now.Before(d.readAt) && m.source.limiter.AllowN(now, 1) {
		d.readAt = time.Time{}
		d.read = m.call(now, d.key, false, 0, release.Digest{})
	}
	if m.reader && d.answered && d.watch == 0 && !now.Before(d.retryAt) && m.source.limiter.AllowN(now, 1) {
		d.watch = m.call(now, d.key, true, d.after, release.Digest{})
	}
}

func (m *Machine) call(now time.Time, key string, wait bool, after uint64, digest release.Digest) uint64 {
	id := m.nextID()
	timeout := m.cfg.SourceTimeout
	if wait {
		timeout += m.cfg.WatchWait
	}
	m.source.calls[id] = sourceCall{key: key, wait: wait, began: now, deadline: now.Add(timeout), digest: digest}
	m.emit(ReadSource{Call: id, Key: key, Wait: wait, After: after})
	return id
}

// readManifest reads the current release at the source for a candidate that no peer
// provides.
func (m *Machine) readManifest(now time.Time, c *candidate) {
	if c.sourceAt.IsZero() {
		c.sourceAt = m.sourceTurn(now, 1)
		if !m.source.pending(release.CurrentKey) {
			m.source.release.readAt = c.sourceAt
		}
	}
}

// readChunks reads missing chunks at the source. It reports whether any answer is
// still to come.
func (m *Machine) readChunks(now time.Time, c *candidate, missing []release.ChunkRef) bool {
	if c.sourceAt.IsZero() {
		c.sourceAt = m.sourceTurn(now, len(missing))
	}
	if now.Before(c.sourceAt) {
		return true
	}
	waiting := false
	for _, ref := range missing {
		if c.unavailable[ref.Digest] {
			continue
		}
		waiting = true
		if m.source.chunkCalls[ref.Digest] != 0 {
			continue
		}
		if !m.source.limiter.AllowN(now, 1) {
			return true
		}
		m.source.chunkCalls[ref.Digest] = m.call(now, release.ChunkKey(ref.Digest), false, 0, ref.Digest)
	}
	return waiting
}

// withoutRecentReads leaves out chunks that the source was asked for a short time ago.
func (m *Machine) withoutRecentReads(now time.Time, missing []release.ChunkRef) []release.ChunkRef {
	var rest []release.ChunkRef
	for _, ref := range missing {
		id := m.source.chunkCalls[ref.Digest]
		if id == 0 || now.Sub(m.source.calls[id].began) >= m.cfg.FetchTimeout {
			rest = append(rest, ref)
		}
	}
	return rest
}

// endCall closes an outstanding call. It returns false if the call is not known, for
// example because the answer came after the deadline.
func (m *Machine) endCall(id uint64) (sourceCall, bool) {
	call, found := m.source.calls[id]
	if !found {
		return call, false
	}
	delete(m.source.calls, id)
	switch {
	case !call.digest.IsZero():
		delete(m.source.chunkCalls, call.digest)
	case call.wait:
		m.source.document(call.key).watch = 0
	default:
		m.source.document(call.key).read = 0
	}
	return call, true
}

func (m *Machine) sourceFailed(now time.Time, id uint64) {
	call, found := m.endCall(id)
	if !found {
		return
	}
	if !call.digest.IsZero() {
		m.markUnavailable(call.digest)
		return
	}
	d := m.source.document(call.key)
	d.failures++
	d.retryAt = now.Add(m.backoff(d.failures, m.cfg.SourceBackoffMin, m.cfg.SourceBackoffMax))
	if d == &m.source.release && !call.wait {
		m.markSourceTried()
	}
	if m.list == nil && d == &m.source.vmList {
		d.readAt = d.retryAt
	}
}

func (m *Machine) markUnavailable(d release.Digest) {
	for _, c := range m.candidates {
		c.unavailable[d] = true
	}
}

func (m *Machine) markSourceTried() {
	for _, c := range m.candidates {
		c.sourceTried = true
	}
}

func (m *Machine) sourceValue(now time.Time, e SourceValue) {
	call, known := m.endCall(e.Call)
	switch {
	case e.Key == release.CurrentKey || e.Key == release.VMListKey:
		m.documentRead(now, e, known && call.wait)
	case strings.HasPrefix(e.Key, release.ChunkKeyPrefix):
		if !e.Found || !m.storeChunk(e.Value) {
			m.chunkUnavailable(e.Key)
		}
	}
}

// chunkUnavailable notes that the platform does not hold a chunk. An answer to an
// earlier call says so as well.
func (m *Machine) chunkUnavailable(key string) {
	var d release.Digest
	if err := d.UnmarshalText([]byte(strings.TrimPrefix(key, release.ChunkKeyPrefix))); err == nil {
		m.markUnavailable(d)
	}
}

// documentRead handles an answer for one of the two documents. A node without a VM
// list knows no peer and no role, so it asks for the list until there is one.
func (m *Machine) documentRead(now time.Time, e SourceValue, watch bool) {
	d := m.source.document(e.Key)
	d.retryAt, d.answered = time.Time{}, true
	if d == &m.source.vmList && !e.Found && m.list == nil {
		d.failures++
		d.readAt = now.Add(m.backoff(d.failures, m.cfg.SourceBackoffMin, m.cfg.SourceBackoffMax))
		return
	}
	d.failures = 0
	if e.Key == release.CurrentKey {
		m.inquiry.sourceAnswered = true
		if !watch {
			defer m.markSourceTried()
		}
	}
	if e.Unchanged {
		// A restored platform may have a lower revision, of which no watch tells.
		d.readAt = now
		return
	}
	if watch && e.Revision <= d.after {
		// The platform answered at once with nothing newer: do not ask in a tight loop.
		d.retryAt = now.Add(m.jitter(m.cfg.SourceBackoffMin))
	}
	d.after = e.Revision
	if e.Key == release.CurrentKey {
		m.releaseRead(e)
		return
	}
	m.vmListRead(e)
}

// releaseRead handles the value of the current release. A withdrawn or older value
// changes nothing.
func (m *Machine) releaseRead(e SourceValue) {
	s := &m.source
	if !e.Found {
		if m.held != nil && !s.withdrawn {
			m.emit(Report{Kind: ReportWithdrawn, Version: m.held.Version, Reason: "the platform holds no release"})
		}
		s.withdrawn = true
		return
	}
	s.withdrawn = false
	approved, err := release.ParseApproved(e.Value)
	if err != nil {
		m.refuse(release.Version{}, release.DigestOf(e.Value), "", err)
		return
	}
	verified := m.admit(approved, "")
	if verified == nil {
		return
	}
	v := verified.Version
	if m.held != nil && m.held.Version.Newer(v) && s.behind != v {
		s.behind = v
		m.emit(Report{Kind: ReportSourceBehind, Version: v, Other: m.held.Version, Reason: "the platform holds an older release"})
	}
}
