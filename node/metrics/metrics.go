// Package metrics serves counters, gauges and latency histograms to a Prometheus scraper.
// The counters and gauges are the expvar variables of the process; the histograms are
// recorded in this package by the Observe functions, which are safe for concurrent use.
package metrics

import (
	"context"
	"expvar"
	"net"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	// namespace is the prefix of every metric name.
	namespace = "auburnladder"
	// smallestBucket (in seconds), bucketFactor and bucketCount define histogram buckets
	// with upper bounds from 1 ms to about 8 s.
	smallestBucket = 0.001
	bucketFactor   = 2
	bucketCount    = 14
	// scrapeTimeout limits reading the request of a scrape, and writing its response.
	scrapeTimeout = 5 * time.Second
	// idleTimeout limits the time between two scrapes on a connection. It is above the usual intervals.
	idleTimeout = 3 * time.Minute
	// MaxConnections is the number of connections of scrapers to serve at a time.
	MaxConnections = 16
	// maxBodyBytes and maxHeadBytes limit the request of a scrape, which needs no body.
	maxBodyBytes = 1 << 10
	maxHeadBytes = 8 << 10
	// workerTimeout is how long a goroutine waits for another connection.
	workerTimeout = time.Second
	// closeTimeout bounds the wait for open connections while the server closes.
	closeTimeout = 50 * time.Millisecond
)

var (
	requestSeconds = newHistogram("request_seconds", "Time from a request's arrival at the first node to its answer.", "service", "status")
	queueSeconds   = newHistogram("queue_seconds", "Time that a call waited for a slot of the backend server.", "outcome")
	evacuatedSince = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "evacuated_since_seconds",
		Help:      "Unix time at which the node learned that a failure domain is evacuated, for each one that is.",
	}, []string{"domain", "key"})
	serverSeconds = newHistogram("server_seconds", "Time that the backend server took for a call.", "status")
)

// The number of goroutines shows connections and requests that were not released.
func init() {
	expvar.Publish("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
}

// newHistogram returns a histogram in seconds. It is not registered; NewServer does that.
func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   prometheus.ExponentialBuckets(smallestBucket, bucketFactor, bucketCount),
	}, labels)
}

// ObserveRequest records that the first node responded to a caller's request with status,
// d after the request arrived. The service is the one that the request was routed to.
func ObserveRequest(service string, status int, d time.Duration) {
	requestSeconds.WithLabelValues(service, statusClass(status)).Observe(d.Seconds())
}

// ObserveQueue records that a call waited d for a slot of the backend server, at the
// server's node. The outcome is the reason why no slot was granted, "none" if one was.
func ObserveQueue(outcome string, d time.Duration) {
	queueSeconds.WithLabelValues(outcome).Observe(d.Seconds())
}

// ObserveServer records that the backend server took d for a call and responded with
// status, which is 0 if it did not respond.
func ObserveServer(status int, d time.Duration) {
	serverSeconds.WithLabelValues(statusClass(status)).Observe(d.Seconds())
}

// SetEvacuated records that a failure domain is evacuated by a key of the store, and since when the node
// has known.
func SetEvacuated(domain, key string, since time.Time) {
	evacuatedSince.WithLabelValues(domain, key).Set(float64(since.Unix()))
}

// DeleteEvacuated records that a failure domain is no longer evacuated by a key.
func DeleteEvacuated(domain, key string) { evacuatedSince.DeleteLabelValues(domain, key) }

// statusClass returns the label value of an HTTP status. To keep the number of label values
// small, only the refusals 404, 502, 503 and 504 have a value each. Every other status is
// reduced to its class, such as "2xx", and 0 is "none".
func statusClass(status int) string {
	switch status {
	case 0:
		return "none"
	case fasthttp.StatusNotFound, fasthttp.StatusServiceUnavailable, fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout:
		return strconv.Itoa(status)
	default:
		return strconv.Itoa(status/100) + "xx"
	}
}

// Server is an HTTP server that serves the metrics on every path.
type Server struct {
	http *fasthttp.Server
}

// NewServer returns a server for all metrics of the process. Call Serve to start it.
func NewServer() (*Server, error) {
	registry := prometheus.NewRegistry()
	for _, c := range []prometheus.Collector{requestSeconds, queueSeconds, serverSeconds, evacuatedSince, expvarCollector{}} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
	return &Server{http: &fasthttp.Server{
		Handler:      fasthttpadaptor.NewFastHTTPHandler(handler),
		ReadTimeout:  scrapeTimeout,
		WriteTimeout: scrapeTimeout,
		IdleTimeout:  idleTimeout,

		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeadBytes,
		MaxIdleWorkerDuration: workerTimeout,
	}}, nil
}

// Serve accepts connections on l and serves them until Close is called. It blocks.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close closes the listeners, which ends Serve, and waits for a short time until open connections
// are closed.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// expvarCollector exposes the numeric expvar variables as untyped metrics. It implements
// prometheus.Collector as an unchecked collector, one that describes no metrics, because
// variables are added to the expvar maps at run time.
type expvarCollector struct{}

// Describe implements prometheus.Collector. It sends no descriptors.
func (expvarCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It sends the current value of each variable.
func (expvarCollector) Collect(ch chan<- prometheus.Metric) {
	expvar.Do(func(kv expvar.KeyValue) { collectVar(ch, kv.Key, kv.Value) })
}

// collectVar sends v as a metric. The entries of a map are sent one by one, with the key
// appended to the name.
func collectVar(ch chan<- prometheus.Metric, name string, v expvar.Var) {
	if m, isMap := v.(*expvar.Map); isMap {
		m.Do(func(kv expvar.KeyValue) { collectVar(ch, name+"_"+kv.Key, kv.Value) })
		return
	}
	value, err := strconv.ParseFloat(v.String(), 64)
	if err != nil {
		// Skip strings and structures, such as the runtime's memstats: they are not numbers.
		return
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", sanitizeName(name)), "Counter or gauge of the node.", nil, nil)
	ch <- prometheus.MustNewConstMetric(desc, prometheus.UntypedValue, value)
}

// sanitizeName replaces each character that is not allowed in a metric name by "_".
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
