package distribution

import (
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"auburnladder.example/core/release"
)

// minCheckInterval is the minimum mean interval at which a node that is not a reader
// checks the source.
const minCheckInterval = 30 * time.Second

// source is the state of the calls to the platform.
type source struct {
	limiter *rate.Limiter
	calls   map[uint64]sourceCall
	release watchedKey
	vmList  watchedKey
	// chunkCalls holds the ids of the outstanding chunk reads by digest.
	chunkCalls map[release.Digest]uint64
	nextCheck  time.Time
	// reportedOlder is the last version older than the held one that was read and
	// reported.
	reportedOlder release.Version
	// withdrawn is set while the platform has no current release.
	withdrawn bool
}

// sourceCall is an outstanding call to the platform.
type sourceCall struct {
	key       string
	wait      bool
	startedAt time.Time
	deadline  time.Time
	// digest is the chunk to read, zero for the current release and the VM list.
	digest release.Digest
}

// watchedKey is the state of a key whose value changes over time: the current release or
// the VM list.
type watchedKey struct {
	key string
	// lastRevision is the revision in the last response.
	lastRevision uint64
	// responded is set once the platform responded to a call for the key.
	responded bool
	// watchCall and readCall are the ids of the outstanding watch and read, 0 if none.
	watchCall uint64
	readCall  uint64
	// nextReadAt is when the next read is due, zero if none is scheduled.
	nextReadAt time.Time
	failures   int
	retryAt    time.Time
}

// dropCalls drops all outstanding calls. After a process pause they may never get a
// response.
func (s *source) dropCalls() {
	s.calls = make(map[uint64]sourceCall)
	s.chunkCalls = make(map[release.Digest]uint64)
	for _, k := range []*watchedKey{&s.release, &s.vmList} {
		k.watchCall, k.readCall = 0, 0
		k.failures, k.retryAt = 0, time.Time{}
	}
}

// readPending reports whether a read of the key, other than a watch, is scheduled or
// outstanding.
func (s *source) readPending(key string) bool {
	k := s.lookup(key)
	return k.readCall != 0 || !k.nextReadAt.IsZero()
}

// lookup returns the state of the current release or the VM list.
func (s *source) lookup(key string) *watchedKey {
	if key == release.VMListKey {
		return &s.vmList
	}
	return &s.release
}

// startSource initializes the source state and schedules the first read of the VM list,
// which does not depend on any peer. The time is random, so that a fleet whose nodes all
// start at the same time spreads these reads over its budget.
func (m *Machine) startSource(now time.Time) {
	m.source = source{
		limiter: rate.NewLimiter(m.nonReaderRate(m.cfg.FleetSize), nonReaderBurst),
		release: watchedKey{key: release.CurrentKey},
		vmList:  watchedKey{key: release.VMListKey},
	}
	m.source.dropCalls()
	m.source.vmList.nextReadAt = now.Add(m.randomUpTo(m.sourceSpreadWindow()))
	m.scheduleCheck(now)
}

// runSource expires overdue calls and starts the calls that are due, within the budget.
func (m *Machine) runSource(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.source.calls)) {
		if !now.Before(m.source.calls[id].deadline) {
			m.handleSourceFailed(now, id)
		}
	}
	if !m.reader {
		m.scheduleNonReaderReads(now)
	}
	m.runWatchedKey(now, &m.source.release)
	m.runWatchedKey(now, &m.source.vmList)
}

// scheduleNonReaderReads schedules the infrequent reads of a node that is not a reader:
// one at start if no peer replies within StartWait, and periodic checks.
func (m *Machine) scheduleNonReaderReads(now time.Time) {
	s := &m.source
	noReplies := m.poll.replies == 0 && now.Sub(m.poll.startedAt) >= m.cfg.StartWait
	if m.phase == PhaseStarting && noReplies && !s.release.responded && !s.readPending(release.CurrentKey) {
		s.release.nextReadAt = now.Add(m.randomUpTo(m.sourceSpreadWindow()))
	}
	if now.Before(s.nextCheck) {
		return
	}
	m.scheduleCheck(now)
	s.release.nextReadAt = now
	s.vmList.nextReadAt = now.Add(m.randomUpTo(m.sourceSpreadWindow()))
}

// scheduleCheck schedules the next check, so that all nodes together make
// SourceChecksPerSecond. A check reads two keys.
func (m *Machine) scheduleCheck(now time.Time) {
	vms := max(len(m.view), m.cfg.FleetSize)
	interval := time.Duration(2 * float64(vms) / m.cfg.SourceChecksPerSecond * float64(time.Second))
	m.source.nextCheck = now.Add(m.jitter(max(interval, minCheckInterval)))
}

// runWatchedKey starts the read or the watch of k if it is due and the budget allows it.
func (m *Machine) runWatchedKey(now time.Time, k *watchedKey) {
	if m.reader && !k.responded && k.readCall == 0 && k.nextReadAt.IsZero() {
		k.nextReadAt = k.retryAt
		if k.nextReadAt.IsZero() {
			k.nextReadAt = now
		}
	}
	if k.readCall == 0 && !k.nextReadAt.IsZero() && !now.Before(k.nextReadAt) && m.source.limiter.AllowN(now, 1) {
		k.nextReadAt = time.Time{}
		k.readCall = m.startSourceCall(now, k.key, false, 0, release.Digest{})
	}
	if m.reader && k.responded && k.watchCall == 0 && !now.Before(k.retryAt) && m.source.limiter.AllowN(now, 1) {
		k.watchCall = m.startSourceCall(now, k.key, true, k.lastRevision, release.Digest{})
	}
}

// startSourceCall starts a call to the platform and returns its id. With wait set it is a
// watch for a revision other than after. digest is zero unless the call reads a chunk.
func (m *Machine) startSourceCall(now time.Time, key string, wait bool, after uint64, digest release.Digest) uint64 {
	id := m.nextID()
	timeout := m.cfg.SourceTimeout
	if wait {
		timeout += m.cfg.WatchWait
	}
	m.source.calls[id] = sourceCall{key: key, wait: wait, startedAt: now, deadline: now.Add(timeout), digest: digest}
	m.emit(ReadSource{Call: id, Key: key, Wait: wait, After: after})
	return id
}

// scheduleManifestRead schedules a read of the current release for a candidate whose
// manifest no peer provided.
func (m *Machine) scheduleManifestRead(now time.Time, c *candidate) {
	if c.sourceReadAt.IsZero() {
		c.sourceReadAt = m.sourceCallTime(now, 1)
		if !m.source.readPending(release.CurrentKey) {
			m.source.release.nextReadAt = c.sourceReadAt
		}
	}
}

// readChunks reads missing chunks from the source. It reports whether a response is still
// expected.
func (m *Machine) readChunks(now time.Time, c *candidate, missing []release.ChunkRef) bool {
	if c.sourceReadAt.IsZero() {
		c.sourceReadAt = m.sourceCallTime(now, len(missing))
	}
	if now.Before(c.sourceReadAt) {
		return true
	}
	waiting := false
	for _, ref := range missing {
		if c.missingAtSource[ref.Digest] {
			continue
		}
		waiting = true
		if m.source.chunkCalls[ref.Digest] != 0 {
			continue
		}
		if !m.source.limiter.AllowN(now, 1) {
			return true
		}
		m.source.chunkCalls[ref.Digest] = m.startSourceCall(now, release.ChunkKey(ref.Digest), false, 0, ref.Digest)
	}
	return waiting
}

// withoutRecentSourceReads returns the missing chunks without those whose read from the
// source started less than FetchTimeout ago.
func (m *Machine) withoutRecentSourceReads(now time.Time, missing []release.ChunkRef) []release.ChunkRef {
	var rest []release.ChunkRef
	for _, ref := range missing {
		id := m.source.chunkCalls[ref.Digest]
		if id == 0 || now.Sub(m.source.calls[id].startedAt) >= m.cfg.FetchTimeout {
			rest = append(rest, ref)
		}
	}
	return rest
}

// endSourceCall ends an outstanding call. It returns false if the call is unknown, for
// example because the response arrived after the deadline.
func (m *Machine) endSourceCall(id uint64) (sourceCall, bool) {
	call, found := m.source.calls[id]
	if !found {
		return call, false
	}
	delete(m.source.calls, id)
	switch {
	case !call.digest.IsZero():
		delete(m.source.chunkCalls, call.digest)
	case call.wait:
		m.source.lookup(call.key).watchCall = 0
	default:
		m.source.lookup(call.key).readCall = 0
	}
	return call, true
}

func (m *Machine) handleSourceFailed(now time.Time, id uint64) {
	call, found := m.endSourceCall(id)
	if !found {
		return
	}
	if !call.digest.IsZero() {
		m.markMissingAtSource(call.digest)
		return
	}
	k := m.source.lookup(call.key)
	k.failures++
	k.retryAt = now.Add(m.backoff(k.failures, m.cfg.SourceBackoffMin, m.cfg.SourceBackoffMax))
	if k == &m.source.release && !call.wait {
		m.markSourceTried()
	}
	if m.vmList == nil && k == &m.source.vmList {
		k.nextReadAt = k.retryAt
	}
}

func (m *Machine) markMissingAtSource(d release.Digest) {
	for _, c := range m.candidates {
		c.missingAtSource[d] = true
	}
}

func (m *Machine) markSourceTried() {
	for _, c := range m.candidates {
		c.sourceTried = true
	}
}

func (m *Machine) handleSourceValue(now time.Time, e SourceValue) {
	call, known := m.endSourceCall(e.Call)
	switch {
	case e.Key == release.CurrentKey || e.Key == release.VMListKey:
		m.handleWatchedKey(now, e, known && call.wait)
	case strings.HasPrefix(e.Key, release.ChunkKeyPrefix):
		if !e.Found || !m.storeChunk(e.Value) {
			m.chunkNotAtSource(e.Key)
		}
	}
}

// chunkNotAtSource records that the platform does not hold a chunk. The response to an
// expired call is used too.
func (m *Machine) chunkNotAtSource(key string) {
	var d release.Digest
	if err := d.UnmarshalText([]byte(strings.TrimPrefix(key, release.ChunkKeyPrefix))); err == nil {
		m.markMissingAtSource(d)
	}
}

// handleWatchedKey handles a response for the current release or the VM list. A node
// without a VM list knows no peers and has no role, so it reads the list again until it
// finds one. watch is set if the response ends a watch.
func (m *Machine) handleWatchedKey(now time.Time, e SourceValue, watch bool) {
	k := m.source.lookup(e.Key)
	k.retryAt, k.responded = time.Time{}, true
	if k == &m.source.vmList && !e.Found && m.vmList == nil {
		k.failures++
		k.nextReadAt = now.Add(m.backoff(k.failures, m.cfg.SourceBackoffMin, m.cfg.SourceBackoffMax))
		return
	}
	k.failures = 0
	if e.Key == release.CurrentKey {
		m.poll.sourceResponded = true
		if !watch {
			defer m.markSourceTried()
		}
	}
	if e.Unchanged {
		// A platform restored from a backup may have a lower revision, which a watch
		// does not report.
		k.nextReadAt = now
		return
	}
	if watch && e.Revision <= k.lastRevision {
		// The platform responded immediately without a newer revision: do not watch in a
		// tight loop.
		k.retryAt = now.Add(m.jitter(m.cfg.SourceBackoffMin))
	}
	k.lastRevision = e.Revision
	if e.Key == release.CurrentKey {
		m.handleReleaseValue(e)
		return
	}
	m.handleVMListValue(e)
}

// handleReleaseValue handles the value of the current release. A withdrawn or older
// release is reported; the held release stays active.
func (m *Machine) handleReleaseValue(e SourceValue) {
	s := &m.source
	if !e.Found {
		if m.held != nil && !s.withdrawn {
			m.emit(Report{Kind: ReportWithdrawn, Version: m.held.Version, Reason: "platform has no release; the held release stays active"})
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
	verified := m.acceptManifest(approved, "")
	if verified == nil {
		return
	}
	v := verified.Version
	if m.held != nil && m.held.Version.Newer(v) && s.reportedOlder != v {
		s.reportedOlder = v
		m.emit(Report{Kind: ReportSourceBehind, Version: v, Other: m.held.Version, Reason: "platform has an older release; the held release stays active"})
	}
}
