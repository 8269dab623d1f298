package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"auburnladder.example/core/yamlcheck"
)

// LogFormat is the encoding of log lines.
type LogFormat string

const (
	// LogJSON writes one JSON object per line.
	LogJSON LogFormat = "json"
	// LogConsole writes lines for reading in a terminal.
	LogConsole LogFormat = "console"
)

// Log configures the node's log.
type Log struct {
	// Level is the lowest level that is logged: debug, info (the default), warn or error.
	Level string `yaml:"level"`
	// Format defaults to LogJSON.
	Format LogFormat `yaml:"format"`
}

// TraceExporter names the destination of exported spans.
type TraceExporter string

const (
	// TraceNone records no spans; the trace context is still forwarded.
	TraceNone TraceExporter = "none"
	// TraceStdout writes spans to standard output.
	TraceStdout TraceExporter = "stdout"
	// TraceOTLPHTTP uploads spans to an OTLP receiver over HTTP.
	TraceOTLPHTTP TraceExporter = "otlphttp"
)

// Trace configures which requests are traced and where their spans are exported.
type Trace struct {
	// Exporter defaults to TraceNone.
	Exporter TraceExporter `yaml:"exporter"`
	// Endpoint is the "ip:port" of an OTLP receiver over HTTP, required by TraceOTLPHTTP.
	Endpoint netip.AddrPort `yaml:"endpoint"`
	// SampleRatio is the share, from 0 to 1, of requests without an incoming trace
	// context that are traced; the default is 0.01. A higher ratio costs CPU time.
	SampleRatio float64 `yaml:"sample_ratio"`
}

var logLevels = []string{"debug", "info", "warn", "error"}

// Validate checks the level and the format.
func (l *Log) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if !slices.Contains(logLevels, l.Level) {
		problems = append(problems, yamlcheck.Problem{Field: "level", Found: l.Level, Expected: strings.Join(logLevels, ", ")})
	}
	if l.Format != LogJSON && l.Format != LogConsole {
		problems = append(problems, yamlcheck.Problem{Field: "format", Found: string(l.Format), Expected: "json or console"})
	}
	return problems
}

// Validate checks the exporter, the endpoint that it requires and the sample ratio.
func (t *Trace) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	switch t.Exporter {
	case TraceNone, TraceStdout:
	case TraceOTLPHTTP:
		if !t.Endpoint.IsValid() {
			problems = append(problems, yamlcheck.Problem{Field: "endpoint", Found: "nothing", Expected: "ip:port of an OTLP receiver"})
		}
	default:
		problems = append(problems, yamlcheck.Problem{Field: "exporter", Found: string(t.Exporter), Expected: "none, stdout or otlphttp"})
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		problems = append(problems, yamlcheck.Problem{
			Field: "sample_ratio", Found: fmt.Sprint(t.SampleRatio), Expected: "a number from 0 to 1",
		})
	}
	return problems
}
