package egress

import (
	"sync"

	"auburnladder.example/wire/peerpb"
)

// callKey identifies a call that may be sent to the server only once.
type callKey struct {
	vm string
	id uint64
	// attempt is the attempt number plus one for an idempotent call, which may be
	// retried, and 0 for any other call.
	attempt uint32
}

// seenCalls remembers recent calls that were sent to the server, in two generations of up
// to size calls each. It is safe for concurrent use.
type seenCalls struct {
	size int

	mu       sync.Mutex
	current  map[callKey]struct{}
	previous map[callKey]struct{}
}

func newSeenCalls(size int) *seenCalls {
	return &seenCalls{size: size, current: make(map[callKey]struct{})}
}

// addIfNew records the call and reports whether it was not recorded before.
func (s *seenCalls) addIfNew(vm string, call *peerpb.Call) bool {
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
