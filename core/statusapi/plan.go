package statusapi

// Plan is where a node would send a request now. The choice between servers is random, and each attempt may
// change what the node knows: a plan is one draw, with the shares of many.
type Plan struct {
	// Rank is the rank of the request, 0 first.
	Rank uint32 `json:"rank"`
	// DeadlineMs and ObjectiveMs are the times until the request must end, and until which a response
	// meets the latency objective; ObjectiveMs is 0 without one.
	DeadlineMs  int64 `json:"deadline_ms"`
	ObjectiveMs int64 `json:"objective_ms"`
	BodyBytes   int   `json:"body_bytes"`
	// Refusal is set if the node would refuse the request before it looks for a server.
	Refusal *PlannedRefusal `json:"refusal,omitempty"`
	// Targets has one element, or one for each part of a split route.
	Targets []PlannedTarget `json:"targets,omitempty"`
}

// PlannedTarget is where a request would go among the servers of one service.
type PlannedTarget struct {
	Service string `json:"service"`
	// Share is the share of the requests of the route that the service gets.
	Share float64 `json:"share"`
	// Policy is the policy that chooses now. It differs from the configured one, Configured, while that
	// lacks what it needs or the service is overloaded.
	Policy     string `json:"policy"`
	Configured string `json:"configured"`
	// Attempts lists the servers in the order in which they would be tried if each one refused for
	// overload.
	Attempts []PlannedAttempt `json:"attempts,omitempty"`
	// Refusal is what the caller would get then.
	Refusal PlannedRefusal `json:"refusal"`
	// Draws is the number of first choices that were drawn for Shares and RefusedShare.
	Draws int `json:"draws"`
	// Shares is the share of the draws of each server that was chosen, the highest first.
	Shares []ServerShare `json:"shares,omitempty"`
	// RefusedShare is the share of the draws that chose no server.
	RefusedShare float64 `json:"refused_share"`
}

// ServerShare is the share of the first choices that one server got.
type ServerShare struct {
	VM    string  `json:"vm"`
	Share float64 `json:"share"`
}

// PlannedAttempt is one attempt of a plan.
type PlannedAttempt struct {
	VM     string `json:"vm"`
	Domain string `json:"domain"`
}

// PlannedRefusal is the response with which a node refuses a request.
type PlannedRefusal struct {
	Status int `json:"status"`
	// Reason is for display only; its text may change.
	Reason string `json:"reason"`
	// RetryAfter is the value of the Retry-After header in seconds, "" if there is none. After attempts,
	// a shorter one may follow from what the servers' nodes say in their refusals.
	RetryAfter string `json:"retry_after,omitempty"`
}
