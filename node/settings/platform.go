package settings

import (
	"fmt"
	"net/netip"
	"time"

	"auburnladder.example/core/yamlcheck"
)

// SourceKind names what publishes releases and the VM list.
type SourceKind string

const (
	// SourceService is the project's own configuration service: approved manifests,
	// chunks and a VM list, read by some nodes and spread between all.
	SourceService SourceKind = "service"
	// SourceStore is a key-value store with one revision counter, read by every node.
	SourceStore SourceKind = "store"
)

// Approval says what makes a release count as approved.
type Approval string

const (
	// ApprovalKeys asks for a signature by one of the approval keys.
	ApprovalKeys Approval = "keys"
	// ApprovalSource takes what the source publishes as approved.
	ApprovalSource Approval = "source"
)

// Platform is the platform's configuration service.
type Platform struct {
	// Kind says what is spoken with the service.
	Kind SourceKind `yaml:"kind"`
	// Seeds are "ip:port" of the peer listeners of nodes known before the first list.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Regions maps failure domains to their regions, for lists that name domains only.
	Regions map[string]string `yaml:"regions"`
	// ReadsPerSecond is the rate of calls that the service takes from all nodes.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
	// Addresses are "ip:port" of the service's endpoints.
	Addresses []netip.AddrPort `yaml:"addresses" check:"required"`
	// Timeout bounds one read. Shorter turns to the next endpoint sooner.
	Timeout yamlcheck.Duration `yaml:"timeout"`
	// Wait bounds one watch. Longer costs fewer calls.
	Wait yamlcheck.Duration `yaml:"wait"`
	// ApplyWithin is the time in which a new release must be in force at a node, and
	// LeaveWithin that in which a leaving server must get no more work. Longer combines
	// more changes of the store into one call.
	ApplyWithin yamlcheck.Duration `yaml:"apply_within"`
	LeaveWithin yamlcheck.Duration `yaml:"leave_within"`
	// FleetSize is the number of VMs to expect before the VM list is known. It spreads
	// the first reads of a fleet that starts at once: larger delays every start, smaller
	// lets a large fleet exceed the service's limit for a moment.
	FleetSize int `yaml:"fleet_size"`
}

// Validate checks the endpoints and limits of the platform's service.
func (p *Platform) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if p.Timeout <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "timeout", Found: p.Timeout.String(), Expected: "more than 0s"})
	}
	if p.Wait.Std() < time.Second {
		problems = append(problems, yamlcheck.Problem{Field: "wait", Found: p.Wait.String(), Expected: "1s or more"})
	}
	if p.Kind != SourceService && p.Kind != SourceStore {
		problems = append(problems, yamlcheck.Problem{Field: "kind", Found: string(p.Kind), Expected: "service or store"})
	}
	if p.ReadsPerSecond <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "reads_per_second", Found: fmt.Sprint(p.ReadsPerSecond), Expected: "more than 0"})
	}
	for _, d := range []struct {
		field string
		value yamlcheck.Duration
	}{{"apply_within", p.ApplyWithin}, {"leave_within", p.LeaveWithin}} {
		if d.value <= 0 {
			problems = append(problems, yamlcheck.Problem{Field: d.field, Found: d.value.String(), Expected: "more than 0s"})
		}
	}
	if p.FleetSize < 1 {
		problems = append(problems, yamlcheck.Problem{Field: "fleet_size", Found: fmt.Sprint(p.FleetSize), Expected: "1 or more"})
	}
	return problems
}
