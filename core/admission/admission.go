// Package admission implements admission control with an adaptive concurrency limit for a
// backend server.
//
// Each backend server has one Limiter, in the node on its VM. All requests to the server
// go through that node, so the limiter's counts are exact. A request is granted a slot,
// waits in a short queue, or is refused before any byte is sent to the server. The limit
// is lowered when the server sheds requests or slows down. If the server asks for it, the
// starts per second are limited too. Under overload the callers share the queue by weight.
//
// Limiter and PauseDetector are safe for concurrent use. The package starts no goroutines
// and reads no clock; the current time is passed in.
package admission

import (
	"time"

	"auburnladder.example/core/mesh"
)

// Reason is the reason for refusing a request. A refused request did not run.
type Reason uint8

const (
	// ReasonNone means that the request was not refused.
	ReasonNone Reason = iota
	// ReasonOverload means that no slot is expected to become free soon enough.
	ReasonOverload
	// ReasonDeadline means that the request would miss its deadline.
	ReasonDeadline
	// ReasonLeaving means that the limiter is closed because the server accepts no new
	// requests.
	ReasonLeaving
	// ReasonCancelled means that the caller disconnected while the request was queued.
	ReasonCancelled
	// ReasonRateLimit means that the server's rate limit allows no start soon enough.
	ReasonRateLimit
	// ReasonCold means that the start limit of a cold server allows no start soon enough.
	ReasonCold
	// ReasonEvacuated means that the failure domain of the server is evacuated.
	ReasonEvacuated
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonOverload:
		return "overload"
	case ReasonDeadline:
		return "deadline"
	case ReasonLeaving:
		return "leaving"
	case ReasonCancelled:
		return "cancelled"
	case ReasonEvacuated:
		return "evacuated"
	case ReasonRateLimit:
		return "rate-limit"
	case ReasonCold:
		return "cold"
	default:
		return "none"
	}
}

// Request describes a request for a slot.
type Request struct {
	// Caller is the client account or calling service. Under OrderFair, waiting requests
	// with the same Caller and Priority share one part of the queue.
	Caller string
	// Route is the route for which service times are measured.
	Route string
	// Priority determines the weight of the caller in the queue under OrderFair.
	Priority mesh.Priority
	// Rank orders requests under OrderUrgency; 0 is the most urgent.
	Rank uint32
	// Objective is the time by which the response should be complete to meet the latency
	// objective; zero if none is set. A later response is still useful up to Deadline.
	Objective time.Time
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// First is set if the request has not been refused by another server and may be sent to one.
	// Under OrderUrgency it is then queued for a part of its tolerable wait only.
	First bool
}

// Order is the order in which waiting requests are served.
type Order uint8

const (
	// OrderFair divides the slots among callers by the weight of their priority.
	OrderFair Order = iota
	// OrderUrgency serves requests that can meet their objective by Rank, and within a rank
	// by the latest start that meets the objective; overdue ones come last. Each rank gets a
	// least share, and slots are reserved for the measured demand of more urgent ranks. It is
	// meant for overload of a service that is called both by client accounts and by other
	// services.
	OrderUrgency
)

// Outcome is the result of a request for a slot.
type Outcome uint8

const (
	// Queued means that the request waits; see Decision.Waiter.
	Queued Outcome = iota
	// Granted means that the request holds a slot until Release.
	Granted
	// Refused means that the request must not be sent.
	Refused
)

// Decision is the limiter's decision on a request.
type Decision struct {
	Outcome Outcome
	// Reason is set if the request was refused.
	Reason Reason
	// RetryAfter is how long to send no requests to this server after a refusal.
	RetryAfter time.Duration
	// Waiter is set if the request was queued.
	Waiter *Waiter
}

// Result describes how a request that held a slot ended.
type Result struct {
	Route string
	// ServiceTime is the time from sending the request to the end of the response.
	ServiceTime time.Duration
	// Shed means that the server refused the request because of overload (status 503).
	Shed bool
	// Unmeasured means that ServiceTime is not a measurement of the server, because the
	// caller cancelled or the connection could not be opened.
	Unmeasured bool
}

// Load is a snapshot of the limiter's state. InFlight, Queued, Limit and Sustained are
// numbers of requests.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	Closed   bool
	// Sustained is the number of requests that are in flight on average while the limits are
	// used up. It is below Limit if a rate limit keeps fewer in flight.
	Sustained int
}

// Weights of the priorities under OrderFair.
const (
	weightLow    = 1
	weightNormal = 4
	weightHigh   = 16
)

// weight returns the weight of a priority under OrderFair.
func weight(p mesh.Priority) float64 {
	switch p {
	case mesh.PriorityLow:
		return weightLow
	case mesh.PriorityHigh:
		return weightHigh
	default:
		return weightNormal
	}
}
