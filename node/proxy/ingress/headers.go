package ingress

import (
	"strconv"
	"strings"
	"time"

	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// callerHeaders returns the headers of a caller's request that are passed on: none
// that concern the connection, and none that only nodes may set.
func callerHeaders(h *fasthttp.RequestHeader) []*peerpb.Header {
	listed := string(h.Peek("Connection"))
	out := make([]*peerpb.Header, 0, h.Len())
	for k, v := range h.All() {
		name := string(k)
		if proxy.EndToEnd(name) && !listsHeader(listed, name) {
			out = append(out, &peerpb.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// dropOwnHeaders leaves out headers that the server's node sets.
func (g *Ingress) dropOwnHeaders(m *peerpb.Call) {
	if g.Headers.Caller == "" {
		return
	}
	kept := m.Headers[:0]
	for _, h := range m.Headers {
		switch h.Name {
		case g.Headers.Deadline, g.Headers.Target, g.Headers.Caller:
		default:
			kept = append(kept, h)
		}
	}
	m.Headers = kept
}

// retryAfter formats a wait. Callers of deployments with their own headers take
// fractions of a second; the standard has whole seconds only.
func (g *Ingress) retryAfter(wait time.Duration) string {
	if g.Headers.Deadline == "" {
		return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// listsHeader reports whether the value of a Connection header names the header.
func listsHeader(connection, name string) bool {
	if connection == "" {
		return false
	}
	for token := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(token), name) {
			return true
		}
	}
	return false
}
