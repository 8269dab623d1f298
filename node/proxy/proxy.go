// Package proxy holds what both ends of a call share. The ingress takes a caller's
// request at any node and picks a backend server; the egress, at that server's node,
// runs it there.
package proxy

import "strings"

// RequestIDHeader names the header that identifies a request to its backend server.
const RequestIDHeader = "X-Request-Id"

// internalPrefix starts the names of headers that only nodes may set.
const internalPrefix = "X-Auburnladder-"

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = map[string]bool{
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

// EndToEnd reports whether a header goes from the caller to the backend server or
// back: it concerns no single connection and is not reserved to nodes. The name is in
// the canonical form of HTTP header names.
func EndToEnd(name string) bool {
	if len(name) >= len(internalPrefix) && strings.EqualFold(name[:len(internalPrefix)], internalPrefix) {
		return false
	}
	return !connectionHeaders[name]
}
