package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"auburnladder.example/core/drain"
	"auburnladder.example/core/mesh"
	"auburnladder.example/node/admin"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/proxy/ingress"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// callersTimeout bounds how long requests of callers may take to end at a stop.
const callersTimeout = 10 * time.Second

// listener is one address that the node serves.
type listener struct {
	name  string
	addr  netip.AddrPort
	serve func(net.Listener) error
}

// Run serves until ctx ends or a drain is over. It returns the first error of a
// listener. It is called once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.peers = peers.New(ctx, n.peersConfig(), n.hello, n, n.log)
	var tasks conc.WaitGroup
	err := n.startProber()
	if err == nil {
		tasks.Go(func() { n.prober.Run(ctx) })
		err = n.listen(ctx, &tasks, cancel)
	}
	if err == nil {
		n.startTasks(ctx, &tasks, cancel)
		n.log.Info().Str("event", "started").Msg("node started")
		<-ctx.Done()
		err = context.Cause(ctx)
	}
	cancel(err)
	n.stop()
	tasks.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startTasks starts what runs beside the listeners.
func (n *Node) startTasks(ctx context.Context, tasks *conc.WaitGroup, cancel context.CancelCauseFunc) {
	tasks.Go(func() { n.driver.Run(ctx, n.peers) })
	tasks.Go(func() { n.router.Run(ctx) })
	tasks.Go(func() { n.egress.Run(ctx) })
	if n.tls != nil {
		tasks.Go(func() { n.tls.Run(ctx, n.cfg.PeerTLS.Reload.Std()) })
	}
	tasks.Go(func() {
		if n.drainer.Run(ctx) {
			n.stopCallers()
			cancel(nil)
		}
	})
}

// Drain takes the server out of service for the given reason; Run returns afterwards.
// It may be called from any goroutine while Run runs, also repeatedly.
func (n *Node) Drain(ctx context.Context, r drain.Reason) {
	n.drainer.Signal(ctx, r)
}

// stopCallers lets the requests of callers end and closes their connections.
func (n *Node) stopCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), callersTimeout)
	defer cancel()
	for _, srv := range n.callers {
		if err := srv.ShutdownWithContext(ctx); err != nil {
			n.log.Warn().Err(err).Str("event", "callers-cut").Msg("requests of callers outlived the shutdown")
		}
	}
}

// listen opens all listeners and serves each on a task of its own. A listener that
// fails ends the node.
func (n *Node) listen(ctx context.Context, tasks *conc.WaitGroup, cancel context.CancelCauseFunc) error {
	for _, l := range n.listeners() {
		socket, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return fmt.Errorf("%s listener: %w", l.name, err)
		}
		n.listens = append(n.listens, socket)
		tasks.Go(func() {
			if err := l.serve(socket); err != nil && ctx.Err() == nil {
				cancel(fmt.Errorf("%s listener: %w", l.name, err))
			}
		})
	}
	return nil
}

// listeners returns what the node serves, peers first.
func (n *Node) listeners() []listener {
	addrs := n.cfg.Listen
	all := []listener{
		{name: "peer", addr: addrs.Peer, serve: n.peers.Serve},
		{name: "admin", addr: addrs.Admin, serve: n.serveAdmin()},
		{name: "caller", addr: addrs.Caller, serve: n.serveCallers(mesh.PublicCaller, nil)},
	}
	if addrs.Local.IsValid() {
		all = append(all, listener{name: "local", addr: addrs.Local, serve: n.serveCallers(n.cfg.VM.Service, n.egress.DependencyFailed)})
	}
	return all
}

func (n *Node) serveAdmin() func(net.Listener) error {
	app := admin.New(n.reader)
	n.shutdown = append(n.shutdown, func() { _ = app.Shutdown() })
	return func(l net.Listener) error {
		return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	}
}

// serveCallers returns the server of one listener, whose callers all have one identity.
// It calls failed after each failure, if that is not nil.
func (n *Node) serveCallers(caller string, failed func()) func(net.Listener) error {
	in := &ingress.Ingress{
		State:    n.state,
		Sessions: n.peers,
		Router:   n.router,
		Caller:   caller,
		Paused:   n.driver.Paused,
		Failed:   failed,
		Tracer:   n.tracer,
		Log:      n.log,
	}
	srv := in.NewServer()
	n.callers = append(n.callers, srv)
	return srv.Serve
}

func (n *Node) stop() {
	for _, f := range n.shutdown {
		f()
	}
	n.stopCallers()
	n.peers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callersTimeout)
	defer cancel()
	if err := n.tracer.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Str("event", "spans-lost").Msg("spans were not exported")
	}
	for _, l := range n.listens {
		_ = l.Close()
	}
}
