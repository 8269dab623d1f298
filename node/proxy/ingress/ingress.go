// Package ingress serves callers' requests at any node. It matches the route, checks
// whether the caller may use the service, picks a backend server, and retries as far as the
// verdict on the earlier attempts allows. A response that cannot be completed is truncated
// by closing the caller's connection, so that the caller detects it.
package ingress

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/verdict"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/budget"
	"auburnladder.example/node/decisions"
	nodemetrics "auburnladder.example/node/metrics"
	"auburnladder.example/node/proxy"
	"auburnladder.example/node/quarantine"
	"auburnladder.example/node/state"
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Sessions provides sessions to other nodes. Its methods are safe for concurrent use.
type Sessions interface {
	// Get returns the session to the VM, opening one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Retire makes sure that Get does not return ses again. Open streams may finish.
	Retire(vm string, ses *session.Session)
}

// Ingress handles the requests of one caller listener. It implements
// callerhttp.Handler. The exported fields are set before the first request and not changed afterwards.
type Ingress struct {
	State    *state.State
	Sessions Sessions
	Router   *Router
	// Caller is the identity of every client of this listener: the public caller class,
	// or the service that runs on the node's VM.
	Caller string
	// Paused reports whether a recent process pause was long enough for the configuration
	// to be stale; nil means never.
	Paused func(now time.Time) bool
	// Current reports whether the active release is the newest that may be confirmed; nil means
	// always. While it is not, a request without a route may have one in the newest release.
	Current func() bool
	// Announcements receives what backend servers announced to their nodes; nil if the
	// headers name no announcements.
	Announcements proxy.AnnouncementRecorder
	// Quarantine holds the records of requests that crash backend servers.
	Quarantine *quarantine.Tracker
	// OnServerError is called after each response with a status of 500 or above; may be nil.
	OnServerError func()
	Tracer        *tracing.Tracer
	Log           zerolog.Logger
	// Decisions receives a log line for each decision about a request; may be nil.
	Decisions *decisions.Log
	// Headers holds the names of the headers that callers and servers use.
	Headers wirenames.Headers
	// Draining reports whether the node is draining, in which case connections of callers are
	// closed after the requests in progress; nil means never.
	Draining func() bool
	// Closed reports whether new requests are refused because the node is about to exit;
	// nil means never.
	Closed func() bool
	// Ending ends when the requests in flight must end because the node is about to exit;
	// nil means never.
	Ending context.Context
	// Buffers bounds the bytes of responses that are held; nil means no bound.
	Buffers *budget.Budget
	// AskAbove is the size of a request body, in bytes, above which the server's node is asked before the
	// body is sent; 0 means never.
	AskAbove int
	// EndsAt returns when requests must have ended because the node is stopping, or the zero time;
	// nil means never.
	EndsAt func() time.Time
	// active is the number of requests in flight.
	active atomic.Int64
	// splitCount is the number of requests on split routes; pickTarget derives the target
	// service from it.
	splitCount atomic.Uint64
}

// Active returns the number of requests in flight.
func (g *Ingress) Active() int64 { return g.active.Load() }

// forward runs a request as a call and writes the response or the failure.
func (g *Ingress) forward(r *request) {
	x, m := r.exchange, r.match
	target := g.pickTarget(m)
	c := call{
		ingress:   g,
		exchange:  x,
		match:     m,
		target:    target,
		message:   newCallMessage(x, r.snapshot, m, g.Caller),
		placement: g.Router.newPlacement(m, x.Arrived(), r.deadline),
		end:       lifetime.End(r.deadline),
		retry:     retry.NewCall(&g.Router.Retry, m.Route, g.Router.Budget(target.Name), r.deadline),
	}
	c.message.Service = target.Name
	c.expectWork()
	g.dropNodeHeaders(c.message)
	span := g.Tracer.Start(tracing.HopIngress, c.message.GetTraceparent())
	span.Annotate("auburnladder.route", m.Route.Name)
	c.traceparent = span.Traceparent()
	a, held, err := g.receive(&c)
	if err != nil {
		span.End(verdict.Of(err), err)
		g.failCall(&c, err)
	} else {
		span.End(verdict.Ran, nil)
		metrics.answered.Add(1)
		g.logResponse(&c, a, x.Arrived())
		writeResponse(&x.Response, a, held)
	}
	nodemetrics.ObserveRequest(target.Name, x.Response.StatusCode(), time.Since(x.Arrived()))
}

// receive runs a call and returns the attempt with the response. While the node stops, it also holds
// the body of the response; held is nil otherwise.
func (g *Ingress) receive(c *call) (a *attempt, held *heldBody, err error) {
	if a, err = c.run(); err != nil || !a.reply.GetMore() || !g.Stopping() {
		return a, nil, err
	}
	if held, err = g.hold(a); err != nil {
		return nil, nil, verdict.Wrap(verdict.Ran, err)
	}
	return a, held, nil
}

// logResponse logs which server responded and how the call was routed to it.
func (g *Ingress) logResponse(c *call, a *attempt, started time.Time) {
	status := int(a.reply.GetStatus())
	line := g.Decisions.Info("request-answered")
	if status >= fasthttp.StatusInternalServerError || c.retry.Attempts() > 1 {
		line = g.Decisions.Warn("request-answered")
	}
	c.addFields(line).Str("server", a.endpoint.VM).Str("instance", a.endpoint.Run.Instance).
		Int("status", status).Dur("took_ms", time.Since(started)).Msg("response forwarded to the caller")
}

// failCall logs and writes the failure of a call that has no response from a server.
func (g *Ingress) failCall(c *call, err error) {
	resp := &c.exchange.Response
	v := verdict.Of(err)
	countFailure(v)
	addDetail(c.addFields(g.Decisions.Warn("request-failed")), err).Err(err).Stringer("verdict", v).
		Uint32("rank", c.message.GetRank()).Bool("shed", c.wasShed).
		Dur("left_ms", c.retry.Remaining(time.Now())).Dur("retry_after_ms", c.retryAfter).
		Stringer("fingerprint", c.fingerprint()).Msg("call failed without a response from a server")
	if errors.Is(err, errCallerDisconnected) {
		metrics.callerDisconnected.Add(1)
		resp.SetConnectionClose()
	}
	writeFailure(resp, failureStatus(v, err), v, err.Error())
	if c.retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, g.formatRetryAfter(c.retryAfter))
	}
}

// goldenRatio is the step between successive positions: its multiples, modulo 1, are
// spread evenly over the range 0 to 1.
const goldenRatio = 0.6180339887498949

// pickTarget returns the service that runs the request. On a split route, successive
// requests are distributed evenly by the weights of the parts.
func (g *Ingress) pickTarget(m *mesh.Match) *mesh.Service {
	if len(m.Parts) == 0 {
		return m.Target
	}
	_, position := math.Modf(float64(g.splitCount.Add(1)) * goldenRatio)
	return m.Pick(position)
}

// countFailure counts a failed call by its verdict.
func countFailure(v verdict.Verdict) {
	switch v {
	case verdict.NotRun:
		metrics.notRun.Add(1)
	case verdict.Ran:
		metrics.failedAfterRun.Add(1)
	default:
		metrics.mayHaveRun.Add(1)
	}
}
