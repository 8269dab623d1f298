package ingress

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// forwardedHeaders returns the headers of a caller's request that are forwarded: all but
// hop-by-hop headers and those that only nodes may set. Values are as sent; h.All would rebuild
// cookies.
func forwardedHeaders(h *fasthttp.RequestHeader) []*peerpb.Header {
	connection := string(bytes.Join(h.PeekAll(fasthttp.HeaderConnection), []byte(",")))
	out := make([]*peerpb.Header, 0, h.Len())
	for k, v := range h.AllInOrder() {
		name := string(k)
		if proxy.EndToEnd(name) && !listsHeader(connection, name) {
			out = append(out, &peerpb.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// header returns the value of a header of a caller's request, whose name is in canonical form.
// Unlike h.Peek it leaves out fields behind the body, which the backend server doesn't get.
func header(h *fasthttp.RequestHeader, name string) []byte {
	if len(h.PeekTrailerKeys()) == 0 {
		return h.Peek(name)
	}
	for k, v := range h.All() {
		if string(k) == name {
			return v
		}
	}
	return nil
}

// dropNodeHeaders removes the headers that the server's node sets itself, so that a caller
// cannot forge them.
func (g *Ingress) dropNodeHeaders(m *peerpb.Call) {
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

// formatRetryAfter formats a Retry-After value in seconds. Deployments with their own header
// names accept fractions of a second; the HTTP standard has whole seconds only, rounded up
// here.
func (g *Ingress) formatRetryAfter(wait time.Duration) string {
	if g.Headers.Deadline == "" {
		return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// listsHeader reports whether the value of the Connection headers lists the named header.
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
