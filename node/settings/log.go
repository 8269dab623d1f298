package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"auburnladder.example/core/yamlcheck"
)

// LogFormat is how log lines are written.
type LogFormat string

// Log formats.
const (
	LogJSON    LogFormat = "json"
	LogConsole LogFormat = "console"
)

// Log says what is logged and how.
type Log struct {
	// Level is debug, info, warn or error.
	Level  string    `yaml:"level"`
	Format LogFormat `yaml:"format"`
}

// TraceExporter is where spans go.
type TraceExporter string

// Trace exporters.
const (
	TraceNone     TraceExporter = "none"
	TraceStdout   TraceExporter = "stdout"
	TraceOTLPHTTP TraceExporter = "otlphttp"
)

// Trace says which requests leave spans and where these go.
type Trace struct {
	Exporter TraceExporter `yaml:"exporter"`
	// Endpoint is the "ip:port" of an OTLP receiver over HTTP.
	Endpoint netip.AddrPort `yaml:"endpoint"`
	// SampleRatio is the share of requests without a trace of their own that get
	// one, from 0 to 1. Higher costs processor time.
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

// Validate checks the exporter and what it needs.
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
