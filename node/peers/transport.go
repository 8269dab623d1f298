package peers

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Transport makes the connections between nodes.
type Transport interface {
	// Dial connects to the node of vm at addr and proves that it is that node, as
	// far as the transport can.
	Dial(ctx context.Context, vm string, addr netip.AddrPort) (net.Conn, error)
	// Accept prepares an accepted connection. It returns the VM at the other end, or
	// "" if the transport cannot tell.
	Accept(ctx context.Context, conn net.Conn) (net.Conn, string, error)
}

// tcpKeepAlive is the time between probes of the kernel. Sessions have probes of
// their own; these end connections whose process no longer reads.
const tcpKeepAlive = 15 * time.Second

// TCP is the plain transport. It proves no identity.
type TCP struct{}

// Dial implements Transport.
func (TCP) Dial(ctx context.Context, _ string, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAlive: tcpKeepAlive}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return conn, nil
}

// Accept implements Transport.
func (TCP) Accept(_ context.Context, conn net.Conn) (net.Conn, string, error) {
	return conn, "", nil
}
