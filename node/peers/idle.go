package peers

import (
	"sync/atomic"
	"time"

	"auburnladder.example/wire/session"
)

// outgoing is a session that this node opened.
type outgoing struct {
	session *session.Session
	// lastUse is when Get last returned the session, in Unix nanoseconds.
	lastUse atomic.Int64
}

// idle reports whether the session carried no stream since the given time.
func (o *outgoing) idle(since time.Time) bool {
	return o.session.Streams() == 0 && o.lastUse.Load() < since.UnixNano()
}

// closeIdle closes sessions that carried no stream for MaxIdle.
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
	for _, out := range s.outgoing {
		if out.idle(since) {
			out.session.Close()
		}
	}
}
