package ingress

import (
	"strings"

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
