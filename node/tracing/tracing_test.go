package tracing

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"auburnladder.example/core/verdict"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

const callerTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// TestSpansFormOneTrace guards against traces that break between hops: a span whose parent
// is not the hop before it, and a node without an exporter that drops the trace context.
func TestSpansFormOneTrace(t *testing.T) {
	Convey("The span of each hop is a child of the span of the hop before it", t, func() {
		exporter := tracetest.NewInMemoryExporter()
		tr := newTracer(exporter, 0, state.Identity{VM: "a", Service: "s"})
		ingress := tr.Start(HopIngress, callerTraceparent)
		attempt := tr.Start(HopAttempt, ingress.Traceparent())
		attempt.End(verdict.Ran, nil)
		ingress.End(verdict.Ran, nil)
		So(tr.provider.ForceFlush(context.Background()), ShouldBeNil)
		spans := exporter.GetSpans()
		So(len(spans), ShouldEqual, 2)
		So(spans[0].Parent.SpanID(), ShouldEqual, spans[1].SpanContext.SpanID())
		So(spans[1].Parent.SpanID().String(), ShouldEqual, "00f067aa0ba902b7")
		So(strings.HasPrefix(attempt.Traceparent(), "00-4bf92f3577b34da6a3ce929d0e0e4736-"), ShouldBeTrue)
	})
	Convey("Without an exporter the trace context is propagated unchanged", t, func() {
		tr, err := New(context.Background(), settings.Trace{Exporter: settings.TraceNone}, state.Identity{})
		So(err, ShouldBeNil)
		span := tr.Start(HopIngress, callerTraceparent)
		So(span.Traceparent(), ShouldEqual, callerTraceparent)
		span.End(verdict.Ran, nil)
		So(tr.Shutdown(context.Background()), ShouldBeNil)
	})
}

// TestSpansReachAnOTLPReceiver guards against losing spans: those still buffered when the
// node shuts down, and those of an upload whose error status is ignored.
func TestSpansReachAnOTLPReceiver(t *testing.T) {
	Convey("The receiver gets the spans that ended before Shutdown", t, func() {
		var got tracepb.TracesData
		receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.URL.Path == otlpPath {
				_ = proto.Unmarshal(body, &got)
			}
		}))
		defer receiver.Close()
		cfg := settings.Trace{
			Exporter:    settings.TraceOTLPHTTP,
			Endpoint:    netip.MustParseAddrPort(receiver.Listener.Addr().String()),
			SampleRatio: 1,
		}
		tr, err := New(context.Background(), cfg, state.Identity{VM: "a", Service: "s"})
		So(err, ShouldBeNil)
		tr.Start(HopIngress, "").End(verdict.Ran, nil)
		So(tr.Shutdown(context.Background()), ShouldBeNil)
		So(got.GetResourceSpans(), ShouldHaveLength, 1)
		So(got.GetResourceSpans()[0].GetScopeSpans()[0].GetSpans()[0].GetName(), ShouldEqual, "ingress")
	})
	Convey("An upload returns an error if the receiver responds with 404", t, func() {
		receiver := httptest.NewServer(http.NotFoundHandler())
		defer receiver.Close()
		c := newOTLPClient(netip.MustParseAddrPort(receiver.Listener.Addr().String()))
		So(c.UploadTraces(context.Background(), nil), ShouldNotBeNil)
	})
}
