package admission

import "time"

// RankLoad is a snapshot of one rank under OrderUrgency. The last rank stands for all further ones.
type RankLoad struct {
	// Queued and Running are numbers of requests.
	Queued, Running int
	// Reserved is the number of slots that the rank must leave to more urgent ones, including those
	// that they are using.
	Reserved int
}

// RankLoads returns the state of each rank, or nil under OrderFair.
func (l *Limiter) RankLoads() []RankLoad {
	if l.ranks == nil {
		return nil
	}
	loads := make([]RankLoad, rankClasses)
	for class := range loads {
		loads[class].Running = max(int(l.ranks.running[class].Load()), 0)
		loads[class].Reserved = int(l.ranks.reserved[class].Load())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.queue.(*urgencyQueue).waiters {
		loads[rankClass(w.req.Rank)].Queued++
	}
	return loads
}

// RankWait is the expected wait of a request that arrives now, and whether it would be refused because
// of it.
type RankWait struct {
	Wait     time.Duration
	Refusing bool
}

// RankWaits returns the wait of each rank; the last one stands for all further ones. It is false under
// OrderFair. It takes no lock.
func (l *Limiter) RankWaits() (waits [rankClasses]RankWait, known bool) {
	if l.ranks == nil {
		return waits, false
	}
	s := l.load()
	free := s.limit() - s.inFlight()
	for class := range waits {
		switch {
		case s.waiting() > 0:
			waits[class] = RankWait{Wait: time.Duration(l.ranks.waits[class].Load()), Refusing: l.ranks.refusing[class].Load()}
		case free <= l.ranks.withheldFrom(uint32(class)):
			waits[class].Wait = l.times.overallMean() / time.Duration(max(s.limit(), 1))
		}
	}
	return waits, true
}
