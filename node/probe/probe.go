// Package probe drives the failure detector of core/membership over UDP.
//
// Each node sends and receives datagrams on its peer address. A datagram also tells
// which release and which VM list its sender holds, so that a node which lags behind
// is found without further messages. Datagrams are not authenticated yet: a host that
// can send to the peer addresses can raise false suspicions, which their subjects
// refute, but it cannot change a release.
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
	// receivedBacklog bounds the datagrams that wait for the failure detector.
	receivedBacklog = 256
	// commandBacklog bounds the waiting changes of the list and of leaving.
	commandBacklog = 16
)

// Counters under "probe" in expvar. Bytes count the content of datagrams, without
// the headers of IP and UDP.
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
	pausesNoticed     = newCounter("pauses_noticed")
)

func newCounter(name string) *expvar.Int {
	v := new(expvar.Int)
	counters.Set(name, v)
	return v
}

// Options connect a prober to the rest of its node. The functions are called from
// the prober's own goroutine and must not block.
type Options struct {
	// VM is the id of this node's VM.
	VM string
	// Config is the timing of the failure detector.
	Config membership.Config
	// Held returns what this node holds, for each datagram sent. Optional.
	Held func() Held
	// OnView is called with each new view. Optional.
	OnView func(*membership.View)
	// OnHeard is called with what the sender of each datagram holds. Optional.
	OnHeard func(vm string, held Held)
	// OnPause is called once after the process was paused for gap. Optional.
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

// Listen opens the UDP side of a node's peer address.
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
	if o.OnHeard == nil {
		o.OnHeard = func(string, Held) {}
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

// ReplaceList hands over a newer published list. It may be called from any goroutine
// and returns at once after the prober has ended.
func (p *Prober) ReplaceList(list *vmlist.List) {
	p.command(membership.ListPublished{List: list})
}

// SetLeaving tells all members whether this VM takes new work. It may be called from
// any goroutine and returns at once after the prober has ended.
func (p *Prober) SetLeaving(leaving bool) {
	p.command(membership.SelfLeaving{Leaving: leaving})
}

func (p *Prober) command(ev membership.Event) {
	select {
	case p.commands <- ev:
	case <-p.done:
	}
}

// Run probes until ctx ends and closes the listener. It is called once.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(p.readAll)
	tasks.Go(func() { p.stepAll(ctx) })
	tasks.Wait()
}

// stepAll feeds the machine. It alone uses it.
func (p *Prober) stepAll(ctx context.Context) {
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
			pausesNoticed.Add(1)
			p.opts.Log.Warn().Str("event", "process-paused").Dur("gap_ms", a.Gap).Msg("process did not run for a while")
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
		p.opts.Log.Debug().Err(err).Str("event", "probe-not-sent").Stringer("to", s.To).Msg("datagram not sent")
		return
	}
	sentDatagrams.Add(1)
	sentBytes.Add(int64(len(data)))
}

// publish makes a view visible and logs which VMs changed their state.
func (p *Prober) publish(next *membership.View) {
	old := p.view.Swap(next)
	viewsPublished.Add(1)
	for m := range next.Members() {
		before, found := old.Get(m.VM.ID)
		if found && before.State != m.State {
			p.opts.Log.Info().Str("event", "member-changed").Str("peer", m.VM.ID).
				Stringer("from", before.State).Stringer("to", m.State).Uint64("incarnation", m.Incarnation).
				Msg("state of a VM changed")
		}
	}
	p.opts.OnView(next)
}

// readAll reads datagrams until the listener is closed.
func (p *Prober) readAll() {
	// One byte more than allowed shows a datagram that is too long.
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, source, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.read(buffer[:n], source)
	}
}

func (p *Prober) read(data []byte, source netip.AddrPort) {
	receivedDatagrams.Add(1)
	receivedBytes.Add(int64(len(data)))
	d, err := Decode(data)
	if err != nil {
		refusedDatagrams.Add(1)
		p.opts.Log.Debug().Err(err).Str("event", "probe-refused").Stringer("source", source).Msg("datagram refused")
		return
	}
	select {
	case p.received <- membership.Received{Message: d.Message, Source: source}:
		p.opts.OnHeard(d.Message.From, d.Held)
	default:
		droppedDatagrams.Add(1)
	}
}
