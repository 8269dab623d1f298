package statusapi

import (
	"auburnladder.example/core/release"
)

const (
	// ExplainPath returns an Explanation. The query parameters method, host, path and
	// caller are all required. host is the Host header and path the request target, as a
	// caller sends them. BodyBytesParameter is optional.
	ExplainPath = "/v1/explain"
	// ExplainVMPath returns a VMExplanation of the VM in the query parameter vm.
	ExplainVMPath = "/v1/explain/vm"
	// BodyBytesParameter is the size of the request body in bytes; 0 by default.
	BodyBytesParameter = "body_bytes"
)

// VMExplanation reports whether a node sends requests to a VM, the subject, and why.
type VMExplanation struct {
	APIVersion string `json:"api_version"`
	// VM is the ID of the responding node's VM.
	VM   string          `json:"vm"`
	Held release.Version `json:"held"`
	// Listed reports whether the subject is in this node's VM list.
	Listed bool `json:"listed"`
	// Service is the subject's service, empty if the subject is not listed.
	Service string `json:"service,omitempty"`
	// Configured reports whether the active release contains the subject's service.
	Configured bool `json:"configured"`
	// Subject is the requested VM as a candidate for requests to its service.
	Subject Candidate `json:"subject"`
	// Routes lists the routes whose target is the subject's service.
	Routes []RouteName `json:"routes,omitempty"`
	// Evacuations lists the evacuated failure domains, ordered by domain.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// RouteName identifies a route by the service whose questionnaire declares it and by
// its name.
type RouteName struct {
	Service string `json:"service"`
	Route   string `json:"route"`
}

// Explanation reports how a node would handle a request.
type Explanation struct {
	APIVersion string          `json:"api_version"`
	VM         string          `json:"vm"`
	Held       release.Version `json:"held"`
	// HeldForMs is the time since Held became active on this node.
	HeldForMs int64 `json:"held_for_ms"`
	// Outcome is what would happen to the request.
	Outcome Outcome `json:"outcome"`
	// Reason explains the outcome. It is for display only; its text may change.
	Reason string `json:"reason,omitempty"`
	// Route is nil if no route matches.
	Route *ExplainedRoute `json:"route,omitempty"`
	// Candidates lists all servers of the target service.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Evacuations lists the evacuated failure domains, ordered by domain.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Work is nil unless the node chooses servers by the expected work of requests.
	Work *ExpectedWork `json:"expected_work,omitempty"`
	// Plan is where the request would go; nil if no route matches, its caller is forbidden or the node
	// forwards no requests.
	Plan *Plan `json:"plan,omitempty"`
}

// Outcome is what would happen to a request.
type Outcome string

// Outcomes.
const (
	OutcomeRouted Outcome = "routed"
	// OutcomeNoRelease means that the node holds no release yet.
	OutcomeNoRelease Outcome = "no-release"
	// OutcomeInvalid means that the request is not valid HTTP.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNoRoute means that no route matches the request.
	OutcomeNoRoute Outcome = "no-route"
	// OutcomeForbidden means that the service does not list the caller.
	OutcomeForbidden Outcome = "forbidden"
	// OutcomeRefused means that the node would refuse the request itself; Explanation.Plan says how.
	OutcomeRefused Outcome = "refused"
	// OutcomeNoServer means that no server of the target service may receive it.
	OutcomeNoServer Outcome = "no-server"
)

// ExplainedRoute is the route of a request with the questionnaire answers that define
// it.
type ExplainedRoute struct {
	// Service is the service whose questionnaire declares the route.
	Service string `json:"service"`
	Name    string `json:"name"`
	// Target is the service whose servers handle the request.
	Target     string   `json:"target"`
	Resource   string   `json:"resource"`
	Callers    []string `json:"callers"`
	Priority   string   `json:"priority"`
	Idempotent bool     `json:"idempotent"`
	// Attempts is the maximum number of attempts, including the first.
	Attempts int `json:"attempts"`
	// Statuses lists the HTTP statuses after which the request is retried.
	Statuses []int `json:"statuses"`
	// RetryRule describes in words when the request is retried, for display only.
	RetryRule string `json:"retry_rule"`
	// DeadlineMs bounds the request in milliseconds, including all attempts.
	DeadlineMs int64 `json:"deadline_ms"`
	// Answers lists the questionnaire answers about the route.
	Answers []RouteAnswer `json:"answers"`
}

// RouteAnswer is one answer of a questionnaire as text.
type RouteAnswer struct {
	// Path is the path of the answer, such as "routes[book].deadline".
	Path string `json:"path"`
	Text string `json:"text"`
}

// Candidate is a server of the target service as the responding node sees it.
type Candidate struct {
	VM     string `json:"vm"`
	Domain string `json:"domain"`
	// Service is the service that the server runs.
	Service string `json:"service,omitempty"`
	// Excluded is the reason why the server receives no requests, empty if it may.
	Excluded string `json:"excluded,omitempty"`
	// ExcludedBy says where the exclusion comes from, and ExcludedForMs how long it lasts if that is
	// known.
	ExcludedBy    string `json:"excluded_by,omitempty"`
	ExcludedForMs int64  `json:"excluded_for_ms,omitempty"`
	// InFlight counts this node's unfinished attempts at the server.
	InFlight int `json:"in_flight"`
	// Load is the estimated load including one more request, as a fraction of the
	// server's concurrency limit; 0 if unknown.
	Load float64 `json:"load"`
	// LoadAgeMs is the age of the server's latest report, -1 without one.
	LoadAgeMs int64 `json:"load_age_ms"`
	// Weight is the fraction of full weight that the server has reached in its slow
	// start, up to 1.
	Weight float64 `json:"weight"`
	// Expected is nil unless the node chooses servers by the expected work of requests.
	Expected *ExpectedDelay `json:"expected,omitempty"`
	// Wait is the wait for the rank of the request that the server reported; nil without a report or a
	// request.
	Wait *ReportedWait `json:"wait,omitempty"`
	// Cold is nil for a warm server.
	Cold *ColdServer `json:"cold,omitempty"`
}

// ReportedWait is the wait for a slot that a server reported for a rank.
type ReportedWait struct {
	WaitMs int64 `json:"wait_ms"`
	// Refuses reports that the server would refuse a request of the rank.
	Refuses bool  `json:"refuses,omitempty"`
	AgeMs   int64 `json:"age_ms"`
	// Used reports whether the report is recent enough to refuse a request because of it.
	Used bool `json:"used"`
}

// ColdServer is the cold time of a server and the node's share of its requests.
type ColdServer struct {
	LeftMs int64 `json:"left_ms"`
	// By says where the cold time comes from.
	By string `json:"by"`
	// SharePerSecond is the number of requests per second that the node may send, and NextMs the time
	// until the next one.
	SharePerSecond float64 `json:"share_per_second"`
	NextMs         int64   `json:"next_ms"`
}

// ExpectedDelay is when a request sent to a server now is expected to end, and the figures behind it.
type ExpectedDelay struct {
	// EndMs is the time until the request ends; without a route, until it starts to run.
	EndMs int64 `json:"end_ms"`
	// QueueMs and RunMs are its parts: until the request starts to run, and while it runs.
	QueueMs int64 `json:"queue_ms"`
	RunMs   int64 `json:"run_ms"`
	// DistanceMs is the cost of the network distance in the comparison of servers, and FullMs that of a
	// full server. They are not part of EndMs.
	DistanceMs int64 `json:"distance_ms"`
	FullMs     int64 `json:"full_ms,omitempty"`
	// OutstandingMs is the work that the server has accepted, at the usual speed.
	OutstandingMs int64 `json:"outstanding_ms"`
	// Slowdown is how long work takes at the server, as a multiple of the usual time.
	Slowdown float64 `json:"slowdown"`
	// ReportAgeMs is the age of the server's latest report, -1 without one.
	ReportAgeMs int64 `json:"report_age_ms"`
}

// ExpectedWork is the expected work of the requests of a route.
type ExpectedWork struct {
	WorkMs int64 `json:"work_ms"`
	// Samples is the number of service times behind it, AgeMs the age of the last one.
	Samples uint64 `json:"samples"`
	AgeMs   int64  `json:"age_ms"`
}
