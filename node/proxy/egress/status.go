package egress

import "auburnladder.example/core/statusapi"

// ServerStatus returns the state of the backend server and its work, for operators.
func (e *Egress) ServerStatus() (statusapi.ServerState, statusapi.ServerLoad) {
	l := e.limiter.Load()
	load := statusapi.ServerLoad{InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit}
	connected, down := e.pool.state()
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

// state reports whether a connection to the server is open, and whether the server
// refused the last one.
func (p *serverPool) state() (connected, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open > 0, p.down
}
