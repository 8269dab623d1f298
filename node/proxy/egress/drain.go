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

// DrainConfig bounds how soon a drain follows its signals.
type DrainConfig struct {
	Machine drain.Config
	// CheckInterval is how often the VM list, the release and the requests in flight
	// are looked at. Shorter costs processor time.
	CheckInterval time.Duration
	// PollInterval is the time between two questions to the server's drain path, and
	// PollTimeout bounds one. Their sum must stay below drain.MaxRefuseDelay.
	PollInterval time.Duration
	PollTimeout  time.Duration
}

// DefaultDrainConfig refuses work at most 2 s after the server's own signal.
func DefaultDrainConfig() DrainConfig {
	return DrainConfig{
		Machine:       drain.DefaultConfig(),
		CheckInterval: 50 * time.Millisecond,
		PollInterval:  time.Second,
		PollTimeout:   time.Second,
	}
}

// Leaver makes it known whether this node takes new work.
type Leaver interface {
	// SetLeaving is told the cause in words.
	SetLeaving(leaving bool, cause string)
}

// Drainer takes the backend server out of service. Create it with NewDrainer.
type Drainer struct {
	egress *Egress
	leaver Leaver
	log    zerolog.Logger
	cfg    DrainConfig
	events chan drain.Event

	// The rest belongs to the goroutine of Run.
	machine  *drain.Machine
	stop     mesh.Stop
	inFlight int
	// revision is that of the VM list looked at last.
	revision uint64
	listed   bool
	tasks    conc.WaitGroup
}

// NewDrainer returns a drainer for the egress' server.
func NewDrainer(e *Egress, l Leaver, cfg DrainConfig) *Drainer {
	return &Drainer{
		egress:  e,
		leaver:  l,
		log:     e.Log,
		cfg:     cfg,
		events:  make(chan drain.Event, 16),
		machine: drain.New(cfg.Machine, mesh.Stop{}),
	}
}

// Signal asks for the drain. It may be called from any goroutine, also repeatedly.
func (d *Drainer) Signal(ctx context.Context, r drain.Reason) {
	d.send(ctx, drain.Signal{Reason: r})
}

func (d *Drainer) send(ctx context.Context, ev drain.Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// Run follows the signals until the drain is done, then it returns true. It returns
// false if ctx ended first.
func (d *Drainer) Run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer d.tasks.Wait()
	defer cancel()
	d.tasks.Go(func() { d.pollServer(ctx) })
	ticker := time.NewTicker(d.cfg.CheckInterval)
	defer ticker.Stop()
	for d.machine.State() != drain.Done {
		select {
		case <-ctx.Done():
			return false
		case ev := <-d.events:
			d.look(ctx)
			d.step(ctx, ev)
		case <-ticker.C:
			d.look(ctx)
		}
	}
	return true
}

// look feeds the machine what may have changed in the node's state.
func (d *Drainer) look(ctx context.Context) {
	d.inFlight = max(int(d.egress.active.Load()), d.egress.limiter.Load().InFlight)
	d.step(ctx, drain.InFlight{Count: d.inFlight})
	if svc := d.egress.service(); svc != nil && svc.Stop != d.stop {
		d.stop = svc.Stop
		d.step(ctx, drain.Contract{Stop: svc.Stop})
	}
	st := d.egress.State
	fleet := st.Fleet()
	if fleet.Revision == d.revision {
		return
	}
	d.revision = fleet.Revision
	vm, found := fleet.Published(st.Identity.VM)
	if !found || vm.Leaving == d.listed {
		return
	}
	d.listed = vm.Leaving
	d.step(ctx, signalOrWithdraw(drain.ReasonListed, vm.Leaving))
}

func signalOrWithdraw(r drain.Reason, stands bool) drain.Event {
	if stands {
		return drain.Signal{Reason: r}
	}
	return drain.Withdraw{Reason: r}
}

func (d *Drainer) step(ctx context.Context, ev drain.Event) {
	before := d.machine.State()
	for _, a := range d.machine.Step(d.egress.Now(), ev) {
		d.act(ctx, a)
	}
	if after := d.machine.State(); after != before {
		d.log.Info().Str("event", "drain-state").Str("from", string(before)).Str("to", string(after)).
			Int("in_flight", d.inFlight).Msg("drain moved on")
	}
}

func (d *Drainer) act(ctx context.Context, a drain.Action) {
	switch a := a.(type) {
	case drain.Refuse:
		d.egress.limiter.Close()
		d.leaver.SetLeaving(true, string(a.Reason))
	case drain.Accept:
		d.egress.limiter.Reopen()
		d.leaver.SetLeaving(false, "signal withdrawn")
	case drain.GraceOver:
		d.log.Warn().Str("event", "grace-over").Int("in_flight", a.InFlight).Msg("requests outlived the grace of the stop contract")
	case drain.StopServer:
		d.tasks.Go(func() { d.stopServer(ctx, a) })
	case drain.Exit:
		if a.Aborted > 0 {
			d.log.Error().Str("event", "requests-cut").Int("in_flight", a.Aborted).Msg("requests cut at the hard limit of the drain")
		}
	}
}

func (d *Drainer) stopServer(ctx context.Context, a drain.StopServer) {
	callCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	status, err := d.egress.ask(callCtx, fasthttp.MethodPost, a.Stop.Path)
	if err != nil || status >= fasthttp.StatusBadRequest {
		d.log.Error().Err(err).Str("event", "stop-failed").Int("status", status).Msg("backend server took no stop request")
	}
	d.send(ctx, drain.StopEnded{})
}

// pollServer asks the server's drain path now and then and reports changes.
func (d *Drainer) pollServer(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.PollInterval)
	defer ticker.Stop()
	leaving := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, known := d.poll(ctx)
		if !known || now == leaving {
			continue
		}
		leaving = now
		d.send(ctx, signalOrWithdraw(drain.ReasonServer, leaving))
	}
}

// poll reports whether the server wants to leave, and whether it answered at all.
func (d *Drainer) poll(ctx context.Context) (leaving, known bool) {
	svc := d.egress.service()
	if svc == nil || svc.Server.DrainPath == "" {
		return false, svc != nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.PollTimeout)
	defer cancel()
	status, err := d.egress.ask(ctx, fasthttp.MethodGet, svc.Server.DrainPath)
	return status == fasthttp.StatusServiceUnavailable, err == nil
}
