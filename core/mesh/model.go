// Package mesh defines the configuration of one service, and the immutable
// snapshot of a whole release that the request path reads.
package mesh

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// PublicCaller is the caller class of requests from outside the mesh.
const PublicCaller = "public"

const (
	// AnyCaller in a list of callers admits everyone.
	AnyCaller = "*"
	// AnyMethod as the only method of a route matches all methods.
	AnyMethod = "*"
)

// Service is the content of one chunk: the configuration generated from one
// team's questionnaire.
type Service struct {
	Name string `json:"name"`
	// Hosts are the HTTP authorities under which callers reach the service.
	Hosts []string `json:"hosts"`
	// Callers lists who may call: PublicCaller or names of services.
	Callers []string `json:"callers"`
	// Priority orders services under overload: low, normal or high.
	Priority  Priority   `json:"priority"`
	Server    Server     `json:"server"`
	Stop      Stop       `json:"stop"`
	Resources []Resource `json:"resources"`
	Routes    []Route    `json:"routes"`
	// Clients bounds what clients of the nodes may send; nil for the nodes' defaults.
	Clients *ClientLimits `json:"client_limits,omitempty"`
}

// ClientLimits bounds what a client may send and how long it may take.
type ClientLimits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int `json:"header_bytes"`
	// BodyBytes bounds its body.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderTimeout bounds the time from the first byte of a head to its end.
	HeaderTimeout Millis `json:"header_timeout_ms"`
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout Millis `json:"idle_timeout_ms"`
}

// Priority is the importance of a service's calls under overload.
type Priority string

// Priorities, from the first to be refused to the last.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// Server describes the limits of each backend server of the service.
type Server struct {
	// Slots is the number of requests that a server works on at once; 0 if the VM list
	// gives it for each server.
	Slots int `json:"slots"`
	// Connections bounds the connections to a server.
	Connections int `json:"connections"`
	// SlowStart is how long a cold server takes to reach full speed.
	SlowStart Millis `json:"slow_start_ms"`
	// DrainPath answers with status 503 once the server wants to leave; "" if none.
	DrainPath string `json:"drain_path,omitempty"`
}

// StopMethod is how a backend server is told to stop.
type StopMethod string

const (
	// StopHTTP sends a POST request to Stop.Path.
	StopHTTP StopMethod = "http"
	// StopNone leaves the stop to the platform after the drain.
	StopNone StopMethod = "none"
)

// Stop is the graceful shutdown that the team asked for.
type Stop struct {
	Method StopMethod `json:"method"`
	Path   string     `json:"path,omitempty"`
	// Grace bounds how long requests in flight may take to end.
	Grace Millis `json:"grace_ms"`
}

// Resource is something that a service holds and its routes lead to.
type Resource struct {
	Name string `json:"name"`
	// MaxRequestBytes and MaxResponseBytes bound the bodies.
	MaxRequestBytes  int64 `json:"max_request_bytes"`
	MaxResponseBytes int64 `json:"max_response_bytes"`
}

// Route leads matching requests to a resource of a service.
type Route struct {
	Name string `json:"name"`
	// Methods lists HTTP methods in upper case.
	Methods []string `json:"methods"`
	// Host replaces the service's hosts for this route; "" if they apply.
	Host string `json:"host,omitempty"`
	// Prefix matches whole path segments from the start of the path.
	Prefix string `json:"prefix"`
	// Service and Resource are the target; both must be in the same release.
	Service    string `json:"service"`
	Resource   string `json:"resource"`
	Idempotent bool   `json:"idempotent"`
	// Split divides the requests between services; empty if all go to Service, which
	// is the first part otherwise.
	Split    []SplitPart `json:"split,omitempty"`
	Retry    Retry       `json:"retry"`
	Deadline Millis      `json:"deadline_ms"`
	// Objective is the latency within which an answer is worth most; 0 if none is set.
	Objective Millis `json:"objective_ms,omitempty"`
	// Rank orders routes under overload, 0 first; nil if the service's priority does.
	Rank *int `json:"rank,omitempty"`
}

// SplitPart is one part of a traffic split.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is the part's share relative to the sum of all weights.
	Weight float64 `json:"weight"`
}

// Retry says what may be tried again.
type Retry struct {
	// Attempts bounds the attempts in all, the first one included.
	Attempts int `json:"attempts"`
	// Statuses lists the server's HTTP statuses that allow another attempt.
	Statuses []int `json:"statuses"`
}

// Millis is a duration in whole milliseconds.
type Millis int64

// Duration converts m.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Encode returns the canonical bytes of the chunk for s.
func (s *Service) Encode() ([]byte, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// ParseService decodes and validates one chunk.
func ParseService(data []byte) (*Service, error) {
	var s Service
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("service chunk: %w", err)
	}
	if dec.More() {
		return nil, errors.New("service chunk: data after the value")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}
