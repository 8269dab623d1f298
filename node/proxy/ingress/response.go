package ingress

import (
	"cmp"
	"encoding/json"
	"errors"

	"auburnladder.example/core/verdict"
	"auburnladder.example/node/callerhttp"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// Statuses of the responses that a node generates itself. Each has the verdict header,
// which says whether the request may have run.
//
//	400, 403, 404, 408, 413, 431  the request is at fault; not-run
//	502  an attempt was interrupted or its response was unusable
//	503  no server accepted the request, also because its deadline would pass; Retry-After if a
//	     time is known
//	504  the deadline passed after the request was sent

// failureStatus returns the HTTP status for a call that failed with err and verdict v.
func failureStatus(v verdict.Verdict, err error) int {
	var refused *refusedError
	if errors.As(err, &refused) {
		switch refused.refusal {
		case peerpb.Refusal_REFUSAL_FORBIDDEN:
			return fasthttp.StatusForbidden
		case peerpb.Refusal_REFUSAL_BAD_REQUEST:
			return fasthttp.StatusBadRequest
		}
	}
	switch {
	case v == verdict.NotRun:
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, errDeadline) || refused != nil && refused.refusal == peerpb.Refusal_REFUSAL_DEADLINE:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// writeResponse writes a server's response to the caller and finishes the attempt. A
// streamed response finishes the attempt when its body is closed. held is the body if it was held,
// nil otherwise.
func writeResponse(resp *fasthttp.Response, a *attempt, held *heldBody) {
	h := &resp.Header
	h.SetNoDefaultContentType(true)
	resp.SetStatusCode(int(a.reply.GetStatus()))
	for _, field := range a.reply.GetHeaders() {
		if proxy.EndToEnd(field.GetName()) {
			h.Add(field.GetName(), field.GetValue())
		}
	}
	h.Set(verdict.Header, verdict.Ran.String())
	switch {
	case held != nil:
		resp.SetBodyStream(held, held.size)
		return
	case a.reply.GetMore():
		resp.SetBodyStream(a.body, -1)
		return
	}
	resp.SetBodyRaw(a.reply.GetBody())
	a.finish()
}

// refuse writes the failure of a request that this node did not forward.
func (g *Ingress) refuse(x *callerhttp.Exchange, status int, reason string) {
	metrics.notRun.Add(1)
	g.Decisions.Warn("request-refused").
		Bytes("request", header(&x.Request.Header, cmp.Or(g.Headers.RequestID, proxy.RequestIDHeader))).
		Str("caller", g.Caller).Str("host", x.Target.Host).Str("path", x.Target.Path).Int("status", status).Msg(reason)
	writeFailure(&x.Response, status, verdict.NotRun, reason)
}

// failureBody is the JSON body of a response that a node generates itself.
type failureBody struct {
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// writeFailure replaces resp by a response that this node generates.
func writeFailure(resp *fasthttp.Response, status int, v verdict.Verdict, reason string) {
	// Encoding two strings and a number cannot fail.
	body, _ := json.Marshal(failureBody{Status: status, Verdict: v.String(), Reason: reason})
	resp.Reset()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	resp.SetBody(append(body, '\n'))
	resp.Header.Set(verdict.Header, v.String())
}
