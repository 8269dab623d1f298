package settings

import (
	"fmt"
	"time"

	"auburnladder.example/core/yamlcheck"
)

// Retry configures the deployment's retry budget, which all nodes share.
type Retry struct {
	// Ratio is the share, from 0 to 1, of the calls to a service that all nodes together
	// may retry; the default is 0.1.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of retries per service and Window that are allowed in addition
	// to Ratio; the default is 50.
	Slack int `yaml:"slack"`
	// Window is the time over which retries are counted; the default is 10 s.
	Window yamlcheck.Duration `yaml:"window"`
}

// Validate checks the ranges of the retry budget.
func (r *Retry) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if r.Ratio < 0 || r.Ratio > 1 {
		problems = append(problems, yamlcheck.Problem{Field: "ratio", Found: fmt.Sprint(r.Ratio), Expected: "a number from 0 to 1"})
	}
	if r.Slack < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "slack", Found: fmt.Sprint(r.Slack), Expected: "0 or more"})
	}
	if r.Window <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "window", Found: r.Window.String(), Expected: "more than 0s"})
	}
	return problems
}

// Stop configures the shutdown of the node after SIGTERM.
type Stop struct {
	// Grace is the time from SIGTERM until the process is killed; the default is 30 s.
	Grace yamlcheck.Duration `yaml:"grace"`
	// Unready is how long the node still accepts new requests while it reports that it is
	// not ready; the default is 2.8 s. Time beyond what callers need to notice is lost
	// from Grace. AcceptFor limits it.
	Unready yamlcheck.Duration `yaml:"unready"`
}

// AcceptFor returns how long after SIGTERM the node accepts new requests: Unready, but at most
// half of the time until it must have stopped, so that the other half remains for them to end.
func (s *Stop) AcceptFor(untilStopped time.Duration) time.Duration {
	return max(0, min(s.Unready.Std(), untilStopped/2))
}

// Validate checks that Unready is below Grace, so that time remains for requests in flight. The
// default is accepted with any Grace.
func (s *Stop) Validate() []yamlcheck.Problem {
	if s.Unready < 0 || s.Unready >= s.Grace && s.Unready.Std() != defaultStopUnready {
		return []yamlcheck.Problem{{Field: "unready", Found: s.Unready.String(), Expected: "0s or more, below grace"}}
	}
	return nil
}

// RoutingPolicy names the algorithm that chooses a backend server.
type RoutingPolicy string

// PolicyRandom and PolicyRoundRobin ignore load and distance; they are baselines for
// measurements.
const (
	// PolicyP2C compares two random servers (power of two choices).
	PolicyP2C        RoutingPolicy = "p2c"
	PolicyRandom     RoutingPolicy = "random"
	PolicyRoundRobin RoutingPolicy = "round-robin"
	// PolicyShortestDelay picks the server where the request is expected to end first.
	PolicyShortestDelay RoutingPolicy = "shortest-delay"
)

// Routing configures how backend servers are chosen.
type Routing struct {
	// Policy defaults to PolicyP2C.
	Policy RoutingPolicy `yaml:"policy"`
	// DomainCost is added to the load of a server in another failure domain of the local
	// region, as a share of the server's limit. A higher cost saves bytes between domains,
	// a lower one balances the load sooner.
	DomainCost float64 `yaml:"domain_cost"`
}

// Validate checks the policy and the distance cost.
func (r *Routing) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if r.DomainCost < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "domain_cost", Found: fmt.Sprint(r.DomainCost), Expected: "0 or more"})
	}
	switch r.Policy {
	case PolicyP2C, PolicyRandom, PolicyRoundRobin, PolicyShortestDelay:
		return problems
	}
	return append(problems, yamlcheck.Problem{Field: "policy", Found: string(r.Policy), Expected: "p2c, shortest-delay, random or round-robin"})
}
