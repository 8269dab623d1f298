package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Egress runs calls at the backend server beside this node. It alone sends to it.
type Egress struct {
	State  *state.State
	Log    zerolog.Logger
	client *fasthttp.HostClient
}

// NewEgress returns an egress for the backend server at addr.
func NewEgress(st *state.State, addr netip.AddrPort, log zerolog.Logger) *Egress {
	return &Egress{
		State: st,
		Log:   log,
		client: &fasthttp.HostClient{
			Addr:         addr.String(),
			MaxConns:     1024,
			RetryIfErr:   func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:         func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, time.Second) },
			ReadTimeout:  time.Minute,
			WriteTimeout: time.Minute,
		},
	}
}

// ServeCall runs one call and sends its reply on st.
func (e *Egress) ServeCall(_ context.Context, call *peerpb.Call, st *session.Stream) {
	reply := e.run(call)
	reply.Id = call.GetId()
	if err := st.Send(reply); err != nil {
		e.Log.Debug().Err(err).Str("event", "reply-lost").Msg("reply could not be sent")
	}
}

func (e *Egress) run(call *peerpb.Call) *peerpb.Reply {
	if call.GetService() != e.State.Identity.Service {
		return refusal(peerpb.Refusal_REFUSAL_WRONG_SERVICE, "this server belongs to service "+e.State.Identity.Service)
	}
	if e.State.Leaving() {
		return refusal(peerpb.Refusal_REFUSAL_LEAVING, "this server is leaving")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, call)
	timeout := time.Duration(call.GetRemainingUs()) * time.Microsecond
	if err := e.client.DoTimeout(req, resp, timeout); err != nil {
		return failure(err)
	}
	return &peerpb.Reply{
		Verdict: peerpb.Verdict_VERDICT_RAN,
		Status:  uint32(resp.StatusCode()),
		Headers: responseHeaders(&resp.Header),
		Body:    append([]byte(nil), resp.Body()...),
	}
}

func fillRequest(req *fasthttp.Request, call *peerpb.Call) {
	req.Header.SetMethod(call.GetMethod())
	req.SetRequestURI(call.GetUri())
	for _, h := range call.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.SetHost(call.GetHost())
	if len(req.Header.Peek(RequestIDHeader)) == 0 {
		req.Header.Set(RequestIDHeader, strconv.FormatUint(call.GetId(), 16))
	}
	req.SetBodyRaw(call.GetBody())
}

// failure gives the verdict on an error of the client. Only a connection that was
// never set up proves that no byte of the request was sent.
func failure(err error) *peerpb.Reply {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusal(peerpb.Refusal_REFUSAL_SERVER_DOWN, fmt.Sprintf("backend server: %v", err))
	}
	return &peerpb.Reply{Verdict: peerpb.Verdict_VERDICT_MAY_HAVE_RUN, Detail: fmt.Sprintf("backend server: %v", err)}
}

func refusal(why peerpb.Refusal, detail string) *peerpb.Reply {
	return &peerpb.Reply{Verdict: peerpb.Verdict_VERDICT_NOT_RUN, Refusal: why, Detail: detail}
}
