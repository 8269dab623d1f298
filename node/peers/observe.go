package peers

// Observer is notified when VMs become connected and disconnected, one call at a time. Its
// methods run on the goroutine of a session, or of Set.Observe, and must not wait for other
// sessions.
type Observer interface {
	// SessionUp is called when the first session to a VM opens.
	SessionUp(vm string)
	// SessionDown is called when the last session to a VM has ended.
	SessionDown(vm string)
}

// Observe sets the observer and calls its SessionUp for each VM with an open session.
func (s *Set) Observe(o Observer) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	s.observer = o
	vms := make([]string, 0, len(s.sessions))
	for vm := range s.sessions {
		vms = append(vms, vm)
	}
	s.mu.Unlock()
	for _, vm := range vms {
		o.SessionUp(vm)
	}
}
