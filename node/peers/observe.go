package peers

import (
	"slices"

	"auburnladder.example/wire/session"
)

// Observer is told about sessions, one call at a time. Its methods run on the goroutine
// of a session and must not wait for other sessions.
type Observer interface {
	// SessionUp reports the first open session to a VM, SessionDown the end of the last.
	SessionUp(vm string)
	SessionDown(vm string)
}

// Observe sets the observer and tells it about the sessions that are open.
func (s *Set) Observe(o Observer) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.mu.Lock()
	s.observer = o
	vms := make([]string, 0, len(s.open))
	for vm := range s.open {
		vms = append(vms, vm)
	}
	s.mu.Unlock()
	for _, vm := range vms {
		o.SessionUp(vm)
	}
}

func (s *Set) opened(vm string, ses *session.Session) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.mu.Lock()
	first := len(s.open[vm]) == 0
	s.open[vm] = append(s.open[vm], ses)
	observer := s.observer
	s.mu.Unlock()
	if first && observer != nil {
		observer.SessionUp(vm)
	}
}

func (s *Set) closed(vm string, ses *session.Session) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.mu.Lock()
	s.open[vm] = slices.DeleteFunc(s.open[vm], func(o *session.Session) bool { return o == ses })
	delete(s.retired, ses)
	last := len(s.open[vm]) == 0
	if last {
		delete(s.open, vm)
	}
	observer := s.observer
	s.mu.Unlock()
	if last && observer != nil {
		observer.SessionDown(vm)
	}
}
