// Package distribution runs the configuration distribution of a node. It connects the
// state machine of core/distribution to the platform and to other nodes, and applies
// complete releases.
package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/platform"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// maxRequests limits the concurrent requests to peers and the platform. A request above
// the limit counts as failed; the state machine retries it later.
const maxRequests = 64

// Config holds the parameters of a Driver.
type Config struct {
	// Machine configures the distribution state machine.
	Machine distribution.Config
	// Self is this node's VM, as published in the VM list.
	Self vmlist.VM
	// Seeds are the VMs to contact before the first VM list is available. Optional.
	Seeds []vmlist.VM
	// Trust verifies the approvals of releases.
	Trust *release.Trust
}

// Driver connects one distribution state machine to the platform and to other nodes. Its
// methods are safe for concurrent use.
type Driver struct {
	cfg          Config
	platform     *platform.Client
	peers        Peers
	command      *command.Commander
	log          zerolog.Logger
	metrics      *metrics
	openRequests atomic.Int64
	lastStep     atomic.Int64
	outage       outage
	// pendingView is the newest view that has not been applied yet. viewChanged wakes Run
	// when it is set.
	pendingView atomic.Pointer[[]vmlist.VM]
	viewChanged chan struct{}

	mu      sync.Mutex
	machine *distribution.Machine
	// view maps VM ids to the live VMs; it provides their peer addresses.
	view map[string]vmlist.VM
	// sessionCancels maps the VM ids of neighbours to the cancel functions of the tasks
	// that maintain the sessions to them.
	sessionCancels map[string]context.CancelFunc
	// tasks and ctx are set by Run. tasks is nil before Run and once Run is about to
	// return.
	tasks *conc.WaitGroup
	ctx   context.Context
}

// New returns a driver that is idle until Run is called.
func New(cfg Config, client *platform.Client, cmd *command.Commander, log zerolog.Logger) (*Driver, error) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine, err := distribution.New(cfg.Machine, cfg.Self, cfg.Trust, rng)
	if err != nil {
		return nil, err
	}
	return &Driver{
		cfg:            cfg,
		platform:       client,
		command:        cmd,
		log:            log,
		metrics:        newMetrics(),
		machine:        machine,
		view:           make(map[string]vmlist.VM),
		viewChanged:    make(chan struct{}, 1),
		sessionCancels: make(map[string]context.CancelFunc),
	}, nil
}

// Run runs the state machine until ctx ends. It returns once all tasks that it started
// have ended.
func (d *Driver) Run(ctx context.Context, peers Peers) {
	var tasks conc.WaitGroup
	d.mu.Lock()
	d.ctx, d.tasks, d.peers = ctx, &tasks, peers
	d.mu.Unlock()
	peers.Observe(d)
	if len(d.cfg.Seeds) > 0 {
		d.SetView(d.cfg.Seeds)
	}
	ticker := time.NewTicker(d.cfg.Machine.TickInterval)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-d.viewChanged:
			d.applyPendingView()
		case <-ticker.C:
			d.step(distribution.Tick{})
		}
	}
	// Steps after this point start no tasks, so Wait sees all of them.
	d.mu.Lock()
	d.tasks = nil
	d.mu.Unlock()
	tasks.Wait()
}

// SetView replaces the set of live VMs with that of the membership. It never blocks: the
// membership calls it from its own goroutine, on which the driver may be waiting.
func (d *Driver) SetView(vms []vmlist.VM) {
	d.pendingView.Store(&vms)
	select {
	case d.viewChanged <- struct{}{}:
	default:
	}
}

// applyPendingView applies the newest view passed to SetView, if it is not applied yet.
func (d *Driver) applyPendingView() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if vms := d.pendingView.Swap(nil); vms != nil {
		d.setViewLocked(*vms)
	}
}

// setViewLocked replaces the view. The caller holds mu.
func (d *Driver) setViewLocked(vms []vmlist.VM) {
	d.view = make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		d.view[vm.ID] = vm
	}
	d.stepLocked(distribution.ViewChanged{VMs: vms})
}

// Status returns the status of the state machine, for the admin API.
func (d *Driver) Status() distribution.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Status()
}

// Paused reports whether the last step of the state machine is longer ago than PauseGap,
// which means that the process was paused. The request path calls it because it may
// resume before the state machine does.
func (d *Driver) Paused(now time.Time) bool {
	last := d.lastStep.Load()
	return last != 0 && now.UnixNano()-last > int64(d.cfg.Machine.PauseGap)
}

// SessionUp implements peers.Observer.
func (d *Driver) SessionUp(vm string) {
	d.step(distribution.PeerUp{Peer: vm})
}

// SessionDown implements peers.Observer.
func (d *Driver) SessionDown(vm string) {
	d.step(distribution.PeerDown{Peer: vm})
}

func (d *Driver) step(ev distribution.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

// stepLocked passes ev to the state machine and executes the resulting actions in order.
// No action blocks: requests run in their own tasks. The caller holds mu.
func (d *Driver) stepLocked(ev distribution.Event) {
	if d.tasks == nil || d.ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.lastStep.Store(now.UnixNano())
	before := d.machine.Reader()
	actions := d.machine.Step(now, ev)
	if after := d.machine.Reader(); after != before {
		d.command.RecordReaderChange(after)
	}
	for _, a := range actions {
		d.executeLocked(now, a)
	}
}

// executeLocked executes an action. The caller holds mu.
func (d *Driver) executeLocked(now time.Time, a distribution.Action) {
	switch a := a.(type) {
	case distribution.SetNeighbours:
		d.setNeighbours(a.VMs)
	case distribution.Apply:
		d.command.ApplyRelease(a.Snapshot)
		d.metrics.recordApply(time.Since(now))
	case distribution.ApplyVMList:
		d.command.ApplyVMList(a.List)
		d.setViewLocked(d.command.State.Fleet().Live())
	case distribution.SetPhase:
		d.command.State.SetResyncing(a.Phase == distribution.PhaseResyncing)
		d.log.Info().Str("event", "phase-changed").Stringer("phase", a.Phase).Msg("distribution phase changed")
	case distribution.Report:
		d.recordReport(a)
	case distribution.ReadSource:
		d.startRequestLocked(func() { d.readSource(a) }, distribution.SourceFailed{Call: a.Call, Key: a.Key})
	default:
		d.executePeerActionLocked(a)
	}
}

// executePeerActionLocked executes an action that sends a request to a peer. The caller
// holds mu.
func (d *Driver) executePeerActionLocked(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Announce:
		d.startRequestLocked(func() { d.announce(a) }, nil)
	case distribution.Exchange:
		d.startRequestLocked(func() { d.exchangeVersions(a) }, nil)
	case distribution.FetchManifest:
		d.startRequestLocked(func() { d.fetchManifest(a) }, distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
	case distribution.FetchChunks:
		d.startRequestLocked(func() { d.fetchChunks(a) }, distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
	case distribution.FetchVMList:
		d.startRequestLocked(func() { d.fetchVMList(a) }, distribution.FetchFailed(a))
	}
}

// startRequestLocked starts run as a task. If maxRequests are already open it passes
// failure, unless nil, to the state machine instead. The caller holds mu.
func (d *Driver) startRequestLocked(run func(), failure distribution.Event) {
	if d.openRequests.Add(1) <= maxRequests {
		d.tasks.Go(func() {
			defer d.openRequests.Add(-1)
			run()
		})
		return
	}
	d.openRequests.Add(-1)
	d.metrics.requestsDropped.Add(1)
	if failure != nil {
		d.stepLocked(failure)
	}
}

// recordReport writes a report to the log and the journal.
func (d *Driver) recordReport(r distribution.Report) {
	switch r.Kind {
	case distribution.ReportRefused:
		d.command.RefuseRelease(r.Version, refusalError(r))
	case distribution.ReportConflict:
		d.command.RecordConflict(r.Version, r.Other)
	case distribution.ReportPaused:
		d.command.RecordPause(r.Reason)
	default:
		d.command.RecordReport(r)
	}
}

// refusalError converts the reason of a refusal to an error: a *mesh.FieldError if the
// invalid field is known.
func refusalError(r distribution.Report) error {
	if r.Field != "" {
		return &mesh.FieldError{Service: r.Service, Field: r.Field, Reason: r.Reason}
	}
	return errors.New(r.Reason)
}
