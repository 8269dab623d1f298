package session

import (
	"errors"
	"time"
)

// ErrUnresponsive is returned by Accept if the session was closed because its peer was silent.
var ErrUnresponsive = errors.New("peer is unresponsive")

// probe sends a probe per ProbeInterval, and closes the session if FailedProbes of them in
// succession fail. It returns when the session has ended.
func (s *Session) probe(cfg Config) {
	ticker := time.NewTicker(cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.mux.CloseChan():
			return
		}
		if !s.responds(cfg) {
			s.unresponsive.Store(true)
			_ = s.mux.Close()
			return
		}
	}
}

// responds probes the peer, at most FailedProbes times. Any byte that arrives meanwhile counts as a
// response: a peer that is busy answers probes last.
func (s *Session) responds(cfg Config) bool {
	received := s.conn.received.Load()
	for range max(cfg.FailedProbes, 1) {
		if s.ping(cfg.ProbeTimeout) || s.conn.received.Load() != received {
			return true
		}
	}
	return false
}

// ping reports whether the peer acks a probe within the timeout.
func (s *Session) ping(timeout time.Duration) bool {
	acked := make(chan struct{})
	go func() {
		if _, err := s.mux.Ping(); err == nil {
			close(acked)
		}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-acked:
		return true
	case <-timer.C:
		return false
	case <-s.mux.CloseChan():
		return false
	}
}
