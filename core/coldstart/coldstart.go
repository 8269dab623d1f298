// Package coldstart decides whether a backend server is cold, which is when it tolerates only few
// requests per second.
//
// A server is cold after it was started while the deployment carries traffic, and may become cold at
// any other time. What is known comes from its entry in the published list and from its health
// responses. Whatever may have made the server cold without either saying so raises a doubt. In
// doubt the server counts as cold until a health response that was requested after the doubt arose
// says otherwise, and for Config.ColdStart at most.
//
// The package has no clock and no I/O; the current time is passed in.
package coldstart

import (
	"time"

	"auburnladder.example/core/vmlist"
)

// Reason says why the server is or may be cold.
type Reason string

// Reasons to count the server as cold.
const (
	// ReasonNone means that the server is warm.
	ReasonNone Reason = ""
	// ReasonNodeStart means that this node has just learned that the server may be cold: it holds no
	// state from before.
	ReasonNodeStart Reason = "node-start"
	// ReasonRestart means that the server's address refused a connection and then accepted one.
	ReasonRestart Reason = "restart"
	// ReasonConnectionEnded means that a connection ended without a response, or while it was idle
	// after recent use.
	ReasonConnectionEnded Reason = "connection-ended"
	// ReasonNewRun means that the list names another run of the server.
	ReasonNewRun Reason = "new-run"
	// ReasonEvacuationEnded means that the evacuation of the server's failure domain has ended.
	ReasonEvacuationEnded Reason = "evacuation-ended"
	// ReasonEntry means that the server's entry in the list says so.
	ReasonEntry Reason = "entry"
	// ReasonHealth means that a health response said so.
	ReasonHealth Reason = "health"
)

// Source says why the server counts as warm.
type Source string

// Sources of the knowledge that the server is warm.
const (
	// SourceHealth means that a health response said so.
	SourceHealth Source = "health"
	// SourceElapsed means that the time for which it was known to be cold has passed.
	SourceElapsed Source = "elapsed"
	// SourceNoAnswer means that Config.ColdStart has passed since the doubt arose, without a health
	// response.
	SourceNoAnswer Source = "no-answer"
	// SourceOff means that the service has no cold servers any more.
	SourceOff Source = "off"
)

// Config holds the limits of a Machine.
type Config struct {
	// ColdStart is how long a server stays cold after its start; 0 or less means that servers are
	// never cold.
	ColdStart time.Duration
	// MinCheckInterval is the time from the beginning of one health check to the next in a new doubt.
	// Short intervals load the server while connections keep ending; in long ones a warm server is held
	// back.
	MinCheckInterval time.Duration
	// MaxCheckInterval bounds the time between checks, which doubles with each check that follows soon.
	// MaxRetryInterval is the bound after a check without a response.
	MaxCheckInterval time.Duration
	MaxRetryInterval time.Duration
	// EntryLag is the age that an entry of the list may have when it arrives. An entry that agrees with
	// the latest health response within this time is not taken for a new cold period.
	EntryLag time.Duration
}

// DefaultConfig returns the configuration of a node in production, without ColdStart.
func DefaultConfig() Config {
	return Config{
		MinCheckInterval: 100 * time.Millisecond,
		MaxCheckInterval: 250 * time.Millisecond,
		MaxRetryInterval: time.Second,
		EntryLag:         time.Second,
	}
}

// Entry is what the published list says about the server.
type Entry struct {
	Run vmlist.Run
	// Report numbers the reports of the run. The same entry arrives repeatedly.
	Report uint64
	// ColdLeft is how much longer the server stays cold, as of when the entry was written.
	ColdLeft time.Duration
}

// Health is the result of a health check.
type Health struct {
	// Answered is set if the response says how long the server stays cold.
	Answered bool
	// SentAt is when the request was sent.
	SentAt time.Time
	// Instance is the instance that responded; "" if unknown.
	Instance string
	// ColdLeft is how much longer the server stays cold; 0 if it is warm.
	ColdLeft time.Duration
}

// State is the answer of a Machine.
type State struct {
	Cold bool
	// InDoubt is set if no health response or entry says that the server is cold.
	InDoubt bool
	// Reason is why the server counts as cold.
	Reason Reason
	// Left is how much longer the server counts as cold if nothing else is heard.
	Left time.Duration
	// Source is why the server counts as warm.
	Source Source
}

// Machine decides whether one server is cold. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	// coldUntil is when the server becomes warm as far as an entry or a health response says;
	// coldReason is which of them.
	coldUntil  time.Time
	coldReason Reason
	// doubtSince is when the latest doubt arose; zero if there is none.
	doubtSince  time.Time
	doubtReason Reason
	// warmBy is why the server counts as warm once nothing makes it cold.
	warmBy Source

	entry Entry
	// healthAt is when the request of the latest health response was sent. The response came from
	// healthInstance, and by it the server becomes warm at healthUntil.
	healthAt       time.Time
	healthInstance string
	healthUntil    time.Time

	checking   bool
	checkBegan time.Time
	nextCheck  time.Time
	interval   time.Duration
	// unanswered is set if the last check got no response.
	unanswered bool
}

// New returns a machine for a service without cold servers; see SetColdStart.
func New(cfg Config) *Machine {
	cfg.ColdStart = 0
	return &Machine{cfg: cfg, warmBy: SourceOff}
}

// SetColdStart sets how long servers of the service stay cold. A doubt arises when that becomes known.
func (m *Machine) SetColdStart(now time.Time, coldStart time.Duration) {
	was := m.cfg.ColdStart
	m.cfg.ColdStart = max(coldStart, 0)
	switch {
	case m.cfg.ColdStart == 0:
		*m = Machine{cfg: m.cfg, warmBy: SourceOff, entry: m.entry, checking: m.checking, checkBegan: m.checkBegan}
	case was == 0:
		m.Suspect(now, ReasonNodeStart)
		m.applyEntry(now)
	}
}

// Suspect raises a doubt: the server may have become cold just now.
func (m *Machine) Suspect(now time.Time, reason Reason) {
	if m.cfg.ColdStart == 0 {
		return
	}
	m.doubtSince, m.doubtReason = now, reason
}

// ObserveEntry applies the server's entry in the list. An entry that says that the server is warm
// settles no doubt: it may have been written before the doubt arose.
func (m *Machine) ObserveEntry(now time.Time, e Entry) {
	old := m.entry
	if e == old {
		return
	}
	m.entry = e
	if m.cfg.ColdStart == 0 {
		return
	}
	if known := old.Run != (vmlist.Run{}); known && e.Run != old.Run && !m.heardOf(e.Run, old.Run) {
		m.Suspect(now, ReasonNewRun)
	}
	m.applyEntry(now)
}

// heardOf reports whether a health response is known to come from run and not from the one before.
func (m *Machine) heardOf(run, before vmlist.Run) bool {
	return run.Instance != "" && run.Instance == m.healthInstance && run.Instance != before.Instance
}

// applyEntry applies the cold time of the current entry.
func (m *Machine) applyEntry(now time.Time) {
	left := min(m.entry.ColdLeft, m.cfg.ColdStart)
	if left <= 0 || m.explained(now, left) {
		return
	}
	if until := now.Add(left); until.After(m.coldUntil) {
		m.coldUntil, m.coldReason = until, ReasonEntry
	}
}

// explained reports whether an entry that arrives at now may be of the cold period that the latest
// health response named, and older than that response.
func (m *Machine) explained(now time.Time, left time.Duration) bool {
	return !m.healthAt.IsZero() && left <= m.healthUntil.Sub(now)+m.cfg.EntryLag
}

// CheckAt returns when to begin the next health check, or false if none is needed or one is in progress.
func (m *Machine) CheckAt(now time.Time) (time.Time, bool) {
	if m.checking || !m.inDoubt(now) {
		return time.Time{}, false
	}
	if m.nextCheck.After(now) {
		return m.nextCheck, true
	}
	return now, true
}

// BeginCheck records that a health check begins.
func (m *Machine) BeginCheck(now time.Time) {
	longest := m.cfg.MaxCheckInterval
	if m.unanswered {
		longest = m.cfg.MaxRetryInterval
	}
	m.interval = max(min(2*m.interval, longest), m.cfg.MinCheckInterval)
	if now.Sub(m.checkBegan) > 2*m.cfg.MaxRetryInterval {
		m.interval = m.cfg.MinCheckInterval
	}
	m.checking, m.checkBegan, m.nextCheck = true, now, now.Add(m.interval)
}

// EndCheck records the result of the check in progress. A response to a request from before the latest
// doubt does not settle it.
func (m *Machine) EndCheck(now time.Time, h Health) {
	m.checking, m.unanswered = false, !h.Answered
	if !h.Answered || m.cfg.ColdStart == 0 {
		return
	}
	m.healthAt, m.healthInstance = h.SentAt, h.Instance
	m.healthUntil = now.Add(min(max(h.ColdLeft, 0), m.cfg.ColdStart))
	if m.doubtSince.After(h.SentAt) {
		return
	}
	m.doubtSince, m.doubtReason = time.Time{}, ReasonNone
	m.coldUntil, m.coldReason = m.healthUntil, ReasonHealth
	m.warmBy = SourceElapsed
	if h.ColdLeft <= 0 {
		m.warmBy = SourceHealth
	}
}

// inDoubt reports whether a doubt is neither settled nor over.
func (m *Machine) inDoubt(now time.Time) bool {
	return !m.doubtSince.IsZero() && now.Before(m.doubtUntil())
}

func (m *Machine) doubtUntil() time.Time { return m.doubtSince.Add(m.cfg.ColdStart) }

// State returns whether the server is cold at now.
func (m *Machine) State(now time.Time) State {
	if m.cfg.ColdStart == 0 {
		return State{Source: SourceOff}
	}
	known, doubted := now.Before(m.coldUntil), m.inDoubt(now)
	s := State{Cold: known || doubted, InDoubt: doubted && !known}
	switch {
	case doubted:
		s.Reason = m.doubtReason
		s.Left = m.doubtUntil().Sub(now)
		if known {
			s.Left = max(s.Left, m.coldUntil.Sub(now))
		}
	case known:
		s.Reason = m.coldReason
		s.Left = m.coldUntil.Sub(now)
	case m.doubtUntil().After(m.coldUntil) && !m.doubtSince.IsZero():
		s.Source = SourceNoAnswer
	case m.coldReason == ReasonEntry:
		s.Source = SourceElapsed
	default:
		s.Source = m.warmBy
	}
	return s
}
