package distribution

import (
	"expvar"
	"time"
)

// kindMetrics counts the message bytes of one kind of request, answers included.
type kindMetrics struct {
	sent     expvar.Int
	received expvar.Int
}

// metrics are the counters of one driver.
type metrics struct {
	announce, exchange, manifest, chunks, vmList kindMetrics

	announcements expvar.Int
	fetches       expvar.Int
	sourceCalls   expvar.Int
	sourceBytes   expvar.Int
	// sourceFailures counts calls to the platform without an answer.
	sourceFailures expvar.Int
	applies        expvar.Int
	applyMicros    expvar.Int
	replaced       expvar.Int
	dropped        expvar.Int
	all            *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init()}
	kinds := []struct {
		name string
		kind *kindMetrics
	}{
		{"announce", &m.announce},
		{"exchange", &m.exchange},
		{"manifest", &m.manifest},
		{"chunks", &m.chunks},
		{"vm_list", &m.vmList},
	}
	for _, k := range kinds {
		m.all.Set(k.name+"_sent_bytes", &k.kind.sent)
		m.all.Set(k.name+"_received_bytes", &k.kind.received)
	}
	m.all.Set("announcements", &m.announcements)
	m.all.Set("fetches", &m.fetches)
	m.all.Set("source_calls", &m.sourceCalls)
	m.all.Set("source_bytes", &m.sourceBytes)
	m.all.Set("source_failures", &m.sourceFailures)
	m.all.Set("applies", &m.applies)
	m.all.Set("apply_us_total", &m.applyMicros)
	m.all.Set("sessions_replaced", &m.replaced)
	m.all.Set("requests_dropped", &m.dropped)
	return m
}

// applied records that a release came into force, and how long that took.
func (m *metrics) applied(took time.Duration) {
	m.applies.Add(1)
	m.applyMicros.Add(took.Microseconds())
}

// Metrics returns the driver's counters, to be published by the node.
func (d *Driver) Metrics() *expvar.Map {
	return d.metrics.all
}
