package peers

import (
	"slices"
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/wire/session"
)

// peerSession is an open session with its usage state.
type peerSession struct {
	vm      string
	session *session.Session
	// dialed is set if this node opened the session.
	dialed bool
	// retired is set once Get no longer returns the session.
	retired atomic.Bool
	// lastUse is when Get last returned the session or the peer last opened a stream, in
	// nanoseconds since 1970 counted by the monotonic clock.
	lastUse atomic.Int64
}

// usable reports whether Get may return the session.
func (p *peerSession) usable() bool {
	return !p.retired.Load() && !p.session.IsClosed()
}

// idle reports whether this node opened the session and it has no open stream and was not used
// by either end since the given time.
func (p *peerSession) idle(since time.Time) bool {
	return p.dialed && p.session.Streams() == 0 && p.lastUse.Load() < steady.Nanos(since)
}

// lookup returns the current session to a VM and records its use, or returns nil if there
// is no usable one. It takes no lock.
func (s *Set) lookup(vm string) *session.Session {
	v, found := s.current.Load(vm)
	if !found {
		return nil
	}
	p := v.(*peerSession)
	if !p.usable() {
		return nil
	}
	p.lastUse.Store(steady.Nanos(time.Now()))
	return p.session
}

// register adds a session and notifies the observer if it is the first to its VM.
func (s *Set) register(vm string, ses *session.Session, dialed bool) *peerSession {
	p := &peerSession{vm: vm, session: ses, dialed: dialed}
	p.lastUse.Store(steady.Nanos(time.Now()))
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	first := len(s.sessions[vm]) == 0
	s.sessions[vm] = append(s.sessions[vm], p)
	s.selectCurrent(vm)
	observer := s.observer
	s.mu.Unlock()
	if first && observer != nil {
		observer.SessionUp(vm)
	}
	return p
}

// unregister removes a session that ended and notifies the observer if it was the last
// to its VM.
func (s *Set) unregister(p *peerSession) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	rest := slices.DeleteFunc(s.sessions[p.vm], func(o *peerSession) bool { return o == p })
	s.sessions[p.vm] = rest
	if len(rest) == 0 {
		delete(s.sessions, p.vm)
	}
	s.selectCurrent(p.vm)
	observer := s.observer
	s.mu.Unlock()
	if len(rest) == 0 && observer != nil {
		observer.SessionDown(p.vm)
	}
}

// selectCurrent sets the current session of a VM, which Get returns, to the newest usable
// one. The caller holds mu.
func (s *Set) selectCurrent(vm string) {
	for _, p := range slices.Backward(s.sessions[vm]) {
		if p.usable() {
			s.current.Store(vm, p)
			return
		}
	}
	s.current.Delete(vm)
}

// Retire makes Get no longer return ses. The open streams of ses may finish; it is closed
// after retireTimeout.
func (s *Set) Retire(vm string, ses *session.Session) {
	time.AfterFunc(retireTimeout, ses.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.sessions[vm] {
		if p.session == ses {
			p.retired.Store(true)
		}
	}
	s.selectCurrent(vm)
}

// Connected reports whether Get has an open session to the VM.
func (s *Set) Connected(vm string) bool {
	v, found := s.current.Load(vm)
	return found && v.(*peerSession).usable()
}

// Sessions returns the number of open sessions.
func (s *Set) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, sessions := range s.sessions {
		n += len(sessions)
	}
	return n
}

// Streams returns the number of open streams of all sessions.
func (s *Set) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, sessions := range s.sessions {
		for _, p := range sessions {
			n += p.session.Streams()
		}
	}
	return n
}

// closeIdle periodically closes the sessions that this node opened and that were idle for
// MaxIdle.
func (s *Set) closeIdle() {
	ticker := time.NewTicker(s.cfg.MaxIdle / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.closeUnusedSince(now.Add(-s.cfg.MaxIdle))
		}
	}
}

func (s *Set) closeUnusedSince(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sessions := range s.sessions {
		for _, p := range sessions {
			if p.idle(since) {
				p.session.Close()
			}
		}
	}
}
