// Package platform reads and watches keys at the platform's configuration service.
//
// The service can only be read. GET /v1/kv/KEY answers with the value and its
// revision in the X-Revision header; with ?watch=N&wait=D it answers once the
// revision is above N, or with status 304 after the wait.
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
)

// ErrNotFound reports that a key has no value.
var ErrNotFound = errors.New("key not found")

// ErrUnchanged reports that a watch ended without a newer value.
var ErrUnchanged = errors.New("value unchanged")

// watchMargin is how much longer than the wait a watch's answer may take.
const watchMargin = 5 * time.Second

// Value is the content of a key at one revision.
type Value struct {
	Data     []byte
	Revision uint64
}

// Config says where the service is and how long it may take.
type Config struct {
	// BaseURLs are the service's endpoints; each call moves on to the next one
	// after a failure.
	BaseURLs []string
	// Timeout bounds a read that does not watch.
	Timeout time.Duration
	// Wait is how long a watch may stay open. Longer costs fewer calls.
	Wait time.Duration
}

// Client calls the service. Its methods are safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	next  atomic.Uint32
	calls atomic.Uint64
}

// NewClient returns a client; it opens no connection yet.
func NewClient(cfg Config) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   2,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: cfg.Wait + watchMargin,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}
}

// Close closes idle connections. Calls that are open end with their contexts.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Calls returns the number of calls made so far, watches included.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.call(ctx, "/v1/kv/"+key)
}

// Watch waits until the revision of a key is above after. It returns ErrUnchanged
// if that did not happen in time.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Wait+watchMargin)
	defer cancel()
	path := fmt.Sprintf("/v1/kv/%s?watch=%d&wait=%s", key, after, c.cfg.Wait)
	return c.call(ctx, path)
}

func (c *Client) call(ctx context.Context, path string) (Value, error) {
	c.calls.Add(1)
	base := c.cfg.BaseURLs[int(c.next.Load())%len(c.cfg.BaseURLs)]
	v, err := c.do(ctx, base+path)
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrUnchanged) {
		c.next.Add(1)
	}
	return v, err
}

func (c *Client) do(ctx context.Context, url string) (Value, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, fmt.Errorf("platform read: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, fmt.Errorf("platform read: %w", err)
	}
	defer resp.Body.Close()
	return readValue(resp)
}

func readValue(resp *http.Response) (Value, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Value{}, ErrNotFound
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	default:
		return Value{}, fmt.Errorf("platform read: status %d", resp.StatusCode)
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
		return Value{}, fmt.Errorf("platform read: value above %d bytes", release.MaxValueBytes)
	}
	return Value{Data: data, Revision: rev}, nil
}
