package settings

import (
	"fmt"

	"auburnladder.example/core/yamlcheck"
)

// Retry is the part of the deployment's retry budget that concerns every node.
type Retry struct {
	// Ratio is the share of the calls to a service that all nodes together may repeat.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of repeats for each service within Window beyond that.
	Slack int `yaml:"slack"`
	// Window is the time over which repeats are counted.
	Window yamlcheck.Duration `yaml:"window"`
}

// Validate checks the budget.
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

// Stop bounds the stop of the node after SIGTERM.
type Stop struct {
	// Grace is how long after SIGTERM the process is killed.
	Grace yamlcheck.Duration `yaml:"grace"`
	// Unready is how long the node goes on taking new requests, while it tells that it is
	// not ready. Longer than callers take to notice costs time from Grace.
	Unready yamlcheck.Duration `yaml:"unready"`
}

// Validate checks that the times leave room for requests in flight.
func (s *Stop) Validate() []yamlcheck.Problem {
	if s.Unready < 0 || s.Unready >= s.Grace {
		return []yamlcheck.Problem{{Field: "unready", Found: s.Unready.String(), Expected: "0s or more, below grace"}}
	}
	return nil
}

// RoutingPolicy names a way to choose a backend server.
type RoutingPolicy string

// Routing policies. Random and round robin are baselines for measurements.
const (
	PolicyP2C        RoutingPolicy = "p2c"
	PolicyRandom     RoutingPolicy = "random"
	PolicyRoundRobin RoutingPolicy = "round-robin"
)

// Routing says how backend servers are chosen.
type Routing struct {
	Policy RoutingPolicy `yaml:"policy"`
	// DomainCost is added to the load of a server in another failure domain of the own
	// region, as a share of its limit. Higher saves bytes between domains, lower levels
	// the load sooner.
	DomainCost float64 `yaml:"domain_cost"`
}

// Validate checks the policy and the cost.
func (r *Routing) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if r.DomainCost < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "domain_cost", Found: fmt.Sprint(r.DomainCost), Expected: "0 or more"})
	}
	switch r.Policy {
	case PolicyP2C, PolicyRandom, PolicyRoundRobin:
		return problems
	}
	return append(problems, yamlcheck.Problem{Field: "policy", Found: string(r.Policy), Expected: "p2c, random or round-robin"})
}
