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
	// One-way delays between VMs of the same failure domain, of the same region, and of
	// different regions.
	domainDelay = 200 * time.Microsecond
	regionDelay = time.Millisecond
	fleetDelay  = 10 * time.Millisecond
	// retransmission is the extra delay of a lost write. Nothing is dropped, because TCP
	// retransmits lost data itself.
	retransmission = 200 * time.Millisecond
	// cutPoll is the interval at which a delayed packet checks whether the partition has
	// healed.
	cutPoll = 10 * time.Millisecond
	// linkQueue is the maximum number of packets in flight in each direction.
	linkQueue = 128
	readBytes = 4 << 10
)

// network simulates the network between all nodes. It is safe for concurrent use.
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

func (n *network) addVM(vm vmlist.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[vm.Peer] = vm
}

func (n *network) drawLoss() bool {
	p := *n.loss.Load()
	if p == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}

// transport is one node's view of the network. It implements peers.Transport.
type transport struct {
	net  *network
	self vmlist.VM
}

// Dial implements peers.Transport. It blocks until ctx is done while a partition separates
// the two failure domains.
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

// Accept implements peers.Transport. The dialing end simulates the link, so it returns conn
// unchanged.
func (t transport) Accept(_ context.Context, conn net.Conn) (net.Conn, string, error) {
	return conn, "", nil
}

// packet is the data of one write or read and the time at which it is delivered.
type packet struct {
	data []byte
	due  time.Time
}

// link is the dialing end of a connection. It simulates the delay, losses and partitions of
// both directions.
type link struct {
	net.Conn
	net                  *network
	fromDomain, toDomain string
	delay                time.Duration
	outgoing             chan packet
	incoming             chan packet
	unread               []byte
	done                 chan struct{}
	close                sync.Once
}

func newLink(n *network, conn net.Conn, self, peer vmlist.VM) *link {
	l := &link{
		Conn: conn, net: n, fromDomain: self.Domain, toDomain: peer.Domain, delay: fleetDelay,
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

func (l *link) deliveryTime() time.Time {
	d := l.delay
	if l.net.drawLoss() {
		d += retransmission
	}
	return time.Now().Add(d)
}

// Write implements net.Conn. It queues the data and does not wait for its delivery, unless
// linkQueue packets are in flight.
func (l *link) Write(p []byte) (int, error) {
	l.net.bytes.Add(int64(len(p)))
	select {
	case l.outgoing <- packet{data: append([]byte(nil), p...), due: l.deliveryTime()}:
		return len(p), nil
	case <-l.done:
		return 0, net.ErrClosed
	}
}

func (l *link) send() {
	for {
		select {
		case p := <-l.outgoing:
			if !l.awaitDelivery(p) {
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
			case l.incoming <- packet{data: append([]byte(nil), buf[:n]...), due: l.deliveryTime()}:
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
	if len(l.unread) == 0 {
		next, open := <-l.incoming
		if !open {
			return 0, io.EOF
		}
		if !l.awaitDelivery(next) {
			return 0, errors.New("link is closed")
		}
		l.unread = next.data
	}
	n := copy(p, l.unread)
	l.unread = l.unread[n:]
	return n, nil
}

// awaitDelivery blocks until a packet is due and no partition separates the two ends. It
// returns false if the link is closed during a partition.
func (l *link) awaitDelivery(p packet) bool {
	time.Sleep(time.Until(p.due))
	for l.net.isCut(l.fromDomain, l.toDomain) {
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
