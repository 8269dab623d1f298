// Package tracing records one span for each hop of a call and passes the W3C trace
// context on.
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

// Header names the W3C trace context header, in lower case.
const Header = "traceparent"

// Hop names the part of a call that a span covers.
type Hop string

// Hops of one call, in order.
const (
	// HopIngress covers a request at the first node, all attempts included.
	HopIngress Hop = "ingress"
	// HopAttempt covers one attempt, from the first node to the server's node.
	HopAttempt Hop = "attempt"
	// HopEgress covers an attempt at the server's node, waiting included.
	HopEgress Hop = "egress"
	// HopServer covers the backend server's work.
	HopServer Hop = "server"
)

// Tracer starts spans. Its methods are safe for concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// New returns a tracer that exports as the settings say.
func New(ctx context.Context, cfg settings.Trace, id state.Identity) (*Tracer, error) {
	exporter, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	if exporter == nil {
		return &Tracer{}, nil
	}
	return newTracer(exporter, cfg.SampleRatio, id), nil
}

func newTracer(exporter sdktrace.SpanExporter, ratio float64, id state.Identity) *Tracer {
	res := resource.NewSchemaless(
		attribute.String("service.name", id.Service),
		attribute.String("service.instance.id", id.VM),
		attribute.String("auburnladder.domain", id.Domain),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("auburnladder.example/node")}
}

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

// Shutdown exports what is left.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Span is one hop. Without an exporter it only passes the trace context through.
type Span struct {
	span        trace.Span
	traceparent string
}

// Start begins the span of a hop below the given W3C trace context, which may be
// empty. A nil Tracer records nothing.
func (t *Tracer) Start(hop Hop, traceparent string) Span {
	if t == nil || t.tracer == nil {
		return Span{traceparent: traceparent}
	}
	carrier := propagation.MapCarrier{Header: traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, string(hop), trace.WithSpanKind(hop.kind()))
	clear(carrier)
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span: span, traceparent: carrier[Header]}
}

func (h Hop) kind() trace.SpanKind {
	if h == HopIngress || h == HopEgress {
		return trace.SpanKindServer
	}
	return trace.SpanKindClient
}

// Traceparent returns the context to pass on, "" if there is none.
func (s Span) Traceparent() string {
	return s.traceparent
}

// Annotate adds a text attribute.
func (s Span) Annotate(key, value string) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End closes the span with the verdict on its hop; err is nil for an answer.
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
