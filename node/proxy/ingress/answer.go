package ingress

import (
	"cmp"
	"encoding/json"
	"errors"

	"auburnladder.example/core/verdict"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// Statuses of the answers that a node makes itself. The verdict header stands
// beside each and says whether the request may have run.
//
//	400, 403, 404, 413, 431  the request is at fault; not-run
//	502  an attempt broke off or its answer was unusable
//	503  no server took the request; Retry-After if a time is known
//	504  the route's deadline passed

// failureStatus returns the status of a call without an answer.
func failureStatus(v verdict.Verdict, err error) int {
	var refused *refusedError
	if errors.As(err, &refused) {
		switch refused.refusal {
		case peerpb.Refusal_REFUSAL_FORBIDDEN:
			return fasthttp.StatusForbidden
		case peerpb.Refusal_REFUSAL_BAD_REQUEST:
			return fasthttp.StatusBadRequest
		case peerpb.Refusal_REFUSAL_DEADLINE:
			return fasthttp.StatusGatewayTimeout
		}
	}
	switch {
	case errors.Is(err, errDeadline):
		return fasthttp.StatusGatewayTimeout
	case v == verdict.NotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusBadGateway
	}
}

// writeReply passes a server's answer on and finishes the attempt, at once or when
// the last part was sent.
func writeReply(ctx *fasthttp.RequestCtx, a *attempt) {
	h := &ctx.Response.Header
	h.SetNoDefaultContentType(true)
	ctx.SetStatusCode(int(a.reply.GetStatus()))
	for _, field := range a.reply.GetHeaders() {
		if proxy.EndToEnd(field.GetName()) {
			h.Add(field.GetName(), field.GetValue())
		}
	}
	h.Set(verdict.Header, verdict.Ran.String())
	if a.reply.GetMore() {
		ctx.SetBodyStream(newBodyReader(a), -1)
		return
	}
	ctx.Response.SetBodyRaw(a.reply.GetBody())
	a.finish()
}

// refuse answers a request that this node didn't send on.
func (g *Ingress) refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	metrics.notRun.Add(1)
	g.Decisions.Warn("request-refused").
		Bytes("request", ctx.Request.Header.Peek(cmp.Or(g.Headers.RequestID, proxy.RequestIDHeader))).
		Str("caller", g.Caller).Bytes("host", ctx.Host()).Bytes("path", ctx.Path()).Int("status", status).Msg(reason)
	answer(ctx, status, verdict.NotRun, reason)
}

// failureBody is the JSON body of an answer that a node makes itself.
type failureBody struct {
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

func answer(ctx *fasthttp.RequestCtx, status int, v verdict.Verdict, reason string) {
	// Two strings and a number always encode.
	body, _ := json.Marshal(failureBody{Status: status, Verdict: v.String(), Reason: reason})
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
	ctx.Response.Header.Set(verdict.Header, v.String())
}
