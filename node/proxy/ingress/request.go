package ingress

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/node/callerhttp"
	"auburnladder.example/node/proxy"
	"github.com/valyala/fasthttp"
)

// request is one request of a caller with the configuration that applied when it was read. It
// implements callerhttp.Task.
type request struct {
	ingress  *Ingress
	exchange *callerhttp.Exchange
	// snapshot is the release that applies to the request throughout; nil if there was none.
	snapshot *mesh.Snapshot
	// match is the route; nil if there is none.
	match    *mesh.Match
	deadline time.Time
}

// Accept implements callerhttp.Handler.
func (g *Ingress) Accept(x *callerhttp.Exchange) callerhttp.Task { return g.newRequest(x) }

// BodyDeadline implements callerhttp.Handler.
func (g *Ingress) BodyDeadline(x *callerhttp.Exchange) time.Time {
	if r := g.newRequest(x); r.match != nil {
		return r.deadline
	}
	return time.Time{}
}

// newRequest returns the request of x, of which the head was read, as the configuration in force
// treats it.
func (g *Ingress) newRequest(x *callerhttp.Exchange) *request {
	r := &request{ingress: g, exchange: x, snapshot: g.State.Snapshot(), deadline: x.Arrived()}
	if r.snapshot == nil {
		return r
	}
	r.match = r.snapshot.MatchRoute(x.Target.Host, string(x.Request.Header.Method()), x.Target.Path)
	if r.match != nil {
		r.deadline = g.limitToStop(x.Arrived().Add(g.requestTimeout(x, r.match)))
	}
	return r
}

// limitToStop returns the deadline of a request, limited to the end of the node's stop: what can't
// end by then is refused by the server's node, or ended by the server, while there is time to say so.
func (g *Ingress) limitToStop(deadline time.Time) time.Time {
	if g.EndsAt == nil {
		return deadline
	}
	if end := g.EndsAt(); !end.IsZero() && end.Before(deadline) {
		return end
	}
	return deadline
}

// requestTimeout returns how long the request may take: the route's deadline, or the
// deadline in the caller's header if that is shorter.
func (g *Ingress) requestTimeout(x *callerhttp.Exchange, m *mesh.Match) time.Duration {
	limit := m.Route.Deadline.Duration()
	if g.Headers.Deadline == "" {
		return limit
	}
	ms, err := strconv.ParseInt(string(header(&x.Request.Header, g.Headers.Deadline)), 10, 32)
	if err != nil {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

// Concurrent implements callerhttp.Task. A request without a route reaches no server.
func (r *request) Concurrent() bool { return r.match == nil || r.match.Route.Idempotent }

// Deadline implements callerhttp.Task.
func (r *request) Deadline() time.Time { return r.deadline }

// Run implements callerhttp.Task. It sets the response.
func (r *request) Run() {
	g := r.ingress
	g.active.Add(1)
	defer g.active.Add(-1)
	if status, reason := r.check(); status != 0 {
		g.refuse(r.exchange, status, reason)
		r.setRetryAfter(status)
	} else {
		g.forward(r)
	}
	if g.OnServerError != nil && r.exchange.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		g.OnServerError()
	}
}

// Undelivered implements callerhttp.Task.
func (r *request) Undelivered(err error) {
	g := r.ingress
	line := g.Decisions.Warn("response-undelivered").Err(err).
		Bytes("request", header(&r.exchange.Request.Header, cmp.Or(g.Headers.RequestID, proxy.RequestIDHeader))).
		Int("status", r.exchange.Response.StatusCode()).Dur("took_ms", time.Since(r.exchange.Arrived())).
		Dur("left_ms", time.Until(r.deadline)).Bool("draining", g.Stopping())
	if r.match != nil {
		line = line.Str("route", r.match.Route.Name).Bool("idempotent", r.match.Route.Idempotent)
	}
	line.Msg("the caller got no complete response")
}

// check returns the status and the reason with which the request must be refused without
// reaching a server, or 0.
func (r *request) check() (status int, reason string) {
	return r.ingress.check(r.snapshot, r.match, r.ingress.Caller, len(r.exchange.Request.Body()), r.deadline)
}

// check returns the status and the reason with which a request of caller must be refused without reaching a
// server, or 0. snapshot and m are nil if there is none.
func (g *Ingress) check(snapshot *mesh.Snapshot, m *mesh.Match, caller string, bodyBytes int, deadline time.Time) (status int, reason string) {
	switch {
	case g.Closed != nil && g.Closed():
		return fasthttp.StatusServiceUnavailable, "this node is about to end"
	case snapshot == nil || g.configStale():
		return fasthttp.StatusServiceUnavailable, "this node holds no current release yet"
	case m == nil && g.outdated(snapshot):
		return fasthttp.StatusServiceUnavailable, "no route matches, but this node may not have the newest configuration yet"
	case m == nil:
		return fasthttp.StatusNotFound, "no route matches this host, method and path"
	case !m.Owner.Allows(caller):
		return fasthttp.StatusForbidden, fmt.Sprintf("caller %q may not call service %q", caller, m.Owner.Name)
	case int64(bodyBytes) > m.Resource.MaxRequestBytes:
		return fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", m.Resource.MaxRequestBytes)
	case !time.Now().Before(deadline):
		return fasthttp.StatusServiceUnavailable, "its deadline passed before it could start"
	default:
		return 0, ""
	}
}

// outdated reports whether a newer release than snapshot may be active or confirmed.
func (g *Ingress) outdated(snapshot *mesh.Snapshot) bool {
	return g.Current != nil && (!g.Current() || g.State.Snapshot() != snapshot)
}

// outdatedRetryAfter is when to ask again for a route that this node may not know yet.
const outdatedRetryAfter = 250 * time.Millisecond

// setRetryAfter says when to come back after a refusal for which another configuration is needed.
func (r *request) setRetryAfter(status int) {
	if status == fasthttp.StatusServiceUnavailable && r.snapshot != nil && r.match == nil {
		r.exchange.Response.Header.Set(fasthttp.HeaderRetryAfter, r.ingress.formatRetryAfter(outdatedRetryAfter))
	}
}

// configStale reports whether the node must first check with its peers for newer
// configuration.
func (g *Ingress) configStale() bool {
	return g.State.Resyncing() || g.Paused != nil && g.Paused(time.Now())
}
