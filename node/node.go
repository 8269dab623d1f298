// Package node assembles one auburnladder-node from its parts and runs it.
package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"time"

	"auburnladder.example/core/drain"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/admin"
	"auburnladder.example/node/command"
	"auburnladder.example/node/distribution"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/peertls"
	"auburnladder.example/node/platform"
	"auburnladder.example/node/probe"
	"auburnladder.example/node/proxy"
	"auburnladder.example/node/query"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// protocolVersion is the version of the messages between nodes.
	protocolVersion = 1
	// callersTimeout bounds how long requests of callers may take to end at a stop.
	callersTimeout = 10 * time.Second
)

// Node is one running node.
type Node struct {
	cfg     *settings.Settings
	log     zerolog.Logger
	state   *state.State
	reader  *query.Reader
	command *command.Commander
	prober  *probe.Prober
	peers   *peers.Set
	driver  *distribution.Driver
	egress  *proxy.Egress
	tracer  *tracing.Tracer
	drainer *proxy.Drainer
	// tls is nil if connections between nodes are plain.
	tls      *peertls.Transport
	callers  []*fasthttp.Server
	router   *proxy.Router
	listens  []net.Listener
	shutdown []func()
}

// New prepares a node: it checks the keys and opens every listener.
func New(cfg *settings.Settings, log zerolog.Logger) (*Node, error) {
	trust, err := release.NewTrust(cfg.ApprovalKeys)
	if err != nil {
		return nil, err
	}
	st := state.New(state.Identity{VM: cfg.VM.ID, Service: cfg.VM.Service, Domain: cfg.VM.Domain, Region: cfg.VM.Region})
	reader, err := newReader(cfg, st)
	if err != nil {
		return nil, err
	}
	cmd := &command.Commander{State: st, Log: log, Journal: reader.Journal, Now: time.Now}
	n := &Node{cfg: cfg, log: log, state: st, reader: reader, command: cmd}
	n.driver, err = distribution.New(n.distributionConfig(trust), platform.NewClient(platformConfig(cfg)), cmd, log)
	if err != nil {
		return nil, err
	}
	if n.tls, err = newPeerTLS(cfg, log); err != nil {
		return nil, err
	}
	n.router = proxy.NewRouter(st, cfg.Routing.Policy, log)
	n.router.Journal = reader.Journal
	reader.Tables = n.router
	n.egress = proxy.NewEgress(st, cfg.Server.Address, log)
	n.tracer, err = tracing.New(context.Background(), cfg.Trace, st.Identity)
	if err != nil {
		return nil, err
	}
	n.egress.Tracer = n.tracer
	n.drainer = proxy.NewDrainer(n.egress, cmd, proxy.DefaultDrainConfig())
	if expvar.Get("distribution") == nil {
		expvar.Publish("distribution", n.driver.Metrics())
	}
	reader.Extend = n.extendStatus
	return n, nil
}

// newReader returns what operators read the node through.
func newReader(cfg *settings.Settings, st *state.State) (*query.Reader, error) {
	r := &query.Reader{State: st, Now: time.Now, Journal: query.NewJournal(time.Now)}
	r.Journal.Record(statusapi.JournalEntry{Kind: statusapi.JournalStarted})
	if cfg.NodeKey == "" {
		return r, nil
	}
	var err error
	r.Key, err = release.ParseSigningKey(cfg.NodeKey)
	return r, err
}

func platformConfig(cfg *settings.Settings) platform.Config {
	urls := make([]string, len(cfg.Platform.Addresses))
	for i, a := range cfg.Platform.Addresses {
		urls[i] = "http://" + a.String()
	}
	return platform.Config{BaseURLs: urls, Timeout: cfg.Platform.Timeout.Std(), Wait: cfg.Platform.Wait.Std()}
}

// Run serves until ctx ends. It returns the first error of a listener.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.peers = peers.New(ctx, n.peersConfig(), n.hello, n, n.log)
	var tasks conc.WaitGroup
	serve := func(name string, addr netip.AddrPort, run func(net.Listener) error) error {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return fmt.Errorf("%s listener: %w", name, err)
		}
		n.listens = append(n.listens, l)
		tasks.Go(func() {
			if err := run(l); err != nil && ctx.Err() == nil {
				cancel(fmt.Errorf("%s listener: %w", name, err))
			}
		})
		return nil
	}
	err := n.startProber()
	if err == nil {
		tasks.Go(func() { n.prober.Run(ctx) })
		err = n.listen(serve)
	}
	if err == nil {
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

type serveFunc func(name string, addr netip.AddrPort, run func(net.Listener) error) error

func (n *Node) listen(serve serveFunc) error {
	if err := serve("peer", n.cfg.Listen.Peer, n.peers.Serve); err != nil {
		return err
	}
	app := admin.New(n.reader)
	n.shutdown = append(n.shutdown, func() { _ = app.Shutdown() })
	if err := serve("admin", n.cfg.Listen.Admin, func(l net.Listener) error {
		return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	}); err != nil {
		return err
	}
	if err := n.serveCallers(serve, "caller", n.cfg.Listen.Caller, mesh.PublicCaller); err != nil {
		return err
	}
	if !n.cfg.Listen.Local.IsValid() {
		return nil
	}
	return n.serveCallers(serve, "local", n.cfg.Listen.Local, n.cfg.VM.Service)
}

func (n *Node) serveCallers(serve serveFunc, name string, addr netip.AddrPort, caller string) error {
	ingress := &proxy.Ingress{
		State:    n.state,
		Sessions: n.peers,
		Router:   n.router,
		Caller:   caller,
		Paused:   n.driver.Paused,
		Tracer:   n.tracer,
		Log:      n.log,
	}
	srv := ingress.NewServer()
	n.callers = append(n.callers, srv)
	return serve(name, addr, srv.Serve)
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

func (n *Node) hello() *peerpb.Hello {
	h := &peerpb.Hello{
		Vm:             n.cfg.VM.ID,
		Service:        n.cfg.VM.Service,
		Domain:         n.cfg.VM.Domain,
		Protocol:       protocolVersion,
		VmListRevision: n.state.Fleet().Revision,
		Leaving:        n.state.Leaving(),
	}
	if snap := n.state.Snapshot(); snap != nil {
		h.Held = &peerpb.Version{Sequence: snap.Version.Sequence, Digest: snap.Version.Digest[:]}
	}
	return h
}

// ServeStream implements peers.Handler.
func (n *Node) ServeStream(ctx context.Context, from peers.Peer, req *peerpb.Request, st *session.Stream) {
	if n.driver.ServeStream(from.VM, req, st) {
		return
	}
	if call := req.GetCall(); call != nil {
		n.egress.ServeCall(ctx, from, call, st)
	}
}
