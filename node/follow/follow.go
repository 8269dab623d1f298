// Package follow keeps a node's configuration and its list of servers in sync with a
// key-value store. Of all nodes only the root of a tree (package spread) watches the store;
// the others take its changes from each other. A node whose copy gets too old asks random
// nodes and at last reads the store itself.
package follow

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/source"
	"auburnladder.example/core/spread"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

// Follower keeps one node in sync with one store. Its methods are safe for concurrent use.
type Follower struct {
	cfg     Config
	store   Store
	peers   Peers
	command *command.Commander
	log     zerolog.Logger
	// boot is a clock that also counts while the VM is suspended.
	boot func() time.Duration
	// watchLimiter limits the rate of watches during a continuous series of changes.
	watchLimiter *rate.Limiter
	// failing is set while the store does not respond to this node.
	failing atomic.Bool
	// inSeries is set while releases follow each other so quickly that reading each of them takes
	// too long.
	inSeries atomic.Bool
	// refused is set once a release was too large for this node.
	refused atomic.Bool
	// calls tracks the open calls to the store, which may outlive Run.
	calls conc.WaitGroup
	// stopped is closed by Stop.
	stopped  chan struct{}
	stopOnce sync.Once
	// steer receives a value when the decision of the machine may have changed.
	steer chan struct{}

	mu      sync.Mutex
	replica *source.Replica
	machine *spread.Machine
	decoder source.Decoder
	// decision is what the node does now; decided is closed when it changes.
	decision spread.Decision
	decided  chan struct{}
	// renewed is closed when the copy has changed or was confirmed.
	renewed chan struct{}
	// encoded and releases serve to encode changes for other nodes.
	encoded  encodedChanges
	releases releaseHistory
	// arrival is how the release item of the replica came.
	arrival arrival
	// pending is set while the replica holds a release item that was not read yet.
	pending bool

	// listMu guards listChanges, the change count of the VM list that was applied last. It is
	// locked before mu.
	listMu      sync.Mutex
	listChanges uint64
	// evacuationChanges is the same for the evacuations.
	evacuationChanges uint64

	// releaseChanged receives a value when the replica has another release item.
	releaseChanged chan struct{}
	// builder and releaseAt belong to buildReleases. releaseAt is the position of the last release
	// item that was read; an invalid one leaves the active release unchanged.
	builder   *mesh.Builder
	releaseAt source.Position
}

// New returns a follower that is idle until Run is called. boot is a clock that also counts
// while the VM is suspended.
func New(cfg Config, store Store, d source.Decoder, peers Peers, cmd *command.Commander, boot func() time.Duration, log zerolog.Logger) *Follower {
	limits := spread.DefaultConfig()
	limits.Within = cfg.ApplyWithin
	limits.Jitter = rand.Float64()
	id := cmd.State.Identity
	return &Follower{
		cfg:          cfg,
		store:        store,
		peers:        peers,
		command:      cmd,
		log:          log,
		boot:         boot,
		watchLimiter: rate.NewLimiter(rate.Every(cfg.ApplyWithin/combineDivisor), combineBurst),
		stopped:      make(chan struct{}),
		steer:        make(chan struct{}, 1),
		replica:      source.NewReplica(cfg.Replica, d),
		machine:      spread.NewMachine(limits, id.VM, id.Domain, boot()),
		decoder:      d,
		builder:      mesh.NewBuilder(runtime.Gosched),

		releaseChanged: make(chan struct{}, 1),
		decided:        make(chan struct{}),
		renewed:        make(chan struct{}),
	}
}

// Failing reports whether the last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Status describes where a node gets changes from.
type Status struct {
	// ReadsStore reports whether the node watches the store itself.
	ReadsStore bool
	// Parent is the VM from whose node it takes changes, "" if there is none.
	Parent string
	// Age is the time for which the store may have changed without this node knowing.
	Age time.Duration
}

// Status returns where this node gets changes from.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{ReadsStore: f.decision.ReadStore, Age: f.machine.Age(f.boot())}
	if f.decision.Parent != nil {
		s.Parent = f.decision.Parent.ID
	}
	return s
}

// Current reports whether each release that was confirmed ApplyWithin ago or earlier is active,
// unless it was invalid.
func (f *Follower) Current() bool {
	within := f.cfg.ApplyWithin
	if f.cfg.Reading == ReadByAll {
		within += f.cfg.WatchWait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.pending && f.machine.Age(f.boot()) <= within
}

// Stop ends Run and the streams to the nodes that follow this one, which then turn to others.
// What the node holds stays in force. It may be called repeatedly and from any goroutine.
func (f *Follower) Stop() { f.stopOnce.Do(func() { close(f.stopped) }) }

// Run keeps the node in sync with the store until ctx ends or Stop is called. Calls to the store
// that are open then may outlive it.
func (f *Follower) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() {
		select {
		case <-f.stopped:
			cancel()
		case <-ctx.Done():
		}
	})
	tasks.Go(func() { f.control(ctx) })
	tasks.Go(func() { f.askPeers(ctx) })
	tasks.Go(func() { f.expire(ctx) })
	tasks.Go(func() { f.buildReleases(ctx) })
	f.readStore(ctx)
}

// control takes the decisions of the machine and keeps the stream from the parent.
func (f *Follower) control(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	parent, stop := "", func() {}
	defer func() { stop() }()
	for ctx.Err() == nil {
		d := f.decide()
		if next := vmID(d.Parent); next != parent {
			stop()
			parent, stop = next, func() {}
			f.log.Info().Str("event", "source-parent").Str("parent", next).Bool("reads_store", d.ReadStore).
				Dur("age_ms", f.Status().Age).Msg("changes of the store are taken from this node from now on; none means from the store")
			if next != "" {
				stop = f.startParent(ctx, &tasks, *d.Parent)
			}
		}
		f.awaitSteer(ctx, d.Wake-f.boot())
	}
}

// startParent starts taking changes from the node of a VM. The returned function ends that.
func (f *Follower) startParent(ctx context.Context, tasks *conc.WaitGroup, vm vmlist.VM) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	tasks.Go(func() { f.followParent(ctx, vm) })
	return cancel
}

func vmID(vm *vmlist.VM) string {
	if vm == nil {
		return ""
	}
	return vm.ID
}

// decide stores and returns the decision of the machine, and tells the tasks if it changed.
func (f *Follower) decide() spread.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.decision
	f.decision = f.machine.Decide(f.boot())
	if f.cfg.Reading == ReadByAll {
		f.decision.Parent, f.decision.ReadStore, f.decision.AskPeers = nil, true, f.failing.Load()
	}
	f.decision.AskPeers = f.decision.AskPeers || f.lacksReleaseLocked()
	if old.ReadStore != f.decision.ReadStore || old.AskPeers != f.decision.AskPeers || vmID(old.Parent) != vmID(f.decision.Parent) {
		close(f.decided)
		f.decided = make(chan struct{})
	}
	return f.decision
}

// awaitSteer waits until the machine has recorded something that may change its decision, or
// for d.
func (f *Follower) awaitSteer(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, minDecideInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.steer:
	case <-timer.C:
	}
}

// minDecideInterval is the shortest time between two decisions without an event.
const minDecideInterval = 10 * time.Millisecond

// signalSteer makes control decide again.
func (f *Follower) signalSteer() {
	select {
	case f.steer <- struct{}{}:
	default:
	}
}

// await waits until wanted returns true for the decision. It returns false if ctx ended first.
func (f *Follower) await(ctx context.Context, wanted func(d *spread.Decision) bool) bool {
	for {
		f.mu.Lock()
		ok, decided := wanted(&f.decision), f.decided
		f.mu.Unlock()
		if ok {
			return ctx.Err() == nil
		}
		select {
		case <-decided:
		case <-ctx.Done():
			return false
		}
	}
}

func (f *Follower) position() source.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Position()
}

// copyFrom returns the position from which the changes of another node complete this one's copy: the
// zero value, for all items, if it lacks the release.
func (f *Follower) copyFrom() source.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacksReleaseLocked() {
		return source.Position{}
	}
	return f.replica.CopyFrom()
}

// renewLocked tells the nodes that follow this one that the copy changed or was confirmed. The
// caller holds mu.
func (f *Follower) renewLocked() {
	if item, found := f.replica.Release(); found && f.releases.add(item) {
		f.pending = true
		select {
		case f.releaseChanged <- struct{}{}:
		default:
		}
	}
	close(f.renewed)
	f.renewed = make(chan struct{})
	f.signalSteer()
}

// applyList applies the replica's evacuations and its VM list if they changed: the evacuations first, so that no
// list is used without them. It never waits for a release to be built.
func (f *Follower) applyList() {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	f.mu.Lock()
	problems, changes := f.replica.DecodeErrors(), f.replica.ListChanges()
	var vms []vmlist.VM
	if changes != f.listChanges {
		vms = f.replica.VMs()
		f.machine.SetVMs(vms)
		f.signalSteer()
	}
	evacuationChanges := f.replica.EvacuationChanges()
	var evacuations []source.EvacuatedDomain
	if evacuationChanges != f.evacuationChanges {
		evacuations = f.replica.Evacuations()
	}
	age := f.machine.Age(f.boot())
	f.mu.Unlock()
	if evacuationChanges != f.evacuationChanges {
		f.evacuationChanges = evacuationChanges
		f.command.ApplyEvacuations(stateEvacuations(evacuations), age)
	}
	f.reportProblems(problems)
	if changes != f.listChanges {
		f.listChanges = changes
		f.command.ApplyVMList(&vmlist.List{Revision: changes, VMs: vms})
	}
}

func stateEvacuations(list []source.EvacuatedDomain) []state.Evacuation {
	converted := make([]state.Evacuation, len(list))
	for i, e := range list {
		converted[i] = state.Evacuation{Domain: e.Domain, Key: e.Key, Kept: e.Kept}
	}
	return converted
}

// buildReleases brings the newest release item of the replica in force until ctx ends. Those that
// come while one is built are skipped but for the last.
func (f *Follower) buildReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.releaseChanged:
			f.buildNewest()
		}
	}
}

// buildNewest applies the release item of the replica unless it was read already.
func (f *Follower) buildNewest() {
	f.mu.Lock()
	item, found := f.replica.Release()
	came := f.arrival
	f.mu.Unlock()
	if found && item.Position() != f.releaseAt {
		f.applyRelease(item, came)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if newest, _ := f.replica.Release(); newest.Position() == item.Position() {
		f.pending = false
	}
}

// applyRelease applies a release item if it is valid.
func (f *Follower) applyRelease(item source.Item, came arrival) {
	s := &stages{arrival: came, began: f.usage()}
	f.releaseAt = item.Position()
	p, err := f.decoder.Release(item.Value)
	s.decoded = f.usage()
	if err == nil {
		var snap *mesh.Snapshot
		if snap, err = f.builder.Build(p); err == nil {
			s.built = f.usage()
			f.command.ApplyRelease(snap)
			s.applied = f.usage()
			f.reportInForce(snap.Version.Sequence, s)
			return
		}
	}
	f.log.Warn().Err(err).Str("event", "release-refused").Uint64("era", item.Era).Uint64("revision", item.Revision).Msg("configuration is invalid; the active release stays")
}

// expire periodically drops entries that did not return after an outage.
func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			f.replica.Expire(now)
			age := f.machine.Age(f.boot())
			f.mu.Unlock()
			counters.copyAgeMillis.Set(age.Milliseconds())
			f.applyList()
		}
	}
}

// expireInterval is the interval of expire. An entry is dropped at most this much late.
const expireInterval = 100 * time.Millisecond

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
