package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt. status is 0 if the connection ended without a
// complete answer.
type answer struct {
	id     string
	status int
	body   string
	err    error
	took   time.Duration
}

var lastID atomic.Int64

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1000, DisableCompression: true,
		MaxResponseHeaderBytes: 64 << 10,
	}}
}

// send sends one request to a machine's node and reads the whole answer. target is the request
// target as it goes on the wire.
func send(client *http.Client, m *machine, method, host, target string, deadline time.Duration, body io.Reader) (a answer) {
	a.id = newID()
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(callerPort)+target, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body = resp.StatusCode, string(data)
	return a
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("request %s: no complete answer (%v)", a.id, a.err)
	}
	return fmt.Sprintf("request %s: status %d, %q", a.id, a.status, a.body)
}
