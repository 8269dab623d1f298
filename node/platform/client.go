// Package platform reads and watches keys at the platform's configuration service.
//
// The service is read-only. GET /v1/kv/KEY returns the value, with its revision in the
// X-Revision header. With ?watch=N&wait=D the response is sent as soon as the revision is
// above N, or with status 304 once the wait D has passed.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/responsehead"
)

// ErrNotFound is returned for a key without a value.
var ErrNotFound = errors.New("key not found")

// ErrUnchanged is returned by a watch that ended without a newer value.
var ErrUnchanged = errors.New("value unchanged")

// watchMargin is added to the wait to get the timeout of a watch.
const watchMargin = 5 * time.Second

// Value is the content of a key at one revision.
type Value struct {
	Data     []byte
	Revision uint64
}

// Config holds the endpoints and timeouts of a Client.
type Config struct {
	// BaseURLs are the service's endpoints; at least one is required. After a failed
	// request the client switches to the next one.
	BaseURLs []string
	// Timeout bounds a Get.
	Timeout time.Duration
	// Wait bounds how long the service keeps a watch open. A longer wait costs fewer
	// requests.
	Wait time.Duration
}

// Client reads from the service. Its methods are safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	next  atomic.Uint32
	calls atomic.Uint64
}

// NewClient returns a client. The first request opens a connection.
func NewClient(cfg Config) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   2,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: cfg.Wait + watchMargin,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}
}

// Close closes idle connections. It does not cancel requests in flight, which end with
// their contexts.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Calls returns the number of requests sent so far, watches included.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Get reads a key. It returns ErrNotFound if the key has no value.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.getFromCurrentEndpoint(ctx, "/v1/kv/"+key)
}

// Watch waits until the revision of a key is above after and returns the new value. It
// returns ErrUnchanged if the revision did not change within Config.Wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Wait+watchMargin)
	defer cancel()
	path := fmt.Sprintf("/v1/kv/%s?watch=%d&wait=%s", key, after, c.cfg.Wait)
	return c.getFromCurrentEndpoint(ctx, path)
}

func (c *Client) getFromCurrentEndpoint(ctx context.Context, path string) (Value, error) {
	c.calls.Add(1)
	base := c.cfg.BaseURLs[int(c.next.Load())%len(c.cfg.BaseURLs)]
	v, err := c.getURL(ctx, base+path)
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrUnchanged) {
		c.next.Add(1)
	}
	return v, err
}

func (c *Client) getURL(ctx context.Context, url string) (Value, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, fmt.Errorf("platform read: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, fmt.Errorf("platform read: %w", err)
	}
	defer resp.Body.Close()
	if err := checkHead(resp); err != nil {
		return Value{}, fmt.Errorf("platform read: %w", err)
	}
	return readValue(resp)
}

// checkHead returns an error if the head of a response is malformed. net/http takes any version of HTTP with two
// digits, any status of three digits, and blanks in field names. It joins folded lines, which can't be told here.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 || !responsehead.ValidStatus(resp.StatusCode) {
		return fmt.Errorf("malformed status line %.64q", resp.Proto+" "+resp.Status)
	}
	for name, values := range resp.Header {
		for _, value := range values {
			if !responsehead.ValidField(name, value) {
				return fmt.Errorf("malformed field %.64q", name)
			}
		}
	}
	return nil
}

func readValue(resp *http.Response) (Value, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Value{}, ErrNotFound
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	default:
		return Value{}, fmt.Errorf("platform read: unexpected status %d", resp.StatusCode)
	}
	rev, err := strconv.ParseUint(resp.Header.Get("X-Revision"), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("platform read: X-Revision header: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, release.MaxValueBytes+1))
	if err != nil {
		return Value{}, fmt.Errorf("platform read: %w", err)
	}
	if len(data) > release.MaxValueBytes {
		return Value{}, fmt.Errorf("platform read: value exceeds the limit of %d bytes", release.MaxValueBytes)
	}
	return Value{Data: data, Revision: rev}, nil
}
