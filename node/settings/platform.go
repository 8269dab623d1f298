package settings

import (
	"fmt"
	"net/netip"
	"time"

	"auburnladder.example/core/yamlcheck"
)

// SourceKind names the kind of service that publishes releases and the VM list.
type SourceKind string

const (
	// SourceService is the project's own configuration service. It holds approved
	// manifests, chunks and a VM list; some nodes read them and distribute them to the
	// others.
	SourceService SourceKind = "service"
	// SourceStore is a key-value store with one revision counter, read by every node.
	SourceStore SourceKind = "store"
)

// Reading names the nodes that read a key-value store.
type Reading string

const (
	// ReadingTree lets one node watch the store; the others take its changes from each other.
	ReadingTree Reading = "tree"
	// ReadingAll lets every node watch the store, which costs calls in proportion to the
	// nodes. It is a baseline for measurements.
	ReadingAll Reading = "all"
)

// Approval names the condition under which a release counts as approved.
type Approval string

const (
	// ApprovalKeys requires a signature by one of the approval keys.
	ApprovalKeys Approval = "keys"
	// ApprovalSource treats every release that the source publishes as approved. It
	// requires SourceStore.
	ApprovalSource Approval = "source"
)

// Platform configures how the node reads the platform's configuration service.
type Platform struct {
	// Kind selects the protocol of the service; the default is SourceService.
	Kind SourceKind `yaml:"kind"`
	// Reading selects the nodes that read a key-value store; the default is ReadingTree.
	Reading Reading `yaml:"reading"`
	// Seeds are the peer addresses, each "ip:port", of nodes to contact before the first
	// VM list is known.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Regions maps failure domains to their regions, for VM lists that name no regions.
	Regions map[string]string `yaml:"regions"`
	// ReadsPerSecond is the rate of requests that the service accepts from all nodes
	// together; the default is 2000.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
	// Addresses are the service's endpoints, each "ip:port".
	Addresses []netip.AddrPort `yaml:"addresses" check:"required"`
	// Timeout bounds one read; the default is 2 s. A shorter timeout switches to the next
	// endpoint sooner.
	Timeout yamlcheck.Duration `yaml:"timeout"`
	// Wait bounds one watch; the default is 30 s and the minimum 1 s. A longer wait costs
	// fewer requests.
	Wait yamlcheck.Duration `yaml:"wait"`
	// ApplyWithin is the time within which a new release must be active at a node; the
	// default is 2 s. A longer time combines more changes of the store into one request.
	ApplyWithin yamlcheck.Duration `yaml:"apply_within"`
	// LeaveWithin is the time within which a leaving server must stop receiving calls;
	// the default is 2 s. The trade-off is that of ApplyWithin.
	LeaveWithin yamlcheck.Duration `yaml:"leave_within"`
	// Heartbeat is how often a backend server writes to its entry in a key-value store, which
	// drops the entry after a few missing ones; the default is 1.5 s. If it is too short, the
	// entry of a server that left is believed again after the store came back from an older
	// copy; a longer one delays the use of servers that were only silent.
	Heartbeat yamlcheck.Duration `yaml:"heartbeat"`
	// FleetSize is the number of VMs that a node assumes before the VM list is known; the
	// default is 300. The first reads of nodes that start at the same time are spread
	// according to it: a larger value delays every start, a smaller one lets a large fleet
	// briefly exceed the service's rate limit.
	FleetSize int `yaml:"fleet_size"`
}

// Validate checks the kind, the times and the limits of the platform's service.
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
	if p.Reading != ReadingTree && p.Reading != ReadingAll {
		problems = append(problems, yamlcheck.Problem{Field: "reading", Found: string(p.Reading), Expected: "tree or all"})
	}
	if p.ReadsPerSecond <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "reads_per_second", Found: fmt.Sprint(p.ReadsPerSecond), Expected: "more than 0"})
	}
	for _, d := range []struct {
		field string
		value yamlcheck.Duration
	}{{"apply_within", p.ApplyWithin}, {"leave_within", p.LeaveWithin}, {"heartbeat", p.Heartbeat}} {
		if d.value <= 0 {
			problems = append(problems, yamlcheck.Problem{Field: d.field, Found: d.value.String(), Expected: "more than 0s"})
		}
	}
	if p.FleetSize < 1 {
		problems = append(problems, yamlcheck.Problem{Field: "fleet_size", Found: fmt.Sprint(p.FleetSize), Expected: "1 or more"})
	}
	return problems
}
