// Package ingress takes requests of callers at any node: it matches the route, checks
// who calls, picks a backend server, retries by verdict, and passes the whole answer
// back or breaks it visibly.
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

// Sessions opens sessions to other nodes.
type Sessions interface {
	// Get returns the session to the VM, opening one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Retire keeps ses from being returned again; its streams may end.
	Retire(vm string, ses *session.Session)
}

// Ingress answers callers. Handle runs on many goroutines at once.
type Ingress struct {
	State    *state.State
	Sessions Sessions
	Router   *Router
	// Caller is the identity of everyone who reaches this listener: the public
	// caller class, or the service beside the node.
	Caller string
	// Paused reports whether the process has just been paused for so long that its
	// configuration may be old; nil if that is never so.
	Paused func(now time.Time) bool
	// Failed is called after each answer with a status of 500 or more; may be nil.
	Failed func()
	Tracer *tracing.Tracer
	Log    zerolog.Logger
	// Decisions gets a line for each decision about a request; may be nil.
	Decisions *decisions.Log
	// Headers names the headers that callers and servers use.
	Headers wirenames.Headers
	// Stopping reports whether callers are to take their next request elsewhere; nil if
	// that is never so.
	Stopping func() bool
	// Closed reports whether new requests are refused because the node is about to end;
	// nil if that is never so.
	Closed func() bool
	// active counts the requests that have no answer yet.
	active atomic.Int64
	// splits counts the requests on split routes, to keep the shares even.
	splits atomic.Uint64
}

// Handle serves one request.
func (g *Ingress) Handle(ctx *fasthttp.RequestCtx) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.route(ctx)
	if g.Stopping != nil && g.Stopping() {
		ctx.SetConnectionClose()
	}
	if g.Failed != nil && ctx.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		g.Failed()
	}
}

// Active returns the number of requests that have no answer yet.
func (g *Ingress) Active() int64 { return g.active.Load() }

// route answers or forwards a request, which keeps the snapshot that it began with.
func (g *Ingress) route(ctx *fasthttp.RequestCtx) {
	if g.Closed != nil && g.Closed() {
		g.refuse(ctx, fasthttp.StatusServiceUnavailable, "this node is about to end")
		return
	}
	snap := g.State.Snapshot()
	if snap == nil || g.outdated() {
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

// outdated reports whether peers must be asked for newer configuration first.
func (g *Ingress) outdated() bool {
	return g.State.Resyncing() || g.Paused != nil && g.Paused(time.Now())
}

func (g *Ingress) forward(ctx *fasthttp.RequestCtx, snap *mesh.Snapshot, m *mesh.Match) {
	now := time.Now()
	target := g.target(m)
	c := call{
		ingress:   g,
		ctx:       ctx,
		match:     m,
		target:    target,
		message:   newCallMessage(ctx, snap, m, g.Caller),
		objective: now.Add(m.Route.Objective.Duration()),
		retry:     retry.NewCall(&g.Router.Retry, m.Route, g.Router.Budget(target.Name), now.Add(g.timeLeft(ctx, m))),
	}
	c.message.Service = target.Name
	g.dropOwnHeaders(c.message)
	span := g.Tracer.Start(tracing.HopIngress, c.message.GetTraceparent())
	span.Annotate("auburnladder.route", m.Route.Name)
	c.traceparent = span.Traceparent()
	a, err := c.run()
	if err != nil {
		span.End(verdict.Of(err), err)
		g.fail(ctx, &c, err)
	} else {
		span.End(verdict.Ran, nil)
		metrics.answered.Add(1)
		g.logAnswer(&c, a, now)
		writeReply(ctx, a)
	}
	nodemetrics.ObserveRequest(target.Name, ctx.Response.StatusCode(), time.Since(now))
}

// logAnswer records which server answered and what led to it.
func (g *Ingress) logAnswer(c *call, a *attempt, began time.Time) {
	status := int(a.reply.GetStatus())
	line := g.Decisions.Info("request-answered")
	if status >= fasthttp.StatusInternalServerError || c.retry.Attempts() > 1 {
		line = g.Decisions.Warn("request-answered")
	}
	c.describe(line).Str("server", a.endpoint.VM).Str("instance", a.endpoint.Instance).
		Int("status", status).Dur("took_ms", time.Since(began)).Msg("answer of the server passed on")
}

// fail answers a call that got no answer from a server.
func (g *Ingress) fail(ctx *fasthttp.RequestCtx, c *call, err error) {
	v := verdict.Of(err)
	countFailure(v)
	c.describe(g.Decisions.Warn("request-failed")).Err(err).Stringer("verdict", v).
		Dur("left_ms", c.retry.Remaining(time.Now())).Dur("retry_after_ms", c.wait).Msg("request ended without an answer of a server")
	if errors.Is(err, errCallerGone) {
		metrics.callerGone.Add(1)
		ctx.SetConnectionClose()
	}
	answer(ctx, failureStatus(v, err), v, err.Error())
	if c.wait > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, g.retryAfter(c.wait))
	}
}

// goldenRatio spreads successive positions evenly over 0 to 1.
const goldenRatio = 0.6180339887498949

// target returns the service that runs the request. On a split route successive
// requests fill the parts evenly.
func (g *Ingress) target(m *mesh.Match) *mesh.Service {
	if len(m.Parts) == 0 {
		return m.Target
	}
	_, at := math.Modf(float64(g.splits.Add(1)) * goldenRatio)
	return m.Pick(at)
}

// timeLeft returns how long the request may take: what the route allows, or less if the
// caller waits less.
func (g *Ingress) timeLeft(ctx *fasthttp.RequestCtx, m *mesh.Match) time.Duration {
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
