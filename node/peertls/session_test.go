package peertls

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"auburnladder.example/node/peers"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// callLog records the sender of each call.
type callLog chan peers.Peer

// ServeStream implements peers.Handler.
func (c callLog) ServeStream(_ context.Context, from peers.Peer, req *peerpb.Request, st *session.Stream) {
	c <- from
	_ = st.Send(&peerpb.Reply{Id: req.GetCall().GetId()})
}

// newSet returns the sessions of a node whose hello names vm.
func newSet(t *Transport, vm string, h peers.Handler) *peers.Set {
	cfg := peers.DefaultConfig()
	cfg.Transport = t
	hello := func() *peerpb.Hello { return &peerpb.Hello{Vm: vm, Service: "s", Domain: "d", Protocol: 1} }
	return peers.New(context.Background(), cfg, hello, h, zerolog.Nop())
}

// Guards against a session that attributes calls to the VM named in the hello when the
// peer's certificate names another VM or is missing.
func TestSessionsOverMutualTLS(t *testing.T) {
	Convey("Given a node that accepts sessions over mutual TLS", t, func() {
		ca := newAuthority()
		calls := make(callLog, 1)
		server := newSet(ca.transport(t.TempDir(), "b-1"), "b-1", calls)
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		addr := netip.MustParseAddrPort(l.Addr().String())
		var tasks conc.WaitGroup
		tasks.Go(func() { _ = server.Serve(l) })
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		exchange := func(set *peers.Set) error {
			ses, err := set.Get(ctx, "b-1", addr)
			if err != nil {
				return err
			}
			req := &peerpb.Request{Kind: &peerpb.Request_Call{Call: &peerpb.Call{Id: 7}}}
			return ses.Exchange(ctx, req, &peerpb.Reply{})
		}
		Reset(func() {
			server.Close()
			tasks.Wait()
			cancel()
		})
		Convey("a peer's calls are attributed to the VM in its certificate", func() {
			client := newSet(ca.transport(t.TempDir(), "a-1"), "a-1", calls)
			defer client.Close()
			So(exchange(client), ShouldBeNil)
			So((<-calls).VM, ShouldEqual, "a-1")
		})
		Convey("a peer whose hello names another VM than its certificate can't send calls", func() {
			client := newSet(ca.transport(t.TempDir(), "a-1"), "c-1", calls)
			defer client.Close()
			So(exchange(client), ShouldNotBeNil)
			So(calls, ShouldBeEmpty)
		})
		Convey("a peer without TLS can't send calls", func() {
			client := peers.New(context.Background(), peers.DefaultConfig(), func() *peerpb.Hello { return &peerpb.Hello{Vm: "a-1"} }, calls, zerolog.Nop())
			defer client.Close()
			So(exchange(client), ShouldNotBeNil)
			So(calls, ShouldBeEmpty)
		})
	})
}
