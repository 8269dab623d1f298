package distribution

import (
	"expvar"
	"time"
)

// byteCounters counts the message bytes of one kind of request, including replies.
type byteCounters struct {
	sent     expvar.Int
	received expvar.Int
}

// metrics holds the counters of one driver.
type metrics struct {
	announce, exchange, manifest, chunks, vmList byteCounters

	announcements expvar.Int
	fetches       expvar.Int
	sourceCalls   expvar.Int
	sourceBytes   expvar.Int
	// sourceFailures counts failed calls to the platform.
	sourceFailures   expvar.Int
	applies          expvar.Int
	applyMicros      expvar.Int
	sessionsReplaced expvar.Int
	requestsDropped  expvar.Int
	vars             *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init()}
	kinds := []struct {
		name string
		kind *byteCounters
	}{
		{"announce", &m.announce},
		{"exchange", &m.exchange},
		{"manifest", &m.manifest},
		{"chunks", &m.chunks},
		{"vm_list", &m.vmList},
	}
	for _, k := range kinds {
		m.vars.Set(k.name+"_sent_bytes", &k.kind.sent)
		m.vars.Set(k.name+"_received_bytes", &k.kind.received)
	}
	m.vars.Set("announcements", &m.announcements)
	m.vars.Set("fetches", &m.fetches)
	m.vars.Set("source_calls", &m.sourceCalls)
	m.vars.Set("source_bytes", &m.sourceBytes)
	m.vars.Set("source_failures", &m.sourceFailures)
	m.vars.Set("applies", &m.applies)
	m.vars.Set("apply_us_total", &m.applyMicros)
	m.vars.Set("sessions_replaced", &m.sessionsReplaced)
	m.vars.Set("requests_dropped", &m.requestsDropped)
	return m
}

// recordApply counts an applied release and the time that applying it took.
func (m *metrics) recordApply(took time.Duration) {
	m.applies.Add(1)
	m.applyMicros.Add(took.Microseconds())
}

// Metrics returns the driver's counters, which the node publishes under "distribution" in
// expvar.
func (d *Driver) Metrics() *expvar.Map {
	return d.metrics.vars
}
