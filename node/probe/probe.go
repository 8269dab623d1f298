// Package probe drives the failure detector of core/membership over UDP.
//
// Each node sends and receives datagrams on its peer address. A datagram also contains
// the versions of the release and of the VM list that its sender holds, so that stale
// nodes are detected without further messages. Datagrams are not authenticated yet: a
// host that can send to the peer addresses can cause false suspicions, which the suspected
// nodes refute, but it cannot change a release.
package probe

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/vmlist"
)

const (
	// receivedBacklog bounds the datagrams queued for the failure detector; further ones are
	// dropped.
	receivedBacklog = 256
	// commandBacklog bounds the queued calls of ReplaceList and SetLeaving; further calls
	// block.
	commandBacklog = 16
)

// Counters published under "probe" in expvar. Bytes are those of the datagrams' payload,
// without IP and UDP headers.
var (
	counters          = expvar.NewMap("probe")
	sentDatagrams     = newCounter("sent_datagrams")
	sentBytes         = newCounter("sent_bytes")
	sendErrors        = newCounter("send_errors")
	receivedDatagrams = newCounter("received_datagrams")
	receivedBytes     = newCounter("received_bytes")
	refusedDatagrams  = newCounter("refused_datagrams")
	droppedDatagrams  = newCounter("dropped_datagrams")
	viewsPublished    = newCounter("views_published")
	pausesDetected    = newCounter("pauses_noticed")
)

func newCounter(name string) *expvar.Int {
	v := new(expvar.Int)
	counters.Set(name, v)
	return v
}

// Options holds the parameters of a Prober. The functions are called from the prober's
// goroutines and must not block.
type Options struct {
	// VM is the id of this node's VM.
	VM string
	// Config holds the parameters of the failure detector.
	Config membership.Config
	// Held returns the versions that this node holds. It is called for each datagram sent.
	// Optional.
	Held func() Held
	// OnView is called with each new view. Optional.
	OnView func(*membership.View)
	// OnPeerHeld is called with the versions that the sender of each datagram holds. Optional.
	OnPeerHeld func(vm string, held Held)
	// OnPause is called once after each pause of the process, with its duration. Optional.
	OnPause func(gap time.Duration)
	Log     zerolog.Logger
}

// Prober runs the failure detector of one node.
type Prober struct {
	opts     Options
	conn     *net.UDPConn
	machine  *membership.Machine
	view     atomic.Pointer[membership.View]
	received chan membership.Received
	commands chan membership.Event
	done     chan struct{}
}

// Listen opens the UDP socket on a node's peer address and returns a prober, which sends
// nothing until Run is called.
func Listen(addr netip.AddrPort, opts Options) (*Prober, error) {
	if err := opts.Config.Validate(); err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("probe listener: %w", err)
	}
	id := membership.Identity{VM: opts.VM, Incarnation: uint64(time.Now().UnixMilli())}
	p := &Prober{
		opts:     opts.withDefaults(),
		conn:     conn,
		machine:  membership.New(id, opts.Config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		received: make(chan membership.Received, receivedBacklog),
		commands: make(chan membership.Event, commandBacklog),
		done:     make(chan struct{}),
	}
	p.view.Store(membership.EmptyView())
	return p, nil
}

func (o Options) withDefaults() Options {
	if o.Held == nil {
		o.Held = func() Held { return Held{} }
	}
	if o.OnView == nil {
		o.OnView = func(*membership.View) {}
	}
	if o.OnPeerHeld == nil {
		o.OnPeerHeld = func(string, Held) {}
	}
	if o.OnPause == nil {
		o.OnPause = func(time.Duration) {}
	}
	return o
}

// View returns the newest view. It may be called from any goroutine.
func (p *Prober) View() *membership.View {
	return p.view.Load()
}

// Addr returns the address that the prober listens on.
func (p *Prober) Addr() netip.AddrPort {
	return p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// ReplaceList replaces the published VM list. It may be called from any goroutine. After
// the prober has ended it has no effect and does not block.
func (p *Prober) ReplaceList(list *vmlist.List) {
	p.enqueue(membership.ListPublished{List: list})
}

// SetLeaving announces to all members whether this VM is leaving, so that it gets no new
// calls. It may be called from any goroutine. After the prober has ended it has no effect
// and does not block.
func (p *Prober) SetLeaving(leaving bool) {
	p.enqueue(membership.SelfLeaving{Leaving: leaving})
}

func (p *Prober) enqueue(ev membership.Event) {
	select {
	case p.commands <- ev:
	case <-p.done:
	}
}

// Run runs the failure detector until ctx ends, and closes the socket. It must be called
// only once.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(p.readDatagrams)
	tasks.Go(func() { p.runMachine(ctx) })
	tasks.Wait()
}

// runMachine passes ticks, datagrams and commands to the state machine. Only its goroutine
// uses the state machine.
func (p *Prober) runMachine(ctx context.Context) {
	ticker := time.NewTicker(p.opts.Config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.step(membership.Tick{})
		case ev := <-p.received:
			p.step(ev)
		case ev := <-p.commands:
			p.step(ev)
		}
	}
}

func (p *Prober) step(ev membership.Event) {
	for _, action := range p.machine.Step(time.Now(), ev) {
		switch a := action.(type) {
		case membership.Send:
			p.send(a)
		case membership.Publish:
			p.publish(a.View)
		case membership.Resync:
			pausesDetected.Add(1)
			p.opts.Log.Warn().Str("event", "process-paused").Dur("gap_ms", a.Gap).Msg("pause of the process detected")
			p.opts.OnPause(a.Gap)
		}
	}
}

func (p *Prober) send(s membership.Send) {
	data, err := Encode(Datagram{Message: s.Message, Held: p.opts.Held()})
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(data, s.To)
	}
	if err != nil {
		sendErrors.Add(1)
		p.opts.Log.Debug().Err(err).Str("event", "probe-not-sent").Stringer("to", s.To).Msg("datagram could not be sent")
		return
	}
	sentDatagrams.Add(1)
	sentBytes.Add(int64(len(data)))
}

// publish stores a view for View, logs the VMs whose state changed, and calls OnView.
func (p *Prober) publish(next *membership.View) {
	old := p.view.Swap(next)
	viewsPublished.Add(1)
	for m := range next.Members() {
		before, found := old.Get(m.VM.ID)
		if found && before.State != m.State {
			p.opts.Log.Info().Str("event", "member-changed").Str("peer", m.VM.ID).
				Stringer("from", before.State).Stringer("to", m.State).Uint64("incarnation", m.Incarnation).
				Msg("membership state of a VM changed")
		}
	}
	p.opts.OnView(next)
}

// readDatagrams reads datagrams until the socket is closed.
func (p *Prober) readDatagrams() {
	// The buffer is one byte longer than allowed, so that a datagram that is too long is
	// detected.
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, source, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.handleDatagram(buffer[:n], source)
	}
}

// handleDatagram decodes a datagram and queues its message for the state machine. It drops
// the datagram if it is invalid or the queue is full.
func (p *Prober) handleDatagram(data []byte, source netip.AddrPort) {
	receivedDatagrams.Add(1)
	receivedBytes.Add(int64(len(data)))
	d, err := Decode(data)
	if err != nil {
		refusedDatagrams.Add(1)
		p.opts.Log.Debug().Err(err).Str("event", "probe-refused").Stringer("source", source).Msg("invalid datagram dropped")
		return
	}
	select {
	case p.received <- membership.Received{Message: d.Message, Source: source}:
		p.opts.OnPeerHeld(d.Message.From, d.Held)
	default:
		droppedDatagrams.Add(1)
	}
}
