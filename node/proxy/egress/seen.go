package egress

import (
	"sync"

	"auburnladder.example/wire/peerpb"
)

// callKey identifies a call that may reach the server once.
type callKey struct {
	vm string
	id uint64
	// attempt is zero for a call that is not idempotent.
	attempt uint32
}

// seenCalls remembers the latest calls that were given to the server. It is safe for
// concurrent use.
type seenCalls struct {
	size int

	mu       sync.Mutex
	current  map[callKey]struct{}
	previous map[callKey]struct{}
}

func newSeenCalls(size int) *seenCalls {
	return &seenCalls{size: size, current: make(map[callKey]struct{})}
}

// add reports whether the call from the VM is new.
func (s *seenCalls) add(vm string, call *peerpb.Call) bool {
	key := callKey{vm: vm, id: call.GetId()}
	if call.GetIdempotent() {
		key.attempt = call.GetAttempt() + 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, seen := s.current[key]; seen {
		return false
	}
	if _, seen := s.previous[key]; seen {
		return false
	}
	if len(s.current) >= s.size {
		s.previous, s.current = s.current, make(map[callKey]struct{}, s.size)
	}
	s.current[key] = struct{}{}
	return true
}
