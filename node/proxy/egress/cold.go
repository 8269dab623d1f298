package egress

import (
	"context"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/coldstart"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/vmlist"
	"github.com/valyala/fasthttp"
)

const (
	// healthTimeout limits one health check. The server counts as cold meanwhile, and a server that
	// is short of processor time takes some hundred milliseconds.
	healthTimeout = 500 * time.Millisecond
	// maxReportedDoubt bounds the cold time that replies report while it is not known whether the server
	// is cold: the answer is due much sooner, and callers that hold back don't hear of it.
	maxReportedDoubt = 500 * time.Millisecond
	// unknownColdRate is the number of requests per second that a server gets whose entry says that
	// it is cold while the configuration, which has its rate, is not known yet.
	unknownColdRate = 5
)

// coldServer is what this node knows of whether the backend server is cold.
type coldServer struct {
	// status is the latest state; it is never nil.
	status atomic.Pointer[coldStatus]
	// entry is the VM list entry that was applied last.
	entry atomic.Pointer[vmlist.VM]
	// wake is signalled when a health check is due.
	wake chan struct{}

	// mu guards the fields below. It may be held while Limiter methods are called.
	mu         sync.Mutex
	machine    *coldstart.Machine
	limit      admission.StartLimit
	perSecond  float64
	healthPath string
	// evacuationEnded is the end of the last evacuation of the local failure domain that was applied.
	evacuationEnded time.Time
}

// coldStatus is the state at some moment. It is immutable.
type coldStatus struct {
	cold, inDoubt bool
	reason        coldstart.Reason
	until         time.Time
	perSecond     float64
}

// left returns how much longer the server counts as cold.
func (s *coldStatus) left(now time.Time) time.Duration {
	if !s.cold {
		return 0
	}
	return max(s.until.Sub(now), 0)
}

func newColdServer() *coldServer {
	c := &coldServer{machine: coldstart.New(coldstart.DefaultConfig()), wake: make(chan struct{}, 1)}
	c.status.Store(&coldStatus{})
	return c
}

// SuspectCold reports that the backend server may have become cold, for example because the evacuation of
// its failure domain has ended. Until a health response says otherwise, it gets few requests per
// second. It has no effect if servers of the service are never cold. It may be called from any goroutine.
func (e *Egress) SuspectCold(reason coldstart.Reason) {
	c := e.cold
	now := e.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Suspect(now, reason)
	e.applyCold(now)
}

// observeListedCold applies the entry of this VM and the end of an evacuation, if the VM list has changed.
// A call is admitted only after this, so no call finds the server taken for warm after an evacuation.
func (e *Egress) observeListedCold() {
	vm := e.localVM()
	if vm == nil || e.cold.entry.Load() == vm {
		return
	}
	c, now := e.cold, e.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Stored last: a concurrent call must not go on before the entry has taken effect.
	defer c.entry.Store(vm)
	if ended := e.EvacuationEnded(); ended.After(c.evacuationEnded) {
		c.evacuationEnded = ended
		c.machine.Suspect(now, coldstart.ReasonEvacuationEnded)
	}
	c.machine.ObserveEntry(now, coldstart.Entry{
		Run: vm.Run(), Report: vm.ColdReport, ColdLeft: mesh.Millis(vm.ColdLeftMs).Duration(),
	})
	e.applyCold(now)
}

// setColdLimits applies the service's configuration of cold servers.
func (e *Egress) setColdLimits(server mesh.Server) {
	coldStart, perSecond, _ := server.ColdLimits()
	c, now := e.cold, e.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perSecond, c.healthPath = perSecond, server.HealthPath
	c.machine.SetColdStart(now, coldStart)
	e.applyCold(now)
}

// limitUnconfigured limits the requests to a server whose entry says that it is cold, before the
// configuration is known.
func (e *Egress) limitUnconfigured() {
	c, now := e.cold, e.Now()
	vm := c.entry.Load()
	if vm == nil || vm.ColdLeftMs == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == (admission.StartLimit{}) {
		c.limit = admission.StartLimit{PerSecond: unknownColdRate, Enforced: true}
		e.limiter.SetStartLimit(now, c.limit)
	}
}

// refreshCold applies the passing of time. It is called periodically.
func (e *Egress) refreshCold() {
	c, now := e.cold, e.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.perSecond > 0 {
		e.applyCold(now)
	}
}

// applyCold applies the state of the machine to the limiter, the metrics and the log, and requests a
// health check that is due. It requires c.mu.
func (e *Egress) applyCold(now time.Time) {
	c := e.cold
	s := c.machine.State(now)
	limit := admission.StartLimit{PerSecond: c.perSecond, Enforced: s.Cold}
	if limit != c.limit && e.configured.Load() {
		c.limit = limit
		e.limiter.SetStartLimit(now, limit)
	}
	old := c.status.Load()
	next := &coldStatus{cold: s.Cold, inDoubt: s.InDoubt, reason: s.Reason, until: now.Add(s.Left), perSecond: c.perSecond}
	if old.cold || next.cold {
		c.status.Store(next)
		egressStats.Set("cold_left_ms", gauge(next.left(now).Milliseconds()))
	}
	if old.cold != next.cold {
		e.logCold(s)
	}
	if at, due := c.machine.CheckAt(now); due && !at.After(now) && c.healthPath != "" {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// logCold logs that the server has become cold or warm. It requires c.mu.
func (e *Egress) logCold(s coldstart.State) {
	instance := e.localRun().Instance
	if !s.Cold {
		egressStats.Set("cold", gauge(0))
		e.Log.Info().Str("event", "server-warm").Str("source", string(s.Source)).Str("instance", instance).
			Msg("the backend server counts as warm")
		return
	}
	egressStats.Set("cold", gauge(1))
	e.Log.Info().Str("event", "server-cold").Str("reason", string(s.Reason)).Dur("left_ms", s.Left).
		Float64("per_second", e.cold.perSecond).Str("instance", instance).
		Msg("the backend server is or may be cold; starts per second are limited")
}

// runHealthChecks checks the server's health whenever that is due, one check at a time, until ctx
// ends.
func (e *Egress) runHealthChecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.cold.wake:
			e.checkHealth(ctx)
		}
	}
}

// checkHealth makes one health check if it is due.
func (e *Egress) checkHealth(ctx context.Context) {
	path, due := e.beginHealthCheck()
	if !due {
		return
	}
	egressStats.Add("health_checks", 1)
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var h coldstart.Health
	err := e.doNodeRequest(ctx, fasthttp.MethodGet, path, func(sent time.Time, resp *fasthttp.Response) {
		h = e.parseHealth(resp)
		h.SentAt = sent
	})
	if !h.Answered {
		egressStats.Add("health_checks_unanswered", 1)
		e.Log.Debug().Err(err).Str("event", "health-unanswered").Msg("no response that says whether the backend server is cold")
	}
	c, now := e.cold, e.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.EndCheck(now, h)
	e.applyCold(now)
}

func (e *Egress) beginHealthCheck() (path string, due bool) {
	c, now := e.cold, e.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	at, needed := c.machine.CheckAt(now)
	if !needed || at.After(now) || c.healthPath == "" || e.Evacuated() {
		// The end of an evacuation raises a doubt, which needs a health check then.
		return "", false
	}
	c.machine.BeginCheck(now)
	return c.healthPath, true
}

// parseHealth reads how long the server stays cold from a health response.
func (e *Egress) parseHealth(resp *fasthttp.Response) coldstart.Health {
	if e.Headers.ColdMs == "" {
		return coldstart.Health{}
	}
	ms, err := strconv.ParseFloat(string(resp.Header.Peek(e.Headers.ColdMs)), 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return coldstart.Health{}
	}
	h := coldstart.Health{Answered: true, ColdLeft: time.Duration(min(ms*float64(time.Millisecond), math.MaxInt64/2))}
	if e.Headers.Instance != "" {
		h.Instance = string(resp.Header.Peek(e.Headers.Instance))
	}
	return h
}

// coldLoad returns the cold time of the server in milliseconds and its start rate in thousandths of
// requests per second, as replies report them; 0 if it is warm.
func (e *Egress) coldLoad() (coldMs, startRateMilli uint32) {
	s := e.cold.status.Load()
	if !s.cold {
		return 0, 0
	}
	left := s.left(e.Now())
	if s.inDoubt {
		left = min(left, maxReportedDoubt)
	}
	return uint32(min(left.Milliseconds(), math.MaxUint32)), uint32(min(s.perSecond*milli, math.MaxUint32))
}

// countHeldBack counts a request that the limit of a cold server delays or refuses.
func (e *Egress) countHeldBack(d admission.Decision) {
	switch {
	case d.Reason == admission.ReasonCold:
		egressStats.Add("cold_refused", 1)
	case d.Outcome == admission.Queued && e.cold.status.Load().cold:
		egressStats.Add("cold_delayed", 1)
	}
}
