package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"auburnladder.example/core/drain"
	"auburnladder.example/node/accept"
	"auburnladder.example/node/admin"
	"auburnladder.example/node/callerhttp"
	"auburnladder.example/node/metrics"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/proxy/ingress"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

const (
	// callersTimeout bounds the wait for requests of callers to finish during shutdown, unless
	// a stopper sets the deadline, and the wait for the trace exporter.
	callersTimeout = 10 * time.Second
	// probesTimeout bounds the wait for requests of operators and health checks during shutdown.
	probesTimeout = 50 * time.Millisecond
	// answerMargin is how long before the connections of callers are closed the requests in
	// flight are ended, so that their callers get a response.
	answerMargin = 200 * time.Millisecond
)

// listener is one TCP address that the node listens on.
type listener struct {
	// name is used in error texts.
	name string
	addr netip.AddrPort
	// keepAlive is the TCP keep-alive of accepted connections, as in net.ListenConfig. Setting it costs
	// four system calls for each connection.
	keepAlive time.Duration
	// serve accepts connections until the listener is closed.
	serve func(net.Listener) error
}

// noKeepAlive is for connections that are closed when they are idle.
const noKeepAlive = -1

// Run serves until ctx ends, a drain has finished or a listener fails. It returns the error
// that prevented the start or the first error of a listener, and nil otherwise. It must be
// called only once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.peers = peers.New(ctx, n.peersConfig(), n.hello, n, n.log)
	var tasks conc.WaitGroup
	err := n.startSource(ctx, &tasks)
	if err == nil {
		err = n.listen(ctx, &tasks, cancel)
	}
	if err == nil {
		n.startTasks(ctx, &tasks, cancel)
		n.log.Info().Str("event", "started").Msg("node started")
		<-ctx.Done()
		err = context.Cause(ctx)
	}
	cancel(err)
	n.awaitExit(func() {
		n.stop()
		tasks.Wait()
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startTasks starts the background tasks that run alongside the listeners.
func (n *Node) startTasks(ctx context.Context, tasks *conc.WaitGroup, cancel context.CancelCauseFunc) {
	tasks.Go(func() { n.router.Run(ctx) })
	tasks.Go(func() { n.egress.Run(ctx) })
	tasks.Go(func() { n.decisions.Run(ctx) })
	tasks.Go(func() { n.quarantine.Run(ctx) })
	if n.tls != nil {
		tasks.Go(func() { n.tls.Run(ctx, n.startSettings.PeerTLS.Reload.Std()) })
	}
	tasks.Go(func() {
		if n.waitForDrain(ctx) {
			cancel(nil)
		}
	})
}

// startSource starts the tasks that keep the release, the VM list and the membership view
// up to date. With a key-value store there is no membership view.
func (n *Node) startSource(ctx context.Context, tasks *conc.WaitGroup) error {
	if n.store != nil {
		n.newFollower()
		tasks.Go(func() { n.follower.Run(ctx) })
		return nil
	}
	if err := n.startProber(); err != nil {
		return err
	}
	tasks.Go(func() { n.prober.Run(ctx) })
	tasks.Go(func() { n.driver.Run(ctx, n.peers) })
	return nil
}

// serveSource serves a peer's request for releases, VM lists or a copy of the store. It reports
// whether the request was of that kind.
func (n *Node) serveSource(from peers.Peer, req *peerpb.Request, st *session.Stream) bool {
	if n.follower != nil {
		return n.follower.ServeStream(req, st)
	}
	return n.driver.ServeStream(from.VM, req, st)
}

// waitForDrain waits for a call of Drain and then until the requests in flight have ended. It
// returns false if ctx ended first.
func (n *Node) waitForDrain(ctx context.Context) bool {
	if n.store != nil {
		return n.stopper.run(ctx)
	}
	if !n.drainer.Run(ctx) {
		return false
	}
	n.stopCallers()
	return true
}

// Drain takes the node out of service for the given reason; Run returns once the drain has
// finished. With a key-value store the reason is ignored. It may be called repeatedly and from
// any goroutine while Run is running.
func (n *Node) Drain(ctx context.Context, r drain.Reason) {
	if n.store != nil {
		n.stopper.signal()
		return
	}
	n.drainer.Signal(ctx, r)
}

// endRequestsBefore ends the requests of callers that are still in flight shortly before the given
// time, with a response that says whether they may have run.
func (n *Node) endRequestsBefore(end time.Time) {
	time.AfterFunc(time.Until(end)-answerMargin, n.endRequests)
}

// stopCallers waits for the requests of callers to finish, up to a deadline, and closes
// their connections.
func (n *Node) stopCallers() {
	end := time.Now().Add(callersTimeout)
	if n.store != nil {
		end = n.stopper.end()
	}
	n.endRequestsBefore(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, srv := range n.callerServers {
		if err := srv.Shutdown(ctx); err != nil {
			n.log.Warn().Err(err).Str("event", "callers-cut").Msg("requests of callers were still in flight at the shutdown deadline")
		}
	}
}

// listen opens all listeners and serves each in its own goroutine. A listener that fails
// stops the node.
func (n *Node) listen(ctx context.Context, tasks *conc.WaitGroup, cancel context.CancelCauseFunc) error {
	for _, l := range n.listeners() {
		config := net.ListenConfig{KeepAlive: l.keepAlive}
		socket, err := config.Listen(ctx, "tcp", l.addr.String())
		if err != nil {
			return fmt.Errorf("%s listener: %w", l.name, err)
		}
		n.sockets = append(n.sockets, socket)
		tasks.Go(func() {
			if err := l.serve(socket); err != nil && ctx.Err() == nil {
				cancel(fmt.Errorf("%s listener: %w", l.name, err))
			}
		})
	}
	return nil
}

// listeners returns the listeners of the node, the one for peers first.
func (n *Node) listeners() []listener {
	addrs := n.startSettings.Listen
	all := []listener{
		{name: "peer", addr: addrs.Peer, serve: n.peers.Serve},
		{name: "admin", addr: addrs.Admin, serve: n.serveAdmin()},
		{name: "caller", addr: addrs.Caller, keepAlive: noKeepAlive, serve: n.serveCallers(n.callerIdentity(), n.egress.RequestFailed)},
	}
	if addrs.Local.IsValid() {
		all = append(all, listener{name: "local", addr: addrs.Local, keepAlive: noKeepAlive, serve: n.serveCallers(n.startSettings.VM.Service, n.egress.DependencyFailed)})
	}
	if addrs.Metrics.IsValid() {
		srv, err := metrics.NewServer()
		if err != nil {
			n.log.Error().Err(err).Str("event", "metrics-failed").Msg("metrics server could not be created; metrics are not served")
			return all
		}
		n.shutdownFuncs = append(n.shutdownFuncs, func() { _ = srv.Close() })
		all = append(all, listener{name: "metrics", addr: addrs.Metrics, serve: func(l net.Listener) error {
			return srv.Serve(accept.Limit(accept.Retry(l), "metrics", metrics.MaxConnections, n.logClosedProbe))
		}})
	}
	return all
}

// serveAdmin returns the serve function of the admin listener.
func (n *Node) serveAdmin() func(net.Listener) error {
	app := admin.New(n.querier, n.startSettings.Listen.ReadyPath)
	n.shutdownFuncs = append(n.shutdownFuncs, func() { _ = app.ShutdownWithTimeout(probesTimeout) })
	return func(l net.Listener) error {
		return app.Listener(accept.Limit(accept.Retry(l), "admin", admin.MaxConnections, n.logClosedProbe), fiber.ListenConfig{DisableStartupMessage: true})
	}
}

// serveCallers returns the serve function of a listener whose callers all have the identity
// caller. If onFailure is not nil, it is called after each response with a status of 500 or more.
func (n *Node) serveCallers(caller string, onFailure func()) func(net.Listener) error {
	in := &ingress.Ingress{
		State:         n.state,
		Sessions:      n.peers,
		Router:        n.router,
		Caller:        caller,
		Quarantine:    n.quarantine,
		Ending:        n.ending,
		OnServerError: onFailure,
		Tracer:        n.tracer,
		Decisions:     n.decisions,
		Log:           n.log,
	}
	if n.store != nil {
		in.Headers = n.store.Headers
		in.Current = n.follower.Current
		in.Announcements = n.command
		in.Draining = n.stopper.stopping.Load
		in.Closed = n.stopper.refusingCallers.Load
		in.EndsAt = n.stopper.requestsEnd
		in.Buffers = n.responseBuffers
		in.AskAbove = ingress.DefaultAskAbove
	} else {
		in.Paused = n.driver.Paused
	}
	// The listeners differ only in their callers, which an explanation is given.
	n.querier.Plan = in.Plan
	srv := in.NewServer(n.callersConfig())
	n.callerServers = append(n.callerServers, srv)
	n.ingresses = append(n.ingresses, in)
	return srv.Serve
}

// logStalledCaller logs that a connection was closed for the benefit of other callers.
func (n *Node) logStalledCaller(c callerhttp.ClosedCaller) {
	n.log.Warn().Str("event", "caller-closed").Stringer("address", c.Address).Int64("bytes", c.Bytes).
		Int64("address_bytes", c.AddressBytes).Dur("stalled_ms", c.Stalled).
		Msg("connection of a caller without progress closed to make room for others")
}

// logClosedProbe logs that a connection to the admin or the metrics address was closed for another one.
func (n *Node) logClosedProbe(addr string) {
	n.log.Warn().Str("event", "probe-closed").Str("address", addr).
		Msg("connection of an operator, health check or scraper closed to make room for others")
}

// callersConfig returns the limits of the servers of callers, which share the budgets.
func (n *Node) callersConfig() callerhttp.Config {
	cfg := callerhttp.DefaultConfig()
	cfg.Bodies, cfg.Responses, cfg.Account = n.requestBodies, n.responseBuffers, n.callerAccount
	connections := n.startSettings.VM.CallerConnections()
	if n.startSettings.Listen.Local.IsValid() {
		connections /= 2 // one half for each of the two listeners
	}
	if connections > 0 {
		cfg.MaxConnections = min(cfg.MaxConnections, connections)
	}
	return cfg
}

// awaitExit runs the last steps of the node. After a stop signal it returns in time for the process
// to exit before the end of the grace period, even if a step takes longer: the requests of callers have
// ended by then.
func (n *Node) awaitExit(steps func()) {
	if n.store == nil || !n.stopper.stopping.Load() {
		steps()
		return
	}
	done := make(chan struct{})
	go func() {
		steps()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(n.stopper.end()) + exitMargin):
		n.log.Warn().Str("event", "exit-early").Msg("node exits although not all of it has stopped")
	}
}

// stop waits for requests of callers, closes the sessions with peers, the admin and metrics servers
// and the listeners, and exports the remaining spans.
func (n *Node) stop() {
	n.stopCallers()
	n.peers.Close()
	for _, f := range n.shutdownFuncs {
		f()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callersTimeout)
	defer cancel()
	if err := n.tracer.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Str("event", "spans-lost").Msg("trace exporter shutdown failed; remaining spans were not exported")
	}
	for _, l := range n.sockets {
		_ = l.Close()
	}
}
