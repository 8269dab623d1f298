package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/verdict"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Ingress answers callers. Handle runs on many goroutines at once.
type Ingress struct {
	State    *state.State
	Sessions Sessions
	// Caller is the identity of everyone who reaches this listener: the public
	// caller class, or the service beside the node.
	Caller string
	Log    zerolog.Logger
}

// errNoServer reports that no backend server of the service may be tried.
var errNoServer = errors.New("no backend server available")

// Handle serves one request.
func (g *Ingress) Handle(ctx *fasthttp.RequestCtx) {
	snap := g.State.Snapshot()
	if snap == nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "this node holds no release yet")
		return
	}
	m := snap.MatchRoute(string(ctx.Host()), string(ctx.Method()), string(ctx.Path()))
	if m == nil {
		refuse(ctx, fasthttp.StatusNotFound, "no route matches this host, method and path")
		return
	}
	if !m.Owner.Allows(g.Caller) {
		refuse(ctx, fasthttp.StatusForbidden, fmt.Sprintf("caller %q may not call service %q", g.Caller, m.Owner.Name))
		return
	}
	if int64(len(ctx.PostBody())) > m.Resource.MaxRequestBytes {
		refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", m.Resource.MaxRequestBytes))
		return
	}
	reply, err := g.attempt(ctx, snap, m)
	if err != nil {
		g.fail(ctx, err)
		return
	}
	writeReply(ctx, reply)
}

func (g *Ingress) attempt(ctx *fasthttp.RequestCtx, snap *mesh.Snapshot, m *mesh.Match) (*peerpb.Reply, error) {
	deadline := time.Now().Add(m.Route.Deadline.Duration())
	vm, err := g.pick(m.Target.Name)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	callCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ses, err := g.Sessions.Get(callCtx, vm.ID, vm.Peer)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	call := g.newCall(ctx, snap, m, deadline)
	var reply peerpb.Reply
	req := &peerpb.Request{Kind: &peerpb.Request_Call{Call: call}}
	if err := ses.Exchange(callCtx, req, &reply); err != nil {
		return nil, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("call to %s: %w", vm.ID, err))
	}
	if reply.GetId() != call.GetId() {
		return nil, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("call to %s: answer to another request", vm.ID))
	}
	if reply.GetVerdict() != peerpb.Verdict_VERDICT_RAN {
		return nil, verdict.Wrap(fromWire(reply.GetVerdict()), fmt.Errorf("call to %s: %s", vm.ID, reply.GetDetail()))
	}
	return &reply, nil
}

func (g *Ingress) pick(service string) (*vmlist.VM, error) {
	var live []*vmlist.VM
	for _, vm := range g.State.Fleet().Servers(service) {
		if !vm.Leaving {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		return nil, errNoServer
	}
	return live[rand.IntN(len(live))], nil
}

func (g *Ingress) newCall(ctx *fasthttp.RequestCtx, snap *mesh.Snapshot, m *mesh.Match, deadline time.Time) *peerpb.Call {
	return &peerpb.Call{
		Id:               rand.Uint64(),
		Service:          m.Target.Name,
		Route:            m.Route.Name,
		Method:           string(ctx.Method()),
		Uri:              string(ctx.RequestURI()),
		Host:             string(ctx.Host()),
		Headers:          requestHeaders(&ctx.Request.Header),
		Body:             ctx.PostBody(),
		RemainingUs:      uint64(time.Until(deadline).Microseconds()),
		Caller:           g.Caller,
		Attempt:          1,
		Release:          &peerpb.Version{Sequence: snap.Version.Sequence, Digest: snap.Version.Digest[:]},
		Idempotent:       m.Route.Idempotent,
		Priority:         string(m.Owner.Priority),
		MaxResponseBytes: m.Resource.MaxResponseBytes,
	}
}

func (g *Ingress) fail(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadGateway
	v := verdict.Of(err)
	if v == verdict.NotRun {
		status = fasthttp.StatusServiceUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		status = fasthttp.StatusGatewayTimeout
	}
	g.Log.Warn().Err(err).Str("event", "call-failed").Stringer("verdict", v).Msg("call ended without an answer")
	answer(ctx, status, v, err.Error())
}

func writeReply(ctx *fasthttp.RequestCtx, reply *peerpb.Reply) {
	ctx.SetStatusCode(int(reply.GetStatus()))
	for _, h := range reply.GetHeaders() {
		ctx.Response.Header.Add(h.GetName(), h.GetValue())
	}
	ctx.Response.Header.Set(verdict.Header, verdict.Ran.String())
	ctx.SetBody(reply.GetBody())
}

func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	answer(ctx, status, verdict.NotRun, reason)
}

func answer(ctx *fasthttp.RequestCtx, status int, v verdict.Verdict, reason string) {
	ctx.Error(`{"status":`+strconv.Itoa(status)+`,"verdict":"`+v.String()+`","reason":`+strconv.Quote(reason)+"}\n", status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(verdict.Header, v.String())
}

func fromWire(v peerpb.Verdict) verdict.Verdict {
	switch v {
	case peerpb.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case peerpb.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}
