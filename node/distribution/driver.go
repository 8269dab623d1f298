// Package distribution drives the distribution machine of a node: it reads the
// platform, talks to other nodes and puts whole releases in force.
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

// maxRequests bounds the requests to peers and the platform that are open at one time.
// Beyond it a request counts as failed, which the machine repeats later.
const maxRequests = 64

// Config describes one driver.
type Config struct {
	Machine distribution.Config
	// Self is this node's VM as the VM list shows it.
	Self vmlist.VM
	// Seeds are VMs known before the first VM list; may be empty.
	Seeds []vmlist.VM
	Trust *release.Trust
}

// Driver connects one machine to the platform and to other nodes. Its methods are safe
// for concurrent use.
type Driver struct {
	cfg      Config
	platform *platform.Client
	peers    Peers
	command  *command.Commander
	log      zerolog.Logger
	metrics  *metrics
	open     atomic.Int64
	lastStep atomic.Int64
	outage   outage
	// nextView is the newest view that was not applied yet; viewChanged tells of it.
	nextView    atomic.Pointer[[]vmlist.VM]
	viewChanged chan struct{}

	mu      sync.Mutex
	machine *distribution.Machine
	// view holds the VMs by id, for their addresses.
	view map[string]vmlist.VM
	// keepers holds the tasks that keep the sessions to neighbours open.
	keepers map[string]context.CancelFunc
	tasks   *conc.WaitGroup
	ctx     context.Context
}

// New returns a driver. Run starts it.
func New(cfg Config, client *platform.Client, cmd *command.Commander, log zerolog.Logger) (*Driver, error) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine, err := distribution.New(cfg.Machine, cfg.Self, cfg.Trust, rng)
	if err != nil {
		return nil, err
	}
	return &Driver{
		cfg:         cfg,
		platform:    client,
		command:     cmd,
		log:         log,
		metrics:     newMetrics(),
		machine:     machine,
		view:        make(map[string]vmlist.VM),
		viewChanged: make(chan struct{}, 1),
		keepers:     make(map[string]context.CancelFunc),
	}, nil
}

// Run drives the machine until ctx ends. It returns once all its tasks have ended.
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
			d.takeView()
		case <-ticker.C:
			d.step(distribution.Tick{})
		}
	}
	// No step starts a task after the context has ended.
	d.mu.Lock()
	d.tasks = nil
	d.mu.Unlock()
	tasks.Wait()
}

// SetView replaces the live VMs, as the membership sees them. It never blocks: the
// membership calls it from its own goroutine, on which the driver may be waiting.
func (d *Driver) SetView(vms []vmlist.VM) {
	d.nextView.Store(&vms)
	select {
	case d.viewChanged <- struct{}{}:
	default:
	}
}

// takeView applies the newest view that SetView left.
func (d *Driver) takeView() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if vms := d.nextView.Swap(nil); vms != nil {
		d.setView(*vms)
	}
}

func (d *Driver) setView(vms []vmlist.VM) {
	d.view = make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		d.view[vm.ID] = vm
	}
	d.stepLocked(distribution.ViewChanged{VMs: vms})
}

// Status returns what operators read back.
func (d *Driver) Status() distribution.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Status()
}

// Paused reports whether the machine made no step for so long that the process must
// have been paused. The request path calls it, because it may wake up before the
// machine does.
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

// stepLocked feeds the machine and carries out its actions in order. No action waits
// for anything: requests run as tasks of their own.
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
		d.act(now, a)
	}
}

func (d *Driver) act(now time.Time, a distribution.Action) {
	switch a := a.(type) {
	case distribution.SetNeighbours:
		d.setNeighbours(a.VMs)
	case distribution.Apply:
		d.command.ApplyRelease(a.Snapshot)
		d.metrics.applied(time.Since(now))
	case distribution.ApplyVMList:
		d.command.ApplyVMList(a.List)
		d.setView(d.command.State.Fleet().Live())
	case distribution.SetPhase:
		d.command.State.SetResyncing(a.Phase == distribution.PhaseResyncing)
		d.log.Info().Str("event", "phase-changed").Stringer("phase", a.Phase).Msg("configuration phase")
	case distribution.Report:
		d.report(a)
	case distribution.ReadSource:
		d.request(func() { d.readSource(a) }, distribution.SourceFailed{Call: a.Call, Key: a.Key})
	default:
		d.actOnPeer(a)
	}
}

func (d *Driver) actOnPeer(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Announce:
		d.request(func() { d.announce(a) }, nil)
	case distribution.Exchange:
		d.request(func() { d.exchange(a) }, nil)
	case distribution.FetchManifest:
		d.request(func() { d.fetchManifest(a) }, distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
	case distribution.FetchChunks:
		d.request(func() { d.fetchChunks(a) }, distribution.FetchFailed{Fetch: a.Fetch, Peer: a.Peer})
	case distribution.FetchVMList:
		d.request(func() { d.fetchVMList(a) }, distribution.FetchFailed(a))
	}
}

// request runs a task. If too many are running it reports the failure instead.
func (d *Driver) request(run func(), failure distribution.Event) {
	if d.open.Add(1) <= maxRequests {
		d.tasks.Go(func() {
			defer d.open.Add(-1)
			run()
		})
		return
	}
	d.open.Add(-1)
	d.metrics.dropped.Add(1)
	if failure != nil {
		d.stepLocked(failure)
	}
}

// report brings a report to the log and the journal.
func (d *Driver) report(r distribution.Report) {
	switch r.Kind {
	case distribution.ReportRefused:
		d.command.RefuseRelease(r.Version, refusal(r))
	case distribution.ReportConflict:
		d.command.RecordConflict(r.Version, r.Other)
	case distribution.ReportPaused:
		d.command.RecordPause(r.Reason)
	default:
		d.command.RecordReport(r)
	}
}

// refusal returns the reason of a refusal, with its field if that is known.
func refusal(r distribution.Report) error {
	if r.Field != "" {
		return &mesh.FieldError{Service: r.Service, Field: r.Field, Reason: r.Reason}
	}
	return errors.New(r.Reason)
}
