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
	// Dial connects to the node of vm at addr. It verifies the identity of that node if
	// the transport supports this.
	Dial(ctx context.Context, vm string, addr netip.AddrPort) (net.Conn, error)
	// Accept performs the transport's handshake on an accepted connection. It returns the
	// authenticated VM at the other end, or "" if the transport does not authenticate.
	Accept(ctx context.Context, conn net.Conn) (net.Conn, string, error)
}

// tcpKeepAlive is the interval of TCP keep-alive probes. Sessions send their own liveness
// probes; those of TCP end connections whose process no longer reads.
const tcpKeepAlive = 15 * time.Second

// TCP is the transport without encryption. It does not authenticate the peer.
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
