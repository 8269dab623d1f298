package distribution

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/peers"
)

const (
	// One-way delays between VMs of a failure domain, a region and the fleet.
	domainDelay = 200 * time.Microsecond
	regionDelay = time.Millisecond
	fleetDelay  = 10 * time.Millisecond
	// retransmission is the extra delay of a lost write: TCP repairs losses itself.
	retransmission = 200 * time.Millisecond
	// cutPoll is how often a held packet looks whether its link was healed.
	cutPoll = 10 * time.Millisecond
	// linkQueue bounds the writes on their way.
	linkQueue = 128
	readBytes = 4 << 10
)

// network is the set of links between all nodes.
type network struct {
	loss  atomic.Pointer[float64]
	bytes atomic.Int64
	mu    sync.Mutex
	rng   *rand.Rand
	cut   map[string]bool
	vms   map[netip.AddrPort]vmlist.VM
}

func newNetwork(seed uint64) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 1)), cut: make(map[string]bool), vms: make(map[netip.AddrPort]vmlist.VM)}
	n.setLoss(0)
	return n
}

func (n *network) setLoss(p float64) { n.loss.Store(&p) }

func (n *network) setCut(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domain] = cut
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

func (n *network) add(vm vmlist.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[vm.Peer] = vm
}

func (n *network) lost() bool {
	p := *n.loss.Load()
	if p == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}

// transport dials over the network's links. It implements peers.Transport.
type transport struct {
	net  *network
	self vmlist.VM
}

// Dial implements peers.Transport.
func (t transport) Dial(ctx context.Context, vm string, addr netip.AddrPort) (net.Conn, error) {
	t.net.mu.Lock()
	peer := t.net.vms[addr]
	t.net.mu.Unlock()
	if t.net.isCut(t.self.Domain, peer.Domain) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := peers.TCP{}.Dial(ctx, vm, addr)
	if err != nil {
		return nil, err
	}
	return newLink(t.net, conn, t.self, peer), nil
}

// Accept implements peers.Transport.
func (t transport) Accept(_ context.Context, conn net.Conn) (net.Conn, string, error) {
	return conn, "", nil
}

// packet is one write on its way.
type packet struct {
	data []byte
	due  time.Time
}

// link is the dialing end of a connection. It delays both directions.
type link struct {
	net.Conn
	net      *network
	a, b     string
	delay    time.Duration
	outgoing chan packet
	incoming chan packet
	rest     []byte
	done     chan struct{}
	close    sync.Once
}

func newLink(n *network, conn net.Conn, self, peer vmlist.VM) *link {
	l := &link{
		Conn: conn, net: n, a: self.Domain, b: peer.Domain, delay: fleetDelay,
		outgoing: make(chan packet, linkQueue), incoming: make(chan packet, linkQueue), done: make(chan struct{}),
	}
	switch {
	case self.Domain == peer.Domain:
		l.delay = domainDelay
	case self.Region == peer.Region:
		l.delay = regionDelay
	}
	go l.send()
	go l.receive()
	return l
}

func (l *link) due() time.Time {
	d := l.delay
	if l.net.lost() {
		d += retransmission
	}
	return time.Now().Add(d)
}

// Write implements net.Conn. It never waits for the other end.
func (l *link) Write(p []byte) (int, error) {
	l.net.bytes.Add(int64(len(p)))
	select {
	case l.outgoing <- packet{data: append([]byte(nil), p...), due: l.due()}:
		return len(p), nil
	case <-l.done:
		return 0, net.ErrClosed
	}
}

func (l *link) send() {
	for {
		select {
		case p := <-l.outgoing:
			if !l.await(p) {
				return
			}
			if _, err := l.Conn.Write(p.data); err != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) receive() {
	defer close(l.incoming)
	buf := make([]byte, readBytes)
	for {
		n, err := l.Conn.Read(buf)
		if n > 0 {
			l.net.bytes.Add(int64(n))
			select {
			case l.incoming <- packet{data: append([]byte(nil), buf[:n]...), due: l.due()}:
			case <-l.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (l *link) Read(p []byte) (int, error) {
	if len(l.rest) == 0 {
		next, open := <-l.incoming
		if !open {
			return 0, io.EOF
		}
		if !l.await(next) {
			return 0, errors.New("link is closed")
		}
		l.rest = next.data
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// await holds a packet until it is due and the link is not cut.
func (l *link) await(p packet) bool {
	time.Sleep(time.Until(p.due))
	for l.net.isCut(l.a, l.b) {
		select {
		case <-l.done:
			return false
		case <-time.After(cutPoll):
		}
	}
	return true
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.close.Do(func() { close(l.done) })
	return l.Conn.Close()
}
