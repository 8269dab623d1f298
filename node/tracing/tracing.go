// Package tracing records an OpenTelemetry span for each hop of a call and propagates the
// W3C trace context from hop to hop. Spans are exported to standard output, to an OTLP
// receiver or not at all.
package tracing

import (
	"context"
	"fmt"
	"os"

	"auburnladder.example/core/verdict"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Header is the name of the W3C trace context header, in lower case.
const Header = "traceparent"

// Hop is the part of a call that a span covers. Its value is the name of the span.
type Hop string

// Hops of a call, from the outermost to the innermost.
const (
	// HopIngress covers a request at the first node, including all attempts.
	HopIngress Hop = "ingress"
	// HopAttempt covers one attempt, as the first node sees it: opening a stream to the
	// server's node, sending the call and waiting for the reply.
	HopAttempt Hop = "attempt"
	// HopEgress covers an attempt at the server's node, including the time in its queue.
	HopEgress Hop = "egress"
	// HopServer covers the exchange with the backend server.
	HopServer Hop = "server"
)

// Tracer starts spans. The zero value and a nil Tracer record none. Its methods are safe
// for concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// New returns a tracer that uses the exporter, endpoint and sample ratio in cfg. Its spans
// carry the service, VM and failure domain of id. With settings.TraceNone the tracer
// records nothing. The caller must call Shutdown to export the last spans.
func New(ctx context.Context, cfg settings.Trace, id state.Identity) (*Tracer, error) {
	exporter, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("create trace exporter: %w", err)
	}
	if exporter == nil {
		return &Tracer{}, nil
	}
	return newTracer(exporter, cfg.SampleRatio, id), nil
}

// newTracer returns a tracer that exports in batches. It samples sampleRatio of the
// requests that arrive without a trace context; other requests keep the sampling decision
// of their trace context.
func newTracer(exporter sdktrace.SpanExporter, sampleRatio float64, id state.Identity) *Tracer {
	res := resource.NewSchemaless(
		attribute.String("service.name", id.Service),
		attribute.String("service.instance.id", id.VM),
		attribute.String("auburnladder.domain", id.Domain),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sampleRatio))),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("auburnladder.example/node")}
}

// newExporter returns the exporter that cfg selects, nil for none.
func newExporter(ctx context.Context, cfg settings.Trace) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case settings.TraceStdout:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case settings.TraceOTLPHTTP:
		return otlptrace.New(ctx, newOTLPClient(cfg.Endpoint))
	default:
		return nil, nil
	}
}

// Shutdown exports the remaining spans and stops the exporter. It returns an error if ctx
// ends first or the export fails.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Span is the span of one hop. Without an exporter it records nothing and only holds the
// trace context that Start was given.
type Span struct {
	span        trace.Span
	traceparent string
}

// Start starts the span of a hop as a child of traceparent, a W3C trace context. If
// traceparent is empty or invalid, the span is the root of a new trace. The caller must
// end the span with End.
func (t *Tracer) Start(hop Hop, traceparent string) Span {
	if t == nil || t.tracer == nil {
		return Span{traceparent: traceparent}
	}
	carrier := propagation.MapCarrier{Header: traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, string(hop), trace.WithSpanKind(hop.spanKind()))
	clear(carrier)
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span: span, traceparent: carrier[Header]}
}

// spanKind returns SpanKindServer for hops that handle a received request, and
// SpanKindClient for hops that send one.
func (h Hop) spanKind() trace.SpanKind {
	if h == HopIngress || h == HopEgress {
		return trace.SpanKindServer
	}
	return trace.SpanKindClient
}

// Traceparent returns the W3C trace context to send to the next hop, "" if there is none.
func (s Span) Traceparent() string {
	return s.traceparent
}

// Annotate sets a string attribute on the span if the span is sampled.
func (s Span) Annotate(key, value string) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span. It records v, which says whether the request ran, as an attribute,
// and sets the status of the span to error if err is not nil.
func (s Span) End(v verdict.Verdict, err error) {
	if s.span == nil {
		return
	}
	s.Annotate("auburnladder.verdict", v.String())
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
