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

// RegisterSessions adds the command "sessions" to app and its function to commands. It
// measures the memory of one idle session.
func RegisterSessions(app *kingpin.Application, commands map[string]func() error) {
	c := app.Command("sessions", "Memory (heap and stacks) of one end of an idle session between nodes.")
	count := c.Flag("sessions", "Number of sessions to open.").Default("500").Int()
	commands[c.FullCommand()] = func() error { return measureSessions(*count) }
}

// noStreams is a peers.Handler that ignores all streams.
type noStreams struct{}

// ServeStream implements peers.Handler.
func (noStreams) ServeStream(context.Context, peers.Peer, *peerpb.Request, *session.Stream) {}

// anyVM sends the VM ID in its field vm in its hello, so that one listener can act as many
// nodes. The field is set before each handshake.
type anyVM struct {
	peers.TCP
	vm string
}

func (a *anyVM) hello() *peerpb.Hello { return &peerpb.Hello{Vm: a.vm} }

// memoryInUse returns the size of the live heap and of the stacks in bytes, after garbage
// collection.
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
	server := peers.New(ctx, peers.DefaultConfig(), far.hello, noStreams{}, zerolog.Nop())
	near := &anyVM{vm: "near"}
	client := peers.New(ctx, peers.DefaultConfig(), near.hello, noStreams{}, zerolog.Nop())
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	addr := netip.MustParseAddrPort(l.Addr().String())
	before := memoryInUse()
	for i := range count {
		far.vm = fmt.Sprint("vm-", i)
		near.vm = fmt.Sprint("caller-", i)
		if _, err := client.Get(ctx, far.vm, addr); err != nil {
			return err
		}
	}
	used := memoryInUse() - before
	fmt.Printf("%d sessions: %.1f KB for each end\n", count, float64(used)/float64(2*count)/1024)
	client.Close()
	server.Close()
	return <-served
}
