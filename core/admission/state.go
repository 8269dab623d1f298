package admission

// Layout of the state word: three counts and two flags. They share one word so that a single
// compare-and-swap checks the limit and takes the slot.
const (
	countBits    = 20
	waitingShift = countBits
	limitShift   = 2 * countBits
	closedBit    = state(1) << (3 * countBits)
	recordedBit  = closedBit << 1
)

// state packs the number of requests in flight, the number of waiting requests, the limit,
// the closed flag and the flag that starts must be recorded.
type state uint64

func (s state) inFlight() int { return int(s & maxCount) }

func (s state) waiting() int { return int(s >> waitingShift & maxCount) }

func (s state) limit() int { return int(s >> limitShift & maxCount) }

func (s state) closed() bool { return s&closedBit != 0 }

// hasFreeSlot reports whether a new request may take a slot without overtaking a waiter, if it
// must leave reserved slots free.
func (s state) hasFreeSlot(reserved int) bool {
	return !s.closed() && s.waiting() == 0 && s.inFlight()+reserved < s.limit()
}

func (s state) addInFlight(n int) state { return s + state(n) }

func (s state) addWaiting(n int) state { return s + state(n)<<waitingShift }

func (s state) withLimit(n int) state {
	return s&^(maxCount<<limitShift) | state(n)<<limitShift
}

func (s state) withClosed(closed bool) state {
	if closed {
		return s | closedBit
	}
	return s &^ closedBit
}

// recorded reports whether each start must be recorded under Limiter.mu.
func (s state) recorded() bool { return s&recordedBit != 0 }

func (s state) withRecorded(recorded bool) state {
	if recorded {
		return s | recordedBit
	}
	return s &^ recordedBit
}
