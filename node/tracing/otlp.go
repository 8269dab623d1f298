package tracing

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

const (
	// otlpPath is the URL path on which OTLP/HTTP receivers accept spans.
	otlpPath = "/v1/traces"
	// uploadTimeout is the timeout of one upload, including its response.
	uploadTimeout = 10 * time.Second
	// maxResponseBytes is the most that is read of a receiver's response body.
	maxResponseBytes = 64 << 10
)

// otlpClient uploads spans to an OTLP receiver over plain HTTP, as protobuf. It
// implements otlptrace.Client. It replaces OpenTelemetry's own HTTP client, which links
// gRPC and so takes several megabytes of memory on every node.
type otlpClient struct {
	url  string
	http http.Client
}

func newOTLPClient(endpoint netip.AddrPort) *otlpClient {
	return &otlpClient{
		url:  "http://" + endpoint.String() + otlpPath,
		http: http.Client{Timeout: uploadTimeout},
	}
}

// Start implements otlptrace.Client. It does nothing: UploadTraces connects on demand.
func (c *otlpClient) Start(context.Context) error {
	return nil
}

// Stop implements otlptrace.Client. It closes the idle connections to the receiver.
func (c *otlpClient) Stop(context.Context) error {
	c.http.CloseIdleConnections()
	return nil
}

// UploadTraces implements otlptrace.Client. It returns an error if the receiver responds
// with any status other than 200. It encodes the spans as TracesData, which has the same
// protobuf encoding as the request message that OTLP receivers expect.
func (c *otlpClient) UploadTraces(ctx context.Context, spans []*tracepb.ResourceSpans) error {
	body, err := proto.Marshal(&tracepb.TracesData{ResourceSpans: spans})
	if err != nil {
		return fmt.Errorf("encode spans as protobuf: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request for span upload: %w", err)
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("upload spans: %w", err)
	}
	defer resp.Body.Close()
	// Drain the response body so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("upload spans: OTLP receiver responded with status %d", resp.StatusCode)
	}
	return nil
}
