package peers

import (
	"slices"
	"sync/atomic"
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/wire/session"
)

// link is an open session together with how it is used.
type link struct {
	vm      string
	session *session.Session
	// dialed is set if this node opened the session.
	dialed bool
	// retired is set once the session gets no new streams.
	retired atomic.Bool
	// lastUse is when Get last returned the session, in Unix nanoseconds.
	lastUse atomic.Int64
}

// usable reports whether Get may return the session.
func (l *link) usable() bool {
	return !l.retired.Load() && !l.session.IsClosed()
}

// idle reports whether the session carried no stream since the given time.
func (l *link) idle(since time.Time) bool {
	return l.dialed && l.session.Streams() == 0 && l.lastUse.Load() < steady.Nanos(since)
}

// find returns the session that Get uses, or nil. It takes no lock.
func (s *Set) find(vm string) *session.Session {
	v, found := s.current.Load(vm)
	if !found {
		return nil
	}
	l := v.(*link)
	if !l.usable() {
		return nil
	}
	l.lastUse.Store(steady.Nanos(time.Now()))
	return l.session
}

// register adds a session and tells the observer if it is the first to its VM.
func (s *Set) register(vm string, ses *session.Session, dialed bool) *link {
	l := &link{vm: vm, session: ses, dialed: dialed}
	l.lastUse.Store(steady.Nanos(time.Now()))
	s.notify.Lock()
	defer s.notify.Unlock()
	s.mu.Lock()
	first := len(s.links[vm]) == 0
	s.links[vm] = append(s.links[vm], l)
	s.choose(vm)
	observer := s.observer
	s.mu.Unlock()
	if first && observer != nil {
		observer.SessionUp(vm)
	}
	return l
}

// unregister removes a session that ended and tells the observer if it was the last
// to its VM.
func (s *Set) unregister(l *link) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.mu.Lock()
	rest := slices.DeleteFunc(s.links[l.vm], func(o *link) bool { return o == l })
	s.links[l.vm] = rest
	if len(rest) == 0 {
		delete(s.links, l.vm)
	}
	s.choose(l.vm)
	observer := s.observer
	s.mu.Unlock()
	if len(rest) == 0 && observer != nil {
		observer.SessionDown(l.vm)
	}
}

// choose makes Get return the newest usable session to a VM. The caller holds mu.
func (s *Set) choose(vm string) {
	for _, l := range slices.Backward(s.links[vm]) {
		if l.usable() {
			s.current.Store(vm, l)
			return
		}
	}
	s.current.Delete(vm)
}

// Retire keeps ses from being returned by Get again. Its streams may still end; it
// is closed after retireTimeout.
func (s *Set) Retire(vm string, ses *session.Session) {
	time.AfterFunc(retireTimeout, ses.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links[vm] {
		if l.session == ses {
			l.retired.Store(true)
		}
	}
	s.choose(vm)
}

// Sessions returns the number of open sessions.
func (s *Set) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, links := range s.links {
		n += len(links)
	}
	return n
}

// Streams returns the number of open streams of all sessions.
func (s *Set) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, links := range s.links {
		for _, l := range links {
			n += l.session.Streams()
		}
	}
	return n
}

// closeIdle closes sessions of this node that carried no stream for MaxIdle.
func (s *Set) closeIdle() {
	ticker := time.NewTicker(s.cfg.MaxIdle / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.closeIdleSince(now.Add(-s.cfg.MaxIdle))
		}
	}
}

func (s *Set) closeIdleSince(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, links := range s.links {
		for _, l := range links {
			if l.idle(since) {
				l.session.Close()
			}
		}
	}
}
