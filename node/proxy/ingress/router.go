package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/p2c"
	"auburnladder.example/core/routing/random"
	"auburnladder.example/core/routing/roundrobin"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/workload"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
)

// refreshInterval is the time between two checks for changed servers and for outliers.
const refreshInterval = 100 * time.Millisecond

// percent converts a share to a percentage.
const percent = 100

// Router selects servers and limits retries for all listeners of a node. Table, Budget and
// SetFleetBudget are safe for concurrent use; Refresh and Run are for one goroutine. The
// exported fields are set before the first request and not changed afterwards.
type Router struct {
	Picker routing.Picker
	// Work learns the expected work of requests; nil unless the policy needs it. It then replaces Picker.
	Work    *workload.Estimator
	Retry   retry.Config
	Journal Journal
	// policyName names the policy of Picker, or that which uses Work.
	policyName settings.RoutingPolicy
	state      *state.State
	directory  *routing.Directory
	log        zerolog.Logger
	// fleetBudget divides a retry budget that all nodes share; nil if each node has a
	// budget of its own.
	fleetBudget atomic.Pointer[FleetBudget]
	// sharedBudget is this node's part of the shared retry budget; nil before the first VM
	// list.
	sharedBudget atomic.Pointer[retry.BudgetConfig]
	budgets      sync.Map // service name to *retry.Budget
	rates        serverRates

	// applied is the release and VM list from which the tables were built. refreshMu
	// serializes updates and sweeps.
	applied   atomic.Pointer[tableInputs]
	refreshMu sync.Mutex
}

// tableInputs is the release and the VM list from which tables are built.
type tableInputs struct {
	snapshot *mesh.Snapshot
	fleet    *state.Fleet
}

// Journal records events for operators. Record is called on the goroutine of Refresh.
type Journal interface {
	Record(e statusapi.JournalEntry)
}

// NewRouter returns a router that takes releases and VM lists from st and selects servers
// by the policy and domain cost of cfg.
func NewRouter(st *state.State, cfg settings.Routing, log zerolog.Logger) *Router {
	weights := routing.DefaultConfig()
	weights.DomainCost = cfg.DomainCost
	weights.Seed = rand.Uint64()
	place := routing.Locality{Domain: st.Identity.Domain, Region: st.Identity.Region}
	r := &Router{
		Picker:     newPicker(cfg.Policy),
		Retry:      retry.DefaultConfig(),
		policyName: cfg.Policy,
		state:      st,
		directory:  routing.NewDirectory(weights, place),
		log:        log,
	}
	if cfg.Policy == settings.PolicyShortestDelay {
		r.Work = workload.NewEstimator()
	}
	r.applied.Store(&tableInputs{})
	return r
}

// newPicker returns the picker of a policy; the default is power of two choices. That of
// settings.PolicyShortestDelay depends on the request (call.delay).
func newPicker(policy settings.RoutingPolicy) routing.Picker {
	switch policy {
	case settings.PolicyRandom:
		return random.Picker{}
	case settings.PolicyRoundRobin:
		return roundrobin.Picker{}
	default:
		return p2c.Picker{}
	}
}

// Table returns the servers of a service, or nil if none is known. The first call after a
// new release or VM list becomes active rebuilds the tables.
func (r *Router) Table(service string) *routing.Table {
	if r.tablesStale() {
		r.updateTables(time.Now())
	}
	return r.directory.Table(service)
}

// tablesStale reports whether the release or the VM list has changed since the tables were
// built.
func (r *Router) tablesStale() bool {
	a := r.applied.Load()
	return a.snapshot != r.state.Snapshot() || a.fleet != r.state.Fleet()
}

// updateTables rebuilds the tables from the active release and VM list, unless another
// goroutine has just done so.
func (r *Router) updateTables(now time.Time) {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	next := &tableInputs{snapshot: r.state.Snapshot(), fleet: r.state.Fleet()}
	if next.snapshot == nil || *next == *r.applied.Load() {
		return
	}
	r.directory.Update(now, next.snapshot, routingServers(next.fleet))
	r.applied.Store(next)
	r.divideBudget(len(next.fleet.VMs))
}

// FleetBudget returns the share of one node in a retry budget that is divided between the
// given number of nodes.
type FleetBudget func(nodes int) retry.BudgetConfig

// SetFleetBudget makes all nodes of the VM list share one retry budget. It replaces an
// earlier FleetBudget.
func (r *Router) SetFleetBudget(share FleetBudget) {
	r.fleetBudget.Store(&share)
	r.divideBudget(len(r.state.Fleet().VMs))
}

// divideBudget sets this node's share of the retry budget for a number of nodes, also in the
// budgets that exist already.
func (r *Router) divideBudget(nodes int) {
	share := r.fleetBudget.Load()
	if share == nil || nodes == 0 {
		return
	}
	cfg := (*share)(nodes)
	r.sharedBudget.Store(&cfg)
	for _, b := range r.budgets.Range {
		b.(*retry.Budget).SetConfig(cfg)
	}
}

// Budget returns the retry budget of a service, and creates it on first use.
func (r *Router) Budget(service string) *retry.Budget {
	if b, ok := r.budgets.Load(service); ok {
		return b.(*retry.Budget)
	}
	b, _ := r.budgets.LoadOrStore(service, r.newBudget())
	return b.(*retry.Budget)
}

// previewBudget returns a copy of the retry budget of a service.
func (r *Router) previewBudget(service string) *retry.Budget {
	if b, ok := r.budgets.Load(service); ok {
		return b.(*retry.Budget).Clone()
	}
	return r.newBudget()
}

func (r *Router) newBudget() *retry.Budget {
	cfg := r.Retry.Budget
	if shared := r.sharedBudget.Load(); shared != nil {
		cfg = *shared
	}
	return retry.NewBudget(time.Now(), cfg)
}

// Run calls Refresh every refreshInterval until ctx is done.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		r.Refresh(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh rebuilds the tables if the release or the VM list has changed, and ejects outliers.
// It must not be called concurrently.
func (r *Router) Refresh(now time.Time) {
	r.updateTables(now)
	for _, ev := range r.sweep(now) {
		r.reportEvent(ev)
	}
}

// sweep ejects outliers. It holds refreshMu because the directory does not allow a
// concurrent update.
func (r *Router) sweep(now time.Time) []routing.Event {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	return r.directory.Sweep(now)
}

// reportEvent counts an outlier event. An ejection is also logged and recorded in the journal.
func (r *Router) reportEvent(ev routing.Event) {
	if ev.Kind == routing.EjectionSkipped {
		metrics.ejectionsSkipped.Add(1)
		return
	}
	metrics.ejected.Add(1)
	r.log.Warn().Str("event", "server-ejected").Str("vm", ev.Endpoint.VM).Str("service", ev.Endpoint.Service).
		Dur("duration", ev.Duration).Float64("failure_share", ev.FailureShare).
		Float64("others_share", ev.OthersShare).Msg("server ejected: failure share above that of the other servers of its service")
	if r.Journal == nil {
		return
	}
	r.Journal.Record(statusapi.JournalEntry{
		Kind: statusapi.JournalServerEjected,
		Cause: fmt.Sprintf("failed in %.0f%% of attempts, the others in %.0f%%; no work for %s",
			percent*ev.FailureShare, percent*ev.OthersShare, ev.Duration),
		VM:      ev.Endpoint.VM,
		Service: ev.Endpoint.Service,
	})
}

// routingServers returns the usable VMs of f in the form that the routing directory takes.
func routingServers(f *state.Fleet) []routing.Server {
	usable := f.Usable()
	list := make([]routing.Server, len(usable))
	for i, vm := range usable {
		list[i] = routing.Server{
			VM:      vm.ID,
			Service: vm.Service,
			Domain:  vm.Domain,
			Region:  vm.Region,
			Peer:    vm.Peer,
			Leaving: vm.Leaving,
			Run:     vm.Run(),
			Slots:   vm.Slots,
			Cold:    routing.ColdReport{Report: vm.ColdReport, Left: mesh.Millis(vm.ColdLeftMs).Duration()},

			Evacuated: f.Evacuated(vm.Domain) != nil,
		}
	}
	return list
}
