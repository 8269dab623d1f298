// Package egress runs calls at the backend server beside this node and drains that
// server. It alone sends to the server, so its limits and counts are exact.
package egress

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/decisions"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/state"
	"auburnladder.example/node/tracing"
	"auburnladder.example/node/transfer"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
)

// Egress runs calls at the backend server beside this node. It alone sends to it.
type Egress struct {
	State *state.State
	Log   zerolog.Logger
	// Decisions gets a line for each decision about a call; may be nil.
	Decisions *decisions.Log
	Tracer    *tracing.Tracer
	// Now returns the time; tests replace it.
	Now func() time.Time
	// Headers names the headers that callers and servers use.
	Headers wirenames.Headers
	// ByList has the VM list say which server stands beside the node and whether it takes
	// work. Peers then decide which calls lead to its service, and are believed.
	ByList bool

	cfg Config
	// boot returns the time since the VM's boot, which counts suspension.
	boot    func() time.Duration
	limiter *admission.Limiter
	pool    *serverPool
	seen    *seenCalls
	pause   *admission.PauseDetector
	// window is the link's share for long answers, sizes what these are.
	window *transfer.Window
	sizes  bodySizes

	// dependencyFailed is when a call of the server to another one last failed, in
	// Unix nanoseconds.
	dependencyFailed atomic.Int64
	// active counts admitted calls until their answer was given to the peer in full.
	active atomic.Int64

	mu     sync.Mutex
	server mesh.Server
}

// New returns an egress for the backend server at addr. Run must be running
// while it serves.
func New(st *state.State, addr netip.AddrPort, cfg Config, log zerolog.Logger) *Egress {
	return newEgress(st, addr, log, cfg, time.Now, steady.Boot)
}

func newEgress(st *state.State, addr netip.AddrPort, log zerolog.Logger, cfg Config, now func() time.Time, boot func() time.Duration) *Egress {
	e := &Egress{
		State:   st,
		Log:     log,
		Now:     now,
		cfg:     cfg,
		limiter: admission.New(cfg.Admission, now()),
		pool:    newServerPool(addr, cfg.Server, now),
		seen:    newSeenCalls(cfg.SeenCalls),
		boot:    boot,
		window:  transfer.New(cfg.Transfer),
		sizes:   bodySizes{means: make(map[string]float64)},
		pause:   admission.NewPauseDetector(cfg.Pause, boot()),
	}
	e.pool.onRestart = func() { e.limiter.Restart(now()) }
	return e
}

// Run adopts the limits of new releases, notes pauses of the process and closes unused
// connections until ctx ends.
func (e *Egress) Run(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	defer e.pool.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.pause.Observe(e.boot())
			e.adoptServer()
			e.limiter.Refresh(e.Now())
			e.publishLoad()
			e.pool.sweep()
		}
	}
}

// Active returns the number of admitted calls whose answer was not given in full.
func (e *Egress) Active() int64 { return e.active.Load() }

// Load returns the state of the backend server as sent with every reply.
func (e *Egress) Load() *peerpb.Load {
	l := e.limiter.Load()
	return &peerpb.Load{
		InFlight: uint32(l.InFlight),
		Queued:   uint32(l.Queued + e.window.Sending()),
		Limit:    uint32(l.Limit),
		Leaving:  e.State.Leaving(),
	}
}

// DependencyFailed notes that a call which the backend server made through this node
// got no good answer. It may be called from any goroutine.
func (e *Egress) DependencyFailed() {
	e.dependencyFailed.Store(steady.Nanos(e.Now()))
}

func (e *Egress) dependencyFailedSince(t time.Time) bool {
	return e.dependencyFailed.Load() >= steady.Nanos(t)
}

// service returns the configuration of this node's own service, or nil.
func (e *Egress) service() *mesh.Service {
	snap := e.State.Snapshot()
	if snap == nil {
		return nil
	}
	return snap.Service(e.State.Identity.Service)
}

// listed returns what the VM list says of this node's VM, or nil.
func (e *Egress) listed() *vmlist.VM {
	return e.State.Fleet().VM(e.State.Identity.VM)
}

// serverLimits returns the limits of the server beside the node, false if they are not
// known.
func (e *Egress) serverLimits() (mesh.Server, bool) {
	if !e.ByList {
		svc := e.service()
		if svc == nil {
			return mesh.Server{}, false
		}
		return svc.Server, true
	}
	vm, snap := e.listed(), e.State.Snapshot()
	if vm == nil || snap == nil {
		return mesh.Server{}, false
	}
	svc := snap.Service(vm.Service)
	if svc == nil {
		return mesh.Server{}, false
	}
	server := svc.Server
	server.Slots = vm.Slots
	server.Connections = max(server.Connections, server.Slots)
	return server, true
}

// publishLoad shows the limiter's counts among the metrics.
func (e *Egress) publishLoad() {
	l := e.limiter.Load()
	egressStats.Set("in_flight", gauge(l.InFlight))
	egressStats.Set("queued", gauge(l.Queued))
	egressStats.Set("limit", gauge(l.Limit))
	link := e.window.Status()
	egressStats.Set("link_bytes_per_second", gauge(link.BytesPerSecond))
	egressStats.Set("link_backlog", gauge(link.Backlog))
}

// gauge is a metric that is replaced as a whole.
type gauge int

// String implements expvar.Var.
func (g gauge) String() string { return strconv.Itoa(int(g)) }

// adoptServer takes the server's limits from the release in force.
func (e *Egress) adoptServer() {
	server, known := e.serverLimits()
	if !known {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if server == e.server {
		return
	}
	first := e.server == mesh.Server{}
	e.server = server
	e.pool.setLimit(server.Connections)
	e.limiter.SetServer(e.Now(), server)
	if first {
		e.limiter.Restart(e.Now())
	}
}

// ServeCall runs one call that a peer sent and answers it on st. It returns once the
// server's work for it has ended or its connection was closed.
func (e *Egress) ServeCall(ctx context.Context, from peers.Peer, call *peerpb.Call, st *session.Stream) {
	boot := e.boot()
	late := lateness(from, call, boot)
	x := &exchange{
		egress:   e,
		from:     from,
		call:     call,
		stream:   st,
		stale:    e.pause.Observe(boot),
		late:     late,
		progress: make(chan struct{}, 1),
		deadline: e.Now().Add(e.remaining(call) - late),
	}
	egressStats.Add("calls", 1)
	span := e.Tracer.Start(tracing.HopEgress, call.GetTraceparent())
	x.traceparent = span.Traceparent()
	v, err := x.serve(ctx)
	egressStats.Add("verdict_"+v.String(), 1)
	span.End(v, err)
	if err != nil {
		x.logFailure(v, err)
	}
}

// lateness returns how much longer than usual the call was under way.
func lateness(from peers.Peer, call *peerpb.Call, now time.Duration) time.Duration {
	if call.GetSentUs() == 0 {
		return 0
	}
	return from.Transit.Excess(time.Duration(call.GetSentUs())*time.Microsecond, now)
}

func (e *Egress) remaining(call *peerpb.Call) time.Duration {
	us := min(call.GetRemainingUs(), uint64(e.cfg.MaxRemaining.Microseconds()))
	return time.Duration(us) * time.Microsecond
}
