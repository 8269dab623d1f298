package callerhttp

import (
	"net"
	"time"
)

const (
	// pendingDivisor is the part of MaxConnections that may wait for room, one in so many.
	pendingDivisor = 16
	// pendingTimeout bounds the wait. It is above minEvictIdle, so that the connections of callers that
	// were answered a moment ago can make room.
	pendingTimeout = 1500 * time.Millisecond
	// pendingInterval is the time between two looks for room.
	pendingInterval = 50 * time.Millisecond
)

// pendingConn is a connection that found no room. Nothing is read from it while it waits.
type pendingConn struct {
	nc    net.Conn
	since time.Time
}

// enqueueLocked makes nc wait for room. When too many wait, the one that has waited for longest is refused.
// mu is held.
func (s *Server) enqueueLocked(nc net.Conn) {
	s.pending = append(s.pending, pendingConn{nc: nc, since: time.Now()})
	if len(s.pending) > s.cfg.MaxConnections/pendingDivisor {
		s.refuseOldestLocked()
	}
	if len(s.pending) == 1 {
		time.AfterFunc(pendingInterval, s.admitPending)
	}
}

// admitPending serves the connections that wait, the latest one first, as far as there is room.
func (s *Server) admitPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && time.Since(s.pending[0].since) > pendingTimeout {
		s.refuseOldestLocked()
	}
	for len(s.pending) > 0 && s.hasRoomLocked() {
		last := len(s.pending) - 1
		nc := s.pending[last].nc
		s.pending = s.pending[:last]
		s.serveLocked(nc)
	}
	if len(s.pending) > 0 {
		time.AfterFunc(pendingInterval, s.admitPending)
	}
}

// hasRoomLocked reports whether one more connection may be served, and closes another one for it if
// necessary. mu is held.
func (s *Server) hasRoomLocked() bool {
	return len(s.conns)-s.evicted < s.cfg.MaxConnections || s.evictLocked()
}

// refuseOldestLocked refuses the connection that has waited for longest. mu is held.
func (s *Server) refuseOldestLocked() {
	refuse(s.pending[0].nc)
	s.pending = s.pending[1:]
}

// refuse closes a connection that found no room, before anything is read from it.
func refuse(nc net.Conn) {
	stats.refused.Add(1)
	// The socket's buffer is empty, so the write does not wait.
	_, _ = nc.Write([]byte(tooManyConnections))
	_ = nc.Close()
}
