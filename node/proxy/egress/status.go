package egress

import "auburnladder.example/core/statusapi"

// ServerStatus returns the state and load of the backend server for the status API. It
// may be called from any goroutine.
func (e *Egress) ServerStatus() (statusapi.ServerState, statusapi.ServerLoad) {
	l := e.limiter.Load()
	load := statusapi.ServerLoad{InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit}
	if cold := e.cold.status.Load(); cold.cold {
		load.ColdMS, load.ColdReason = cold.left(e.Now()).Milliseconds(), string(cold.reason)
	}
	connected, down := e.pool.connState()
	switch {
	case down:
		return statusapi.ServerDown, load
	case e.State.Leaving():
		return statusapi.ServerLeaving, load
	case connected:
		return statusapi.ServerUp, load
	default:
		return statusapi.ServerUnknown, load
	}
}

// connState reports whether a connection to the server is open, and whether the latest
// connection attempt failed.
func (p *serverPool) connState() (connected, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open > 0, p.down
}
