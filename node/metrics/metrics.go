// Package metrics serves counters and latency histograms as text for a scraper. The
// counters are those that the node publishes by expvar; the histograms are kept here.
package metrics

import (
	"expvar"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	// namespace begins the name of each metric.
	namespace = "auburnladder"
	// firstBucket, bucketFactor and buckets give bounds from 1 ms to about 8 s.
	firstBucket  = 0.001
	bucketFactor = 2
	buckets      = 14
	// requestTimeout bounds a scrape.
	requestTimeout = 5 * time.Second
)

var (
	requestSeconds = newHistogram("request_seconds", "Time from a request's arrival at the first node to its answer.", "service", "status")
	queueSeconds   = newHistogram("queue_seconds", "Time that a call waited for a slot of the backend server.", "outcome")
	serverSeconds  = newHistogram("server_seconds", "Time that the backend server took for a call.", "status")
)

func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets),
	}, labels)
}

// ObserveRequest records a request of a caller with the status of its answer.
func ObserveRequest(service string, status int, d time.Duration) {
	requestSeconds.WithLabelValues(service, statusClass(status)).Observe(d.Seconds())
}

// ObserveQueue records how long a call waited at its server's node and what came of it.
func ObserveQueue(outcome string, d time.Duration) {
	queueSeconds.WithLabelValues(outcome).Observe(d.Seconds())
}

// ObserveServer records the time of the backend server; the status is 0 without an
// answer.
func ObserveServer(status int, d time.Duration) {
	serverSeconds.WithLabelValues(statusClass(status)).Observe(d.Seconds())
}

// statusClass keeps the number of label values small: single refusals, classes else.
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

// Server serves the metrics at any path.
type Server struct {
	http *fasthttp.Server
}

// NewServer returns a server of all metrics of the process.
func NewServer() (*Server, error) {
	registry := prometheus.NewRegistry()
	for _, c := range []prometheus.Collector{requestSeconds, queueSeconds, serverSeconds, expvarCollector{}} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
	return &Server{http: &fasthttp.Server{
		Handler:      fasthttpadaptor.NewFastHTTPHandler(handler),
		ReadTimeout:  requestTimeout,
		WriteTimeout: requestTimeout,
	}}, nil
}

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends Serve.
func (s *Server) Close() error { return s.http.Shutdown() }

// expvarCollector exposes the numbers that packages publish by expvar. It implements
// prometheus.Collector without a description: the set of numbers grows as they occur.
type expvarCollector struct{}

// Describe implements prometheus.Collector.
func (expvarCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (expvarCollector) Collect(ch chan<- prometheus.Metric) {
	expvar.Do(func(kv expvar.KeyValue) { collect(ch, kv.Key, kv.Value) })
}

func collect(ch chan<- prometheus.Metric, name string, v expvar.Var) {
	if m, isMap := v.(*expvar.Map); isMap {
		m.Do(func(kv expvar.KeyValue) { collect(ch, name+"_"+kv.Key, kv.Value) })
		return
	}
	value, err := strconv.ParseFloat(v.String(), 64)
	if err != nil {
		// Texts and the runtime's tables are no numbers.
		return
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", validName(name)), "Counter or gauge of the node.", nil, nil)
	ch <- prometheus.MustNewConstMetric(desc, prometheus.UntypedValue, value)
}

func validName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
