// Package mesh defines the configuration of one service and the immutable
// snapshot of a complete release that the request path reads.
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
	// AnyCaller in a list of callers allows every caller.
	AnyCaller = "*"
	// AnyMethod as the only method of a route matches all methods.
	AnyMethod = "*"
)

// Service is the content of one chunk: the configuration compiled from one
// team's questionnaire.
type Service struct {
	Name string `json:"name"`
	// Hosts are the host names, without port, under which callers reach the service.
	Hosts []string `json:"hosts"`
	// Callers lists who may call: PublicCaller, AnyCaller or names of services.
	Callers []string `json:"callers"`
	// Priority decides whose calls are refused first under overload: low, normal or high.
	Priority  Priority   `json:"priority"`
	Server    Server     `json:"server"`
	Stop      Stop       `json:"stop"`
	Resources []Resource `json:"resources"`
	// Routes may be shared by several services and must not be changed.
	Routes []*Route `json:"routes"`
	// Clients limits what clients of the nodes may send; nil selects the nodes' defaults.
	Clients *ClientLimits `json:"client_limits,omitempty"`
}

// ClientLimits limits what a client may send and how long it may take.
type ClientLimits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int `json:"header_bytes"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderTimeout is the maximum time from the first byte of a request header to its end.
	HeaderTimeout Millis `json:"header_timeout_ms"`
	// IdleTimeout is the maximum time between two requests on a connection.
	IdleTimeout Millis `json:"idle_timeout_ms"`
}

// Priority is the importance of a service's calls under overload.
type Priority string

// Priorities, in the order in which calls are refused under overload.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// Server describes the limits of each backend server of the service.
type Server struct {
	// Slots is the number of requests that a server processes concurrently; 0 if the
	// VM list specifies it for each server.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to a server.
	Connections int `json:"connections"`
	// SlowStart is how long a newly started server takes to reach full speed.
	SlowStart Millis `json:"slow_start_ms"`
	// DrainPath is the path that responds with status 503 when the server requests to be
	// drained; "" if the server has none.
	DrainPath string `json:"drain_path,omitempty"`
	// ColdStart is how long a server stays cold after its start; 0 if servers are never cold.
	ColdStart Millis `json:"cold_start_ms,omitempty"`
	// ColdStartsPerSecond is the number of requests per second that a cold server tolerates; 0 if
	// servers are never cold.
	ColdStartsPerSecond float64 `json:"cold_starts_per_second,omitempty"`
	// HealthPath is the path whose response says how long the server stays cold; "" if there is
	// none.
	HealthPath string `json:"health_path,omitempty"`
}

// ColdLimits returns how long a server stays cold and how many requests per second it then tolerates,
// or false if servers are never cold.
func (s *Server) ColdLimits() (coldStart time.Duration, perSecond float64, ok bool) {
	if s.ColdStart <= 0 || !(s.ColdStartsPerSecond > 0) {
		return 0, 0, false
	}
	return s.ColdStart.Duration(), s.ColdStartsPerSecond, true
}

// StopMethod is how a backend server is asked to stop.
type StopMethod string

const (
	// StopHTTP sends a POST request to Stop.Path.
	StopHTTP StopMethod = "http"
	// StopNone sends nothing; the platform stops the server after the drain.
	StopNone StopMethod = "none"
)

// Stop configures the graceful shutdown of a backend server.
type Stop struct {
	Method StopMethod `json:"method"`
	Path   string     `json:"path,omitempty"`
	// Grace is the maximum time for requests in flight to complete.
	Grace Millis `json:"grace_ms"`
}

// Resource is something that a service provides and that routes refer to.
type Resource struct {
	Name string `json:"name"`
	// MaxRequestBytes and MaxResponseBytes are the maximum sizes of the bodies.
	MaxRequestBytes  int64 `json:"max_request_bytes"`
	MaxResponseBytes int64 `json:"max_response_bytes"`
}

// Route sends matching requests to a resource of a service.
type Route struct {
	Name string `json:"name"`
	// Methods lists HTTP methods in upper case.
	Methods []string `json:"methods"`
	// Host overrides the service's hosts for this route; "" if they apply.
	Host string `json:"host,omitempty"`
	// Prefix is a path prefix that matches whole path segments only.
	Prefix string `json:"prefix"`
	// Service and Resource are the target; both must be in the same release.
	Service    string `json:"service"`
	Resource   string `json:"resource"`
	Idempotent bool   `json:"idempotent"`
	// Split divides the requests between services; empty if all go to Service. In a
	// split route, Service is the service of the first part.
	Split    []SplitPart `json:"split,omitempty"`
	Retry    Retry       `json:"retry"`
	Deadline Millis      `json:"deadline_ms"`
	// Objective is the target latency of a response; 0 if there is none.
	Objective Millis `json:"objective_ms,omitempty"`
	// Rank orders routes under overload, 0 first; nil if the service's priority applies.
	Rank *int `json:"rank,omitempty"`
}

// SplitPart is one part of a traffic split.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is the part's share relative to the sum of all weights.
	Weight float64 `json:"weight"`
}

// Retry configures which calls may be retried.
type Retry struct {
	// Attempts is the maximum number of attempts, including the first one.
	Attempts int `json:"attempts"`
	// Statuses lists the HTTP statuses of a server's response that allow a retry.
	Statuses []int `json:"statuses"`
}

// Millis is a duration in whole milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Encode validates s and returns the canonical bytes of its chunk. The manifest holds
// their digest.
func (s *Service) Encode() ([]byte, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// ParseService decodes and validates one chunk. It refuses unknown fields and data
// after the JSON value.
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
