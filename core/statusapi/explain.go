package statusapi

import (
	"auburnladder.example/core/release"
)

const (
	// ExplainPath answers with an Explanation. Query parameters: method, host, path
	// and caller, all required.
	ExplainPath = "/v1/explain"
	// ExplainVMPath answers with a VMExplanation. Query parameter: vm.
	ExplainVMPath = "/v1/explain/vm"
)

// VMExplanation says whether a node sends work to a VM, and why.
type VMExplanation struct {
	APIVersion string          `json:"api_version"`
	VM         string          `json:"vm"`
	Held       release.Version `json:"held"`
	// Listed reports whether the subject is in the VM list of this node.
	Listed  bool   `json:"listed"`
	Service string `json:"service,omitempty"`
	// Configured reports whether the release in force has the subject's service.
	Configured bool `json:"configured"`
	// Subject is the VM that is asked about, as a candidate of its service.
	Subject Candidate `json:"subject"`
	// Routes lead to the subject's service.
	Routes []RouteName `json:"routes,omitempty"`
}

// RouteName names a route by the service that declares it.
type RouteName struct {
	Service string `json:"service"`
	Route   string `json:"route"`
}

// Explanation says how a node would treat a request.
type Explanation struct {
	APIVersion string          `json:"api_version"`
	VM         string          `json:"vm"`
	Held       release.Version `json:"held"`
	// Outcome says what happens to the request.
	Outcome Outcome `json:"outcome"`
	// Reason says why, for people.
	Reason string `json:"reason,omitempty"`
	// Route is nil if none matches.
	Route *ExplainedRoute `json:"route,omitempty"`
	// Candidates are all servers of the target service.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Outcome is what happens to a request.
type Outcome string

// Outcomes.
const (
	OutcomeRouted    Outcome = "routed"
	OutcomeNoRelease Outcome = "no-release"
	OutcomeNoRoute   Outcome = "no-route"
	OutcomeForbidden Outcome = "forbidden"
	OutcomeNoServer  Outcome = "no-server"
)

// ExplainedRoute is the route of a request with the answers behind it.
type ExplainedRoute struct {
	// Service is the service whose questionnaire declares the route.
	Service string `json:"service"`
	Name    string `json:"name"`
	// Target is the service whose servers run the request.
	Target     string   `json:"target"`
	Resource   string   `json:"resource"`
	Callers    []string `json:"callers"`
	Priority   string   `json:"priority"`
	Idempotent bool     `json:"idempotent"`
	// Attempts bounds the attempts in all.
	Attempts int   `json:"attempts"`
	Statuses []int `json:"statuses"`
	// RetryRule says in words what is tried again.
	RetryRule  string `json:"retry_rule"`
	DeadlineMs int64  `json:"deadline_ms"`
	// Answers are the questionnaire's answers about the route.
	Answers []RouteAnswer `json:"answers"`
}

// RouteAnswer is one answer of a questionnaire.
type RouteAnswer struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Candidate is one server that a request may go to.
type Candidate struct {
	VM     string `json:"vm"`
	Domain string `json:"domain"`
	// Excluded says why the server gets no work; "" if it may.
	Excluded string `json:"excluded,omitempty"`
	// InFlight counts the attempts of this node that have not ended.
	InFlight int `json:"in_flight"`
	// Load is the estimated load with one more request, as a share of the limit; 0
	// if unknown.
	Load float64 `json:"load"`
	// Weight is the share of full speed that a starting server has reached.
	Weight float64 `json:"weight"`
}
