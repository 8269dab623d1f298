package peers

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
	vms := make([]string, 0, len(s.links))
	for vm := range s.links {
		vms = append(vms, vm)
	}
	s.mu.Unlock()
	for _, vm := range vms {
		o.SessionUp(vm)
	}
}
