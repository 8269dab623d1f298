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
	// otlpPath is the path of an OTLP receiver over HTTP.
	otlpPath = "/v1/traces"
	// uploadTimeout bounds one upload of spans.
	uploadTimeout = 10 * time.Second
	// maxAnswerBytes bounds how much of a receiver's answer is read.
	maxAnswerBytes = 64 << 10
)

// otlpClient uploads spans to an OTLP receiver over HTTP. It implements
// otlptrace.Client. The library's own client links gRPC, which takes several
// megabytes of every node's memory.
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

// Start implements otlptrace.Client.
func (c *otlpClient) Start(context.Context) error {
	return nil
}

// Stop implements otlptrace.Client.
func (c *otlpClient) Stop(context.Context) error {
	c.http.CloseIdleConnections()
	return nil
}

// UploadTraces implements otlptrace.Client. TracesData has the encoding of the
// request message that a receiver expects.
func (c *otlpClient) UploadTraces(ctx context.Context, spans []*tracepb.ResourceSpans) error {
	body, err := proto.Marshal(&tracepb.TracesData{ResourceSpans: spans})
	if err != nil {
		return fmt.Errorf("encode spans: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("upload spans: %w", err)
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("upload spans: %w", err)
	}
	defer resp.Body.Close()
	// The rest of the answer is read so that the connection can be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("upload spans: status %d", resp.StatusCode)
	}
	return nil
}
