// Package ingress serves callers' requests at any node. It matches the route, checks
// whether the caller may use the service, picks a backend server, and retries as far as the
// verdict on the earlier attempts allows. A response that cannot be completed is truncated
// by closing the caller's connection, so that the caller detects it.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/verdict"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/node/decisions"
	nodemetrics "auburnladder.example/node/metrics"
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

// Ingress handles the requests of one caller listener. Handle is safe for concurrent use.
// The exported fields are set before the first request and not changed afterwards.
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
	// OnServerError is called after each response with a status of 500 or above; may be nil.
	OnServerError func()
	Tracer        *tracing.Tracer
	Log           zerolog.Logger
	// Decisions receives a log line for each decision about a request; may be nil.
	Decisions *decisions.Log
	// Headers holds the names of the headers that callers and servers use.
	Headers wirenames.Headers
	// Stopping reports whether the node is draining, in which case each response closes
	// the caller's connection; nil means never.
	Stopping func() bool
	// Closed reports whether new requests are refused because the node is about to exit;
	// nil means never.
	Closed func() bool
	// active is the number of requests in flight.
	active atomic.Int64
	// splitCount is the number of requests on split routes; pickTarget derives the target
	// service from it.
	splitCount atomic.Uint64
}

// Handle serves one request. fasthttp calls it on the goroutine of the connection.
func (g *Ingress) Handle(ctx *fasthttp.RequestCtx) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.serve(ctx)
	if g.Stopping != nil && g.Stopping() {
		ctx.SetConnectionClose()
	}
	if g.OnServerError != nil && ctx.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		g.OnServerError()
	}
}

// Active returns the number of requests in flight.
func (g *Ingress) Active() int64 { return g.active.Load() }

// serve refuses or forwards a request. The request uses one snapshot throughout.
func (g *Ingress) serve(ctx *fasthttp.RequestCtx) {
	if g.Closed != nil && g.Closed() {
		g.refuse(ctx, fasthttp.StatusServiceUnavailable, "this node is about to end")
		return
	}
	snap := g.State.Snapshot()
	if snap == nil || g.configStale() {
		g.refuse(ctx, fasthttp.StatusServiceUnavailable, "this node holds no current release yet")
		return
	}
	m := snap.MatchRoute(string(ctx.Host()), string(ctx.Method()), string(ctx.Path()))
	if m == nil {
		g.refuse(ctx, fasthttp.StatusNotFound, "no route matches this host, method and path")
		return
	}
	if !m.Owner.Allows(g.Caller) {
		g.refuse(ctx, fasthttp.StatusForbidden, fmt.Sprintf("caller %q may not call service %q", g.Caller, m.Owner.Name))
		return
	}
	if int64(len(ctx.PostBody())) > m.Resource.MaxRequestBytes {
		g.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", m.Resource.MaxRequestBytes))
		return
	}
	g.forward(ctx, snap, m)
}

// configStale reports whether the node must first check with its peers for newer
// configuration.
func (g *Ingress) configStale() bool {
	return g.State.Resyncing() || g.Paused != nil && g.Paused(time.Now())
}

// forward runs a request as a call and writes the response or the failure.
func (g *Ingress) forward(ctx *fasthttp.RequestCtx, snap *mesh.Snapshot, m *mesh.Match) {
	now := time.Now()
	target := g.pickTarget(m)
	c := call{
		ingress:   g,
		ctx:       ctx,
		match:     m,
		target:    target,
		message:   newCallMessage(ctx, snap, m, g.Caller),
		objective: now.Add(m.Route.Objective.Duration()),
		retry:     retry.NewCall(&g.Router.Retry, m.Route, g.Router.Budget(target.Name), now.Add(g.requestTimeout(ctx, m))),
	}
	c.message.Service = target.Name
	g.dropNodeHeaders(c.message)
	span := g.Tracer.Start(tracing.HopIngress, c.message.GetTraceparent())
	span.Annotate("auburnladder.route", m.Route.Name)
	c.traceparent = span.Traceparent()
	a, err := c.run()
	if err != nil {
		span.End(verdict.Of(err), err)
		g.failCall(ctx, &c, err)
	} else {
		span.End(verdict.Ran, nil)
		metrics.answered.Add(1)
		g.logResponse(&c, a, now)
		writeResponse(ctx, a)
	}
	nodemetrics.ObserveRequest(target.Name, ctx.Response.StatusCode(), time.Since(now))
}

// logResponse logs which server responded and how the call was routed to it.
func (g *Ingress) logResponse(c *call, a *attempt, started time.Time) {
	status := int(a.reply.GetStatus())
	line := g.Decisions.Info("request-answered")
	if status >= fasthttp.StatusInternalServerError || c.retry.Attempts() > 1 {
		line = g.Decisions.Warn("request-answered")
	}
	c.addFields(line).Str("server", a.endpoint.VM).Str("instance", a.endpoint.Instance).
		Int("status", status).Dur("took_ms", time.Since(started)).Msg("response forwarded to the caller")
}

// failCall logs and writes the failure of a call that has no response from a server.
func (g *Ingress) failCall(ctx *fasthttp.RequestCtx, c *call, err error) {
	v := verdict.Of(err)
	countFailure(v)
	c.addFields(g.Decisions.Warn("request-failed")).Err(err).Stringer("verdict", v).
		Dur("left_ms", c.retry.Remaining(time.Now())).Dur("retry_after_ms", c.retryAfter).Msg("call failed without a response from a server")
	if errors.Is(err, errCallerDisconnected) {
		metrics.callerDisconnected.Add(1)
		ctx.SetConnectionClose()
	}
	writeFailure(ctx, failureStatus(v, err), v, err.Error())
	if c.retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, g.formatRetryAfter(c.retryAfter))
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

// requestTimeout returns how long the request may take: the route's deadline, or the
// deadline in the caller's header if that is shorter.
func (g *Ingress) requestTimeout(ctx *fasthttp.RequestCtx, m *mesh.Match) time.Duration {
	limit := m.Route.Deadline.Duration()
	if g.Headers.Deadline == "" {
		return limit
	}
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(g.Headers.Deadline)), 10, 32)
	if err != nil {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
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
