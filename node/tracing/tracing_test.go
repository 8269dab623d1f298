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

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func TestSpansFormOneTrace(t *testing.T) {
	Convey("Each hop's span is the child of the hop before it", t, func() {
		exporter := tracetest.NewInMemoryExporter()
		tr := newTracer(exporter, 0, state.Identity{VM: "a", Service: "s"})
		first := tr.Start(HopIngress, parent)
		second := tr.Start(HopAttempt, first.Traceparent())
		second.End(verdict.Ran, nil)
		first.End(verdict.Ran, nil)
		So(tr.provider.ForceFlush(context.Background()), ShouldBeNil)
		spans := exporter.GetSpans()
		So(len(spans), ShouldEqual, 2)
		So(spans[0].Parent.SpanID(), ShouldEqual, spans[1].SpanContext.SpanID())
		So(spans[1].Parent.SpanID().String(), ShouldEqual, "00f067aa0ba902b7")
		So(strings.HasPrefix(second.Traceparent(), "00-4bf92f3577b34da6a3ce929d0e0e4736-"), ShouldBeTrue)
	})
	Convey("Without an exporter the context passes through unchanged", t, func() {
		tr, err := New(context.Background(), settings.Trace{Exporter: settings.TraceNone}, state.Identity{})
		So(err, ShouldBeNil)
		span := tr.Start(HopIngress, parent)
		So(span.Traceparent(), ShouldEqual, parent)
		span.End(verdict.Ran, nil)
		So(tr.Shutdown(context.Background()), ShouldBeNil)
	})
}

func TestSpansReachAnOTLPReceiver(t *testing.T) {
	Convey("A receiver gets the spans that were recorded before the shutdown", t, func() {
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
	Convey("An upload that the receiver refuses is an error", t, func() {
		receiver := httptest.NewServer(http.NotFoundHandler())
		defer receiver.Close()
		c := newOTLPClient(netip.MustParseAddrPort(receiver.Listener.Addr().String()))
		So(c.UploadTraces(context.Background(), nil), ShouldNotBeNil)
	})
}
