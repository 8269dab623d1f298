// Package proxy holds what the ingress and the egress have in common. The ingress accepts a
// caller's request at any node and picks a backend server. The egress, on that server's
// node, forwards the request to the server.
package proxy

import "strings"

// RequestIDHeader is the default name of the header that carries a request's ID to
// its backend server.
const RequestIDHeader = "X-Request-Id"

// internalPrefix is the name prefix of headers that only nodes may set.
const internalPrefix = "X-Auburnladder-"

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
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

// EndToEnd reports whether a header is forwarded between the caller and the backend
// server, in either direction: it is neither a hop-by-hop header nor reserved for nodes.
// The name must be in the canonical form of HTTP header names.
func EndToEnd(name string) bool {
	if len(name) >= len(internalPrefix) && strings.EqualFold(name[:len(internalPrefix)], internalPrefix) {
		return false
	}
	return !hopByHopHeaders[name]
}
