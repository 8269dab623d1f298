// Package proxy carries calls: the ingress takes a caller's request at any node
// and picks a backend server; the egress, at that server's node, runs it.
package proxy

import (
	"context"
	"net/netip"

	"auburnladder.example/wire/session"
)

// Sessions opens sessions to other nodes.
type Sessions interface {
	// Get returns the session to the VM, opening one if there is none.
	Get(ctx context.Context, vm string, addr netip.AddrPort) (*session.Session, error)
	// Retire keeps ses from being returned again; its streams may end.
	Retire(vm string, ses *session.Session)
}

// internalPrefix starts the names of headers that only nodes may set, in the
// canonical form of HTTP header names.
const internalPrefix = "X-Auburnladder-"

// RequestIDHeader names the header that identifies a request to its backend server.
const RequestIDHeader = "X-Request-Id"
