package egress

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"

	"auburnladder.example/core/target"
	"auburnladder.example/node/proxy"
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// unknownSize makes fasthttp send the body with chunked transfer encoding.
const unknownSize = -1

var errBadRequest = errors.New("malformed call")

// validateRequest rejects a call whose method, URI, host or headers could make the server
// read a different request (request smuggling).
func validateRequest(call *peerpb.Call) error {
	if !validToken(call.GetMethod()) {
		return fmt.Errorf("%w: method %q", errBadRequest, call.GetMethod())
	}
	if _, err := target.Parse(call.GetMethod(), call.GetUri(), call.GetHost()); err != nil {
		return fmt.Errorf("%w: uri %q, host %q: %w", errBadRequest, call.GetUri(), call.GetHost(), err)
	}
	if call.GetHost() == "" {
		return fmt.Errorf("%w: no host", errBadRequest)
	}
	for _, h := range call.GetHeaders() {
		if !validToken(h.GetName()) || strings.ContainsAny(h.GetValue(), "\r\n\x00") {
			return fmt.Errorf("%w: header %q", errBadRequest, h.GetName())
		}
	}
	return nil
}

// setNodeHeaders sets the headers that the node adds for the server: caller, target
// instance and remaining time, or else the request ID if the caller sent none.
func (x *exchange) setNodeHeaders(req *fasthttp.Request) {
	names := &x.egress.Headers
	if names.Caller == "" {
		if len(req.Header.Peek(proxy.RequestIDHeader)) == 0 {
			req.Header.Set(proxy.RequestIDHeader, strconv.FormatUint(x.call.GetId(), 16))
		}
		return
	}
	req.Header.Set(names.Caller, x.call.GetCaller())
	if x.target.Instance != "" {
		req.Header.Set(names.Target, x.target.Instance)
	}
	remaining := x.deadline.Sub(x.egress.Now())
	req.Header.Set(names.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
}

// buildRequest fills req from the call. A nil body means that the call contains its
// complete body.
func buildRequest(req *fasthttp.Request, call *peerpb.Call, body io.Reader, traceparent string) {
	// Without this, cookies would be rebuilt, and a Content-Type added.
	req.Header.DisableSpecialHeader()
	req.Header.SetMethod(call.GetMethod())
	req.Header.SetRequestURI(call.GetUri())
	req.Header.Set(fasthttp.HeaderHost, call.GetHost())
	for _, h := range call.GetHeaders() {
		if name := textproto.CanonicalMIMEHeaderKey(h.GetName()); proxy.EndToEnd(name) && name != "Expect" {
			req.Header.Add(name, h.GetValue())
		}
	}
	if traceparent != "" {
		req.Header.Set(tracing.Header, traceparent)
	}
	if body != nil {
		req.SetBodyStream(body, unknownSize)
		return
	}
	req.SetBodyRaw(call.GetBody())
}

// writeRequest writes the complete request. After an error, c.written says whether any
// part of it may have reached the server.
func (c *serverConn) writeRequest(req *fasthttp.Request) error {
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// validToken reports whether s is an HTTP token, as methods and header names must be.
func validToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}
