package distribution

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"

	"auburnladder.example/node/peers"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

// RegisterSessions adds the command that measures the memory of one idle session.
func RegisterSessions(app *kingpin.Application, commands map[string]func() error) {
	c := app.Command("sessions", "Heap and stacks of one end of an idle session between nodes.")
	count := c.Flag("sessions", "Number of sessions to open.").Default("500").Int()
	commands[c.FullCommand()] = func() error { return measureSessions(*count) }
}

// ignore serves no stream.
type ignore struct{}

func (ignore) ServeStream(context.Context, peers.Peer, *peerpb.Request, *session.Stream) {}

// anyVM greets as whichever VM is wanted, so that one listener stands for many nodes.
type anyVM struct {
	peers.TCP
	wanted string
}

func (a *anyVM) hello() *peerpb.Hello { return &peerpb.Hello{Vm: a.wanted} }

// memoryInUse returns the live heap and the stacks in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func measureSessions(count int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx := context.Background()
	far := &anyVM{}
	server := peers.New(ctx, peers.DefaultConfig(), far.hello, ignore{}, zerolog.Nop())
	near := &anyVM{wanted: "near"}
	client := peers.New(ctx, peers.DefaultConfig(), near.hello, ignore{}, zerolog.Nop())
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	addr := netip.MustParseAddrPort(l.Addr().String())
	before := memoryInUse()
	for i := range count {
		far.wanted = fmt.Sprint("vm-", i)
		near.wanted = fmt.Sprint("caller-", i)
		if _, err := client.Get(ctx, far.wanted, addr); err != nil {
			return err
		}
	}
	used := memoryInUse() - before
	fmt.Printf("%d sessions: %.1f KB for each end\n", count, float64(used)/float64(2*count)/1024)
	client.Close()
	server.Close()
	return <-served
}
