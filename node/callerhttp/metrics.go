package callerhttp

import "expvar"

// stats holds the counters and gauges of all servers of this process. They are published under
// the key "callers" of /debug/vars.
var stats = newStats()

type serverStats struct {
	// connections is the number of open connections of callers.
	connections expvar.Int
	// limit is the largest number of open connections, of all servers.
	limit expvar.Int
	// evicted counts the idle connections that were closed to make room for others, refused those that
	// found no room.
	evicted, refused expvar.Int
	// stalled counts the connections that were closed for the benefit of others because their callers
	// had made no progress for longest.
	stalled expvar.Int
	// waiting is the number of requests that were read behind an unanswered one of their
	// connection and whose response is not complete.
	waiting expvar.Int
	// pipelined counts the requests that were read behind an unanswered one.
	pipelined expvar.Int
	// paused counts how often a connection was not read because too many of its requests, or
	// of all connections, were unanswered.
	paused expvar.Int
	// cut counts the responses that could not be written completely.
	cut expvar.Int
	// undelivered counts the requests that were read and got no complete response, other than
	// those whose caller left.
	undelivered expvar.Int
	// panics counts the requests whose task panicked.
	panics expvar.Int
}

func newStats() *serverStats {
	s := &serverStats{}
	vars := expvar.NewMap("callers")
	vars.Set("connections", &s.connections)
	vars.Set("connections_limit", &s.limit)
	vars.Set("evicted", &s.evicted)
	vars.Set("refused", &s.refused)
	vars.Set("stalled_closed", &s.stalled)
	vars.Set("waiting_for_turn", &s.waiting)
	vars.Set("pipelined", &s.pipelined)
	vars.Set("paused", &s.paused)
	vars.Set("cut", &s.cut)
	vars.Set("undelivered", &s.undelivered)
	vars.Set("panics", &s.panics)
	return s
}
