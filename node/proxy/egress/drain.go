package egress

import (
	"context"
	"time"

	"auburnladder.example/core/drain"
	"auburnladder.example/core/mesh"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// DrainConfig holds the intervals of a Drainer.
type DrainConfig struct {
	// Machine configures the drain state machine.
	Machine drain.Config
	// CheckInterval is how often the VM list, the active release and the number of
	// requests in flight are checked. Shorter costs processor time.
	CheckInterval time.Duration
	// PollInterval is the time between two requests to the server's drain path.
	// PollTimeout limits the time of one request. Their sum must stay below
	// drain.MaxRefuseDelay.
	PollInterval time.Duration
	PollTimeout  time.Duration
}

// DefaultDrainConfig returns a configuration with which new calls are refused at most 2 s
// after the server signals a drain on its drain path.
func DefaultDrainConfig() DrainConfig {
	return DrainConfig{
		Machine:       drain.DefaultConfig(),
		CheckInterval: 50 * time.Millisecond,
		PollInterval:  time.Second,
		PollTimeout:   time.Second,
	}
}

// LeavingSetter updates whether this node accepts new calls, and notifies its peers.
type LeavingSetter interface {
	// SetLeaving sets the state. The cause is recorded in the node's journal.
	SetLeaving(leaving bool, cause string)
}

// Drainer drains the local backend server: it refuses new calls, waits for those in
// flight and stops the server. Create it with NewDrainer.
type Drainer struct {
	egress        *Egress
	leavingSetter LeavingSetter
	log           zerolog.Logger
	cfg           DrainConfig
	events        chan drain.Event

	// The fields below are used only by the goroutine of Run.
	machine *drain.Machine
	// stop is the stop settings that the state machine received last.
	stop     mesh.Stop
	inFlight int
	// vmListRevision is the revision of the VM list that was checked last.
	vmListRevision uint64
	// listedLeaving is whether the VM list marked this VM as leaving at the last check.
	listedLeaving bool
	tasks         conc.WaitGroup
}

// NewDrainer returns a drainer for the backend server of e.
func NewDrainer(e *Egress, setter LeavingSetter, cfg DrainConfig) *Drainer {
	return &Drainer{
		egress:        e,
		leavingSetter: setter,
		log:           e.Log,
		cfg:           cfg,
		events:        make(chan drain.Event, 16),
		machine:       drain.New(cfg.Machine, mesh.Stop{}),
	}
}

// Signal requests the drain for the given reason. It may be called repeatedly and from
// any goroutine. It returns early when ctx ends.
func (d *Drainer) Signal(ctx context.Context, r drain.Reason) {
	d.sendEvent(ctx, drain.Signal{Reason: r})
}

func (d *Drainer) sendEvent(ctx context.Context, ev drain.Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// Run processes drain signals until the drain is done, then returns true. It returns
// false if ctx ends first.
func (d *Drainer) Run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer d.tasks.Wait()
	defer cancel()
	d.tasks.Go(func() { d.pollDrainPath(ctx) })
	ticker := time.NewTicker(d.cfg.CheckInterval)
	defer ticker.Stop()
	for d.machine.State() != drain.Done {
		select {
		case <-ctx.Done():
			return false
		case ev := <-d.events:
			d.checkState(ctx)
			d.handleEvent(ctx, ev)
		case <-ticker.C:
			d.checkState(ctx)
		}
	}
	return true
}

// checkState passes changes of the node's state to the state machine: requests in flight,
// the stop settings of the active release, and the leaving mark in the VM list.
func (d *Drainer) checkState(ctx context.Context) {
	d.inFlight = max(int(d.egress.active.Load()), d.egress.limiter.Load().InFlight)
	d.handleEvent(ctx, drain.InFlight{Count: d.inFlight})
	if svc := d.egress.localService(); svc != nil && svc.Stop != d.stop {
		d.stop = svc.Stop
		d.handleEvent(ctx, drain.Contract{Stop: svc.Stop})
	}
	st := d.egress.State
	fleet := st.Fleet()
	if fleet.Revision == d.vmListRevision {
		return
	}
	d.vmListRevision = fleet.Revision
	vm, found := fleet.Published(st.Identity.VM)
	if !found || vm.Leaving == d.listedLeaving {
		return
	}
	d.listedLeaving = vm.Leaving
	d.handleEvent(ctx, signalEvent(drain.ReasonListed, vm.Leaving))
}

// signalEvent returns a drain signal for the reason if it is active, else its withdrawal.
func signalEvent(r drain.Reason, active bool) drain.Event {
	if active {
		return drain.Signal{Reason: r}
	}
	return drain.Withdraw{Reason: r}
}

// handleEvent advances the state machine by the event and executes the resulting actions.
func (d *Drainer) handleEvent(ctx context.Context, ev drain.Event) {
	from := d.machine.State()
	for _, a := range d.machine.Step(d.egress.Now(), ev) {
		d.execute(ctx, a)
	}
	if to := d.machine.State(); to != from {
		d.log.Info().Str("event", "drain-state").Str("from", string(from)).Str("to", string(to)).
			Int("in_flight", d.inFlight).Msg("drain state changed")
	}
}

func (d *Drainer) execute(ctx context.Context, a drain.Action) {
	switch a := a.(type) {
	case drain.Refuse:
		d.egress.limiter.Close()
		d.leavingSetter.SetLeaving(true, string(a.Reason))
	case drain.Accept:
		d.egress.limiter.Reopen()
		d.leavingSetter.SetLeaving(false, "signal withdrawn")
	case drain.GraceOver:
		d.log.Warn().Str("event", "grace-over").Int("in_flight", a.InFlight).Msg("requests still in flight after the grace period")
	case drain.StopServer:
		d.tasks.Go(func() { d.stopServer(ctx, a) })
	case drain.Exit:
		if a.Aborted > 0 {
			d.log.Error().Str("event", "requests-cut").Int("in_flight", a.Aborted).Msg("requests aborted at the hard time limit of the drain")
		}
	}
}

// stopServer sends the stop request to the backend server and reports its end to Run,
// also if the request failed.
func (d *Drainer) stopServer(ctx context.Context, a drain.StopServer) {
	callCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	status, err := d.egress.sendNodeRequest(callCtx, fasthttp.MethodPost, a.Stop.Path)
	if err != nil || status >= fasthttp.StatusBadRequest {
		d.log.Error().Err(err).Str("event", "stop-failed").Int("status", status).Msg("stop request to the backend server failed")
	}
	d.sendEvent(ctx, drain.StopEnded{})
}

// pollDrainPath requests the server's drain path every PollInterval and sends an event
// for each change, until ctx ends.
func (d *Drainer) pollDrainPath(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.PollInterval)
	defer ticker.Stop()
	leaving := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, known := d.queryDrainPath(ctx)
		if !known || now == leaving {
			continue
		}
		leaving = now
		d.sendEvent(ctx, signalEvent(drain.ReasonServer, leaving))
	}
}

// queryDrainPath reports whether the server signals a drain by status 503. known is false
// if the server did not respond or no release is active.
func (d *Drainer) queryDrainPath(ctx context.Context) (leaving, known bool) {
	svc := d.egress.localService()
	if svc == nil || svc.Server.DrainPath == "" {
		return false, svc != nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.PollTimeout)
	defer cancel()
	status, err := d.egress.sendNodeRequest(ctx, fasthttp.MethodGet, svc.Server.DrainPath)
	return status == fasthttp.StatusServiceUnavailable, err == nil
}
