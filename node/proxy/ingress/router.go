package ingress

import (
	"context"
	"fmt"
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
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
)

// routerInterval is the time between two looks for changed servers and outliers.
const routerInterval = 100 * time.Millisecond

// percent turns a share into percent.
const percent = 100

// Router holds what all listeners of a node share to choose servers and to bound
// retries. Its methods but Run are safe for concurrent use.
type Router struct {
	Picker    routing.Picker
	Retry     retry.Config
	Journal   Journal
	state     *state.State
	directory *routing.Directory
	log       zerolog.Logger
	// fleetBudget returns the retry budget of each of a number of nodes, which share one;
	// nil if nodes have budgets of their own.
	fleetBudget atomic.Pointer[FleetBudget]
	// budget is this node's part of a shared retry budget, nil before the first list.
	budget  atomic.Pointer[retry.BudgetConfig]
	budgets sync.Map // service name to *retry.Budget

	// applied is what the tables were built from; refresh orders updates and sweeps.
	applied atomic.Pointer[applied]
	refresh sync.Mutex
}

// applied is a release and a VM list that the tables reflect.
type applied struct {
	snapshot *mesh.Snapshot
	fleet    *state.Fleet
}

// Journal records events for operators. Record is called by the goroutine of Refresh.
type Journal interface {
	Record(e statusapi.JournalEntry)
}

// NewRouter returns a router that follows st and chooses servers as cfg says.
func NewRouter(st *state.State, cfg settings.Routing, log zerolog.Logger) *Router {
	weights := routing.DefaultConfig()
	weights.DomainCost = cfg.DomainCost
	place := routing.Locality{Domain: st.Identity.Domain, Region: st.Identity.Region}
	r := &Router{
		Picker:    picker(cfg.Policy),
		Retry:     retry.DefaultConfig(),
		state:     st,
		directory: routing.NewDirectory(weights, place),
		log:       log,
	}
	r.applied.Store(&applied{})
	return r
}

func picker(policy settings.RoutingPolicy) routing.Picker {
	switch policy {
	case settings.PolicyRandom:
		return random.Picker{}
	case settings.PolicyRoundRobin:
		return roundrobin.Picker{}
	default:
		return p2c.Picker{}
	}
}

// Table returns the servers of a service, or nil if none is known. The first call
// after a release or VM list came into force builds the tables anew.
func (r *Router) Table(service string) *routing.Table {
	if r.outdated() {
		r.update(time.Now())
	}
	return r.directory.Table(service)
}

func (r *Router) outdated() bool {
	a := r.applied.Load()
	return a.snapshot != r.state.Snapshot() || a.fleet != r.state.Fleet()
}

// update builds the tables from the release and the VM list in force, unless another
// goroutine just did.
func (r *Router) update(now time.Time) {
	r.refresh.Lock()
	defer r.refresh.Unlock()
	next := &applied{snapshot: r.state.Snapshot(), fleet: r.state.Fleet()}
	if next.snapshot == nil || *next == *r.applied.Load() {
		return
	}
	r.directory.Update(now, next.snapshot, servers(next.fleet))
	r.applied.Store(next)
	r.shareBudget(len(next.fleet.VMs))
}

// FleetBudget returns the part of each of a number of nodes in a shared retry budget.
type FleetBudget func(nodes int) retry.BudgetConfig

// SetFleetBudget has the nodes of the VM list share one retry budget.
func (r *Router) SetFleetBudget(share FleetBudget) {
	r.fleetBudget.Store(&share)
	r.shareBudget(len(r.state.Fleet().VMs))
}

// shareBudget divides the retry budget between the nodes of the list.
func (r *Router) shareBudget(nodes int) {
	share := r.fleetBudget.Load()
	if share == nil || nodes == 0 {
		return
	}
	cfg := (*share)(nodes)
	r.budget.Store(&cfg)
	for _, b := range r.budgets.Range {
		b.(*retry.Budget).SetConfig(cfg)
	}
}

// Budget returns the retry budget of a service.
func (r *Router) Budget(service string) *retry.Budget {
	if b, ok := r.budgets.Load(service); ok {
		return b.(*retry.Budget)
	}
	cfg := r.Retry.Budget
	if shared := r.budget.Load(); shared != nil {
		cfg = *shared
	}
	b, _ := r.budgets.LoadOrStore(service, retry.NewBudget(time.Now(), cfg))
	return b.(*retry.Budget)
}

// Run keeps the tables up to date until ctx ends.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(routerInterval)
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

// Refresh takes over a changed release or VM list and ejects outliers. It is called
// by one goroutine at a time.
func (r *Router) Refresh(now time.Time) {
	r.update(now)
	for _, ev := range r.sweep(now) {
		r.report(ev)
	}
}

// sweep ejects outliers. The directory allows no update meanwhile.
func (r *Router) sweep(now time.Time) []routing.Event {
	r.refresh.Lock()
	defer r.refresh.Unlock()
	return r.directory.Sweep(now)
}

func (r *Router) report(ev routing.Event) {
	if ev.Kind == routing.EjectionSkipped {
		metrics.spared.Add(1)
		return
	}
	metrics.ejected.Add(1)
	r.log.Warn().Str("event", "server-ejected").Str("vm", ev.Endpoint.VM).Str("service", ev.Endpoint.Service).
		Dur("duration", ev.Duration).Float64("failure_share", ev.FailureShare).
		Float64("others_share", ev.OthersShare).Msg("server fails more than the others of its service")
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

func servers(f *state.Fleet) []routing.Server {
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

			Instance: vm.Instance,
			Slots:    vm.Slots,
		}
	}
	return list
}
