// Package egress forwards calls from peer nodes to the local backend server and drains
// that server. It is the only sender of requests to the server, so its concurrency limits
// and in-flight counts are exact.
package egress

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/breaker"
	"auburnladder.example/core/coldstart"
	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/upload"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/decisions"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/proxy"
	"auburnladder.example/node/quarantine"
	"auburnladder.example/node/state"
	"auburnladder.example/node/tracing"
	"auburnladder.example/node/transfer"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Egress forwards calls to the local backend server, of which it is the only client.
// Create it with New. The exported fields must not be changed once Run or ServeCall is
// running.
type Egress struct {
	// State is the node's shared state: identity, active release and VM list.
	State *state.State
	Log   zerolog.Logger
	// Decisions receives a log line for each decision about a call. May be nil.
	Decisions *decisions.Log
	// Tracer starts the spans of a call at this node.
	Tracer *tracing.Tracer
	// Announcements receives that the backend server announced that it leaves; nil if the
	// headers name no such announcement.
	Announcements proxy.AnnouncementRecorder
	// Quarantine holds the records of requests that crash backend servers. By default they
	// are known to this node only.
	Quarantine *quarantine.Tracker
	// Now returns the current time. Tests replace it.
	Now func() time.Time
	// Headers holds the names of the headers that callers and backend servers use.
	Headers wirenames.Headers
	// AdmitByVMList makes the VM list decide which backend server is local and whether it
	// accepts calls. The node then trusts its peers to route and authorize the calls to
	// that server's service, and doesn't check them against the active release.
	AdmitByVMList bool

	cfg Config
	// boot returns the time since the VM was booted, including time in suspension.
	boot          func() time.Duration
	limiter       *admission.Limiter
	pool          *serverPool
	recentCalls   *seenCalls
	pauseDetector *admission.PauseDetector
	// runningRequests are the requests that the server is running.
	runningRequests *runningRequests
	// crashIDBase makes the identities of crashes differ between nodes.
	crashIDBase uint64
	// cold is whether the server is cold.
	cold *coldServer
	// configured is set once server limits were applied.
	configured atomic.Bool
	// linkWindow limits the bytes of long response bodies in flight on the VM's network
	// link. responseSizes holds the mean size of buffered responses for each route.
	linkWindow    *transfer.Window
	responseSizes routeResponseSizes
	// relayBuffers holds the buffers of response bodies that are sent as they are read, as *[]byte.
	relayBuffers sync.Pool
	// work is nil unless TrackWork was called.
	work *serverWork
	// uploads are the accepted request bodies that were announced before they are sent.
	uploads *upload.Schedule
	// unstartedUploads is the number of them that have not been sent to the server.
	unstartedUploads atomic.Int64

	// lastDependencyFailure is the time, in Unix nanoseconds, of the latest failure of a
	// call from the backend server to another service.
	lastDependencyFailure atomic.Int64
	// lastRequestFailure is the time, in Unix nanoseconds, of the latest failure of any request
	// that arrived at this node.
	lastRequestFailure atomic.Int64
	// hasSiblings reports whether the service has further servers.
	hasSiblings atomic.Bool
	// breaker refuses routes whose requests fail because calls of the server do.
	breaker *breaker.Breaker
	// active counts admitted calls whose reply has not been sent completely to the peer.
	active atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// appliedServer is the server limits applied last.
	appliedServer mesh.Server
	// announced is what the current run of the server said in its latest response. It is
	// replaced only while mu is held.
	announced atomic.Pointer[announcements]
}

// New returns an egress for the backend server at addr. Run must be running while
// ServeCall is used.
func New(st *state.State, addr netip.AddrPort, cfg Config, log zerolog.Logger) *Egress {
	return newEgress(st, addr, log, cfg, time.Now, steady.Boot)
}

func newEgress(st *state.State, addr netip.AddrPort, log zerolog.Logger, cfg Config, now func() time.Time, boot func() time.Duration) *Egress {
	e := &Egress{
		State:           st,
		Log:             log,
		Now:             now,
		cfg:             cfg,
		limiter:         admission.New(cfg.Admission, now()),
		pool:            newServerPool(addr, cfg.Server, now),
		Quarantine:      quarantine.New(quarantine.DefaultConfig(), st.Identity.VM, nil, log),
		crashIDBase:     rand.Uint64(),
		recentCalls:     newSeenCalls(cfg.SeenCalls),
		runningRequests: newRunningRequests(),
		cold:            newColdServer(),
		breaker:         breaker.New(breaker.DefaultConfig()),
		boot:            boot,
		linkWindow:      transfer.New(cfg.Transfer),
		uploads:         upload.New(cfg.Upload),
		responseSizes:   routeResponseSizes{means: make(map[string]float64)},
		pauseDetector:   admission.NewPauseDetector(cfg.Pause, boot()),
	}
	e.announced.Store(&announcements{})
	e.pool.onEnd = e.recordServerEnd
	e.pool.onRestart = func() {
		e.limiter.Restart(now())
		e.SuspectCold(coldstart.ReasonRestart)
	}
	e.pool.onIdleEnd = func() { e.SuspectCold(coldstart.ReasonConnectionEnded) }
	return e
}

// Run applies the server limits of new releases, detects process pauses, refuses queued calls during
// an evacuation, updates the metrics and closes expired idle connections, every TickInterval. It returns when ctx
// ends.
func (e *Egress) Run(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	defer e.pool.close()
	var checks conc.WaitGroup
	defer checks.Wait()
	checks.Go(func() { e.runHealthChecks(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.pauseDetector.Observe(e.boot())
			e.applyServerLimits()
			e.refreshCold()
			e.refuseWaiting()
			e.limiter.Refresh(e.Now())
			e.hasSiblings.Store(len(e.State.Fleet().Servers(e.State.Identity.Service)) > 1)
			e.publishLoadMetrics()
			e.publishWorkMetrics()
			e.pool.closeExpired()
		}
	}
}

// Active returns the number of admitted calls whose reply has not been sent completely.
// It may be called from any goroutine.
func (e *Egress) Active() int64 { return e.active.Load() }

// Load returns the load of the backend server that is sent with every reply. Queued
// includes the responses that are being sent over the VM's network link.
func (e *Egress) Load() *peerpb.Load {
	l := e.limiter.Load()
	coldMs, startRateMilli := e.coldLoad()
	load := &peerpb.Load{
		ColdMs:         coldMs,
		StartRateMilli: startRateMilli,
		LeavingServer:  e.leavingServer(),
		InFlight:       uint32(l.InFlight),
		Queued:         uint32(l.Queued + e.linkWindow.Sending()),
		Limit:          uint32(l.Sustained),
		Leaving:        e.State.Leaving(),
	}
	e.addWork(load)
	e.reportWaits(load)
	return load
}

// leavingServer returns the run of the local backend server if it announced that it leaves, or
// nil.
func (e *Egress) leavingServer() *peerpb.ServerRun {
	run := e.localRun()
	if !e.State.Fleet().AnnouncedLeaving(run) {
		return nil
	}
	return &peerpb.ServerRun{Instance: run.Instance, StartedAtMs: run.StartedAtMs}
}

// DependencyFailed reports that a call from the backend server through this node to
// another service failed. It may be called from any goroutine.
func (e *Egress) DependencyFailed() {
	e.lastDependencyFailure.Store(steady.Nanos(e.Now()))
}

func (e *Egress) dependencyFailedSince(t time.Time) bool {
	return e.lastDependencyFailure.Load() >= steady.Nanos(t)
}

// localService returns the configuration of this node's service in the active release, or
// nil.
func (e *Egress) localService() *mesh.Service {
	snap := e.State.Snapshot()
	if snap == nil {
		return nil
	}
	return snap.Service(e.State.Identity.Service)
}

// localVM returns the VM list entry of this node's VM, or nil.
func (e *Egress) localVM() *vmlist.VM {
	return e.State.Fleet().VM(e.State.Identity.VM)
}

// localRun returns the run of the local backend server in the VM list; the zero value if it
// is not known.
func (e *Egress) localRun() vmlist.Run {
	if vm := e.localVM(); vm != nil {
		return vm.Run()
	}
	return vmlist.Run{}
}

// serverLimits returns the limits of the local backend server, or false if they are not
// known.
func (e *Egress) serverLimits() (mesh.Server, bool) {
	if !e.AdmitByVMList {
		svc := e.localService()
		if svc == nil {
			return mesh.Server{}, false
		}
		return svc.Server, true
	}
	vm, snap := e.localVM(), e.State.Snapshot()
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

// publishLoadMetrics updates the gauges of the limiter and of the network link.
func (e *Egress) publishLoadMetrics() {
	l := e.limiter.Load()
	egressStats.Set("in_flight", gauge(l.InFlight))
	egressStats.Set("queued", gauge(l.Queued))
	egressStats.Set("limit", gauge(l.Limit))
	e.publishRankMetrics()
	egressStats.Set("breaker_open", gauge(e.breaker.Open(e.Now())))
	link := e.linkWindow.Status()
	egressStats.Set("link_bytes_per_second", gauge(link.BytesPerSecond))
	egressStats.Set("link_backlog", gauge(link.Backlog))
	e.publishUploadMetrics()
}

// gauge is an integer expvar.Var. A new value replaces the variable in the map.
type gauge int

// String implements expvar.Var.
func (g gauge) String() string { return strconv.Itoa(int(g)) }

// applyServerLimits applies the server limits of the active release, or of the VM list,
// if they have changed.
func (e *Egress) applyServerLimits() {
	e.observeListedCold()
	server, known := e.serverLimits()
	if !known {
		if !e.configured.Load() {
			e.limitUnconfigured()
		}
		return
	}
	run := e.localRun()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startRun(run)
	if server == e.appliedServer {
		return
	}
	first := e.appliedServer == mesh.Server{}
	e.appliedServer = server
	e.pool.setLimit(server.Connections)
	e.configured.Store(true)
	e.setColdLimits(server)
	e.limiter.SetServer(e.Now(), server)
	if first {
		e.limiter.Restart(e.Now())
	}
}

// ServeCall runs one call from a peer and sends the reply on st. It returns when the
// server has finished the request or the connection to the server is closed. Each call is
// served on its own goroutine.
func (e *Egress) ServeCall(ctx context.Context, peer peers.Peer, call *peerpb.Call, st *session.Stream) {
	boot := e.boot()
	transitDelay := measureTransitDelay(peer, call, boot)
	deadline, end := e.lifetime(call, transitDelay)
	x := &exchange{
		egress:       e,
		peer:         peer,
		call:         call,
		stream:       st,
		maybeStale:   e.pauseDetector.Observe(boot),
		transitDelay: transitDelay,
		progress:     make(chan struct{}, 1),
		deadline:     deadline,
		end:          end,
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

// measureTransitDelay returns how much longer the call took from the peer to this node
// than the fastest recent message of the same session. It returns 0 if the call carries
// no sending time.
func measureTransitDelay(peer peers.Peer, call *peerpb.Call, now time.Duration) time.Duration {
	if call.GetSentUs() == 0 {
		return 0
	}
	return peer.Transit.Excess(time.Duration(call.GetSentUs())*time.Microsecond, now)
}

// lifetime returns the deadline and the end of a call that was on its way for transitDelay longer
// than usual. Nodes of earlier versions do not say when it ends.
func (e *Egress) lifetime(call *peerpb.Call, transitDelay time.Duration) (deadline, end time.Time) {
	arrived := e.Now().Add(-transitDelay)
	deadline = arrived.Add(e.remaining(call.GetRemainingUs()))
	if us := call.GetDeliveryUs(); us > 0 {
		return deadline, arrived.Add(e.remaining(us))
	}
	return deadline, lifetime.End(deadline)
}

// remaining returns a time that the caller allows, limited to MaxRemaining.
func (e *Egress) remaining(us uint64) time.Duration {
	return time.Duration(min(us, uint64(e.cfg.MaxRemaining.Microseconds()))) * time.Microsecond
}
