// Package upload decides which large request bodies are sent to a backend server over the network
// link of its VM, and in which order, before any of their bytes is sent.
package upload

import (
	"slices"
	"sync"
	"time"
)

// Config holds the limits of a Schedule.
type Config struct {
	// LinkRate is the rate of the VM's network link in bytes per second, 0 if unknown, in which case the
	// link limits nothing.
	LinkRate float64
	// LinkShare is the share of the rate that request bodies may use. The rest carries what the schedule
	// doesn't see: small calls, messages between nodes and requests of callers at this VM.
	LinkShare float64
	// LinkDelay is how long the bytes that were granted a turn may occupy the link. A longer delay holds
	// up small messages, a shorter one leaves the link idle between the end of a body and the next.
	LinkDelay time.Duration
	// ServerBytes bounds the bytes of request bodies that the server holds, 0 for no bound. One body is
	// accepted whatever its size.
	ServerBytes int64
	// StallAfter is how long an upload in its turn may receive nothing before others no longer wait for it.
	StallAfter time.Duration
}

// DefaultConfig returns the configuration used in production, without a rate and a bound.
func DefaultConfig() Config {
	return Config{LinkShare: 0.85, LinkDelay: 30 * time.Millisecond, StallAfter: 500 * time.Millisecond}
}

// Reason says why a body was refused.
type Reason int

// Reasons for a refusal.
const (
	Accepted Reason = iota
	// LinkBusy means that the link is occupied by other bodies for too long.
	LinkBusy
	// LinkSlow means that the link can't carry the body in time even if it is idle.
	LinkSlow
	// ServerFull means that the server holds too many bytes.
	ServerFull
)

// String returns a text for logs.
func (r Reason) String() string {
	return [...]string{
		"accepted", "the VM's network link is occupied by other request bodies for too long",
		"the VM's network link cannot carry the request body before the deadline",
		"the backend server holds too many bytes of request bodies",
	}[r]
}

// Decision is the answer to Admit. RetryAfter is when an equal body may be accepted, 0 if unknown.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Schedule is the set of the accepted bodies of one backend server. Bodies take turns on the link, the one that
// must arrive first before the others. It is safe for concurrent use.
type Schedule struct {
	cfg Config

	mu sync.Mutex
	// held is the number of bytes of all accepted bodies whose requests have not ended.
	held int64
	// pending holds the uploads that are not complete yet, those in their turn first, the others in the
	// order of their latest times.
	pending []*Upload
	inTurn  int
}

// Upload is one accepted body.
type Upload struct {
	bytes int64
	// missing is the number of bytes that have not arrived.
	missing int64
	latest  time.Time
	// turn is closed when the body may be sent.
	turn     chan struct{}
	progress time.Time
	ended    bool
}

// Turn returns a channel that is closed when the body may be sent.
func (u *Upload) Turn() <-chan struct{} { return u.turn }

// New returns an empty schedule.
func New(cfg Config) *Schedule { return &Schedule{cfg: cfg} }

// Admit decides on a body that must have arrived at latest, and adds it if it is accepted; the caller must then call
// End. A body that doesn't use the link is only counted against the server's bytes.
func (s *Schedule) Admit(now time.Time, bytes int64, latest time.Time, usesLink bool) (*Upload, Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.check(now, bytes, latest, usesLink); d.Reason != Accepted {
		return nil, d
	}
	u := &Upload{bytes: bytes, missing: bytes, latest: latest, turn: make(chan struct{}), progress: now}
	s.held += bytes
	if !usesLink || s.cfg.LinkRate == 0 {
		u.missing = 0
		close(u.turn)
		return u, Decision{}
	}
	s.pending = slices.Insert(s.pending, s.position(latest), u)
	s.grant(now)
	return u, Decision{}
}

// position returns where an upload is inserted. The caller holds mu.
func (s *Schedule) position(latest time.Time) int {
	i := s.inTurn
	for i < len(s.pending) && !latest.Before(s.pending[i].latest) {
		i++
	}
	return i
}

// check decides whether a body would be accepted. The caller holds mu.
func (s *Schedule) check(now time.Time, bytes int64, latest time.Time, usesLink bool) Decision {
	if limit := s.cfg.ServerBytes; limit > 0 && s.held > 0 && s.held+bytes > limit {
		return Decision{Reason: ServerFull, RetryAfter: s.transmitTime(s.held + bytes - limit)}
	}
	if !usesLink || s.cfg.LinkRate == 0 {
		return Decision{}
	}
	own := s.transmitTime(bytes)
	if now.Add(own).After(latest) {
		return Decision{Reason: LinkSlow}
	}
	position, drained := s.position(latest), time.Duration(0)
	for i, u := range s.pending {
		if s.stalled(now, u) {
			continue
		}
		drained += s.transmitTime(u.missing)
		if i < position {
			continue
		}
		// Bodies that arrive too late anyway don't count.
		if late := now.Add(drained + own).Sub(u.latest); late > 0 && late <= own {
			return Decision{Reason: LinkBusy, RetryAfter: late}
		}
	}
	if late := now.Add(s.ahead(now, position) + own).Sub(latest); late > 0 {
		return Decision{Reason: LinkBusy, RetryAfter: late}
	}
	return Decision{}
}

// ahead returns how long the first uploads occupy the link. The caller holds mu.
func (s *Schedule) ahead(now time.Time, uploads int) time.Duration {
	var missing int64
	for _, u := range s.pending[:uploads] {
		if !s.stalled(now, u) {
			missing += u.missing
		}
	}
	return s.transmitTime(missing)
}

// stalled reports whether the sender of an upload in its turn has stopped sending. The caller holds mu.
func (s *Schedule) stalled(now time.Time, u *Upload) bool {
	return s.isInTurn(u) && now.Sub(u.progress) >= s.cfg.StallAfter
}

func (s *Schedule) isInTurn(u *Upload) bool { return slices.Index(s.pending[:s.inTurn], u) >= 0 }

// transmitTime returns how long the link takes for n bytes.
func (s *Schedule) transmitTime(n int64) time.Duration {
	if s.cfg.LinkRate == 0 {
		return 0
	}
	return time.Duration(float64(n) / (s.cfg.LinkRate * s.cfg.LinkShare) * float64(time.Second))
}

// Refresh gives the turn of stalled uploads to those that wait.
func (s *Schedule) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant(now)
}

// grant gives turns while the link has room. The caller holds mu.
func (s *Schedule) grant(now time.Time) {
	for s.inTurn < len(s.pending) && s.ahead(now, s.inTurn) < s.cfg.LinkDelay {
		u := s.pending[s.inTurn]
		s.inTurn++
		u.progress = now
		close(u.turn)
	}
}

// InTime reports whether the body still arrives in time if all that is missing is sent now. One that doesn't use the
// link always does.
func (s *Schedule) InTime(now time.Time, u *Upload) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.missing == 0 || !now.Add(s.transmitTime(u.missing)).After(u.latest)
}

// Received records that n more bytes of u have arrived.
func (s *Schedule) Received(now time.Time, u *Upload, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.progress = now
	u.missing = max(0, u.missing-n)
	if u.missing == 0 {
		s.remove(u)
	}
	s.grant(now)
}

// remove ends what u occupies of the link. The caller holds mu.
func (s *Schedule) remove(u *Upload) {
	i := slices.Index(s.pending, u)
	if i < 0 {
		return
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	if i < s.inTurn {
		s.inTurn--
	}
}

// End removes the body when its request has ended, in whatever way. Further calls have no effect.
func (s *Schedule) End(now time.Time, u *Upload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	s.held -= u.bytes
	s.remove(u)
	s.grant(now)
}

// Status is a snapshot of a Schedule, in bytes.
type Status struct {
	// Held is the size of all accepted bodies whose requests have not ended, Missing what has not
	// arrived of them.
	Held, Missing int64
}

// Status returns the current state.
func (s *Schedule) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Held: s.held}
	for _, u := range s.pending {
		st.Missing += u.missing
	}
	return st
}
