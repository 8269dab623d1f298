package proxy

import (
	"strings"

	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

func forwarded(name string) bool {
	return !connectionHeaders[name] && !strings.HasPrefix(name, internalPrefix)
}

func responseHeaders(h *fasthttp.ResponseHeader) []*peerpb.Header {
	var out []*peerpb.Header
	for k, v := range h.All() {
		if name := string(k); forwarded(name) {
			out = append(out, &peerpb.Header{Name: name, Value: string(v)})
		}
	}
	return out
}
