// Package node assembles one auburnladder-node from its parts and runs it.
package node

import (
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/command"
	"auburnladder.example/node/decisions"
	"auburnladder.example/node/distribution"
	"auburnladder.example/node/follow"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/peertls"
	"auburnladder.example/node/platform"
	"auburnladder.example/node/probe"
	"auburnladder.example/node/proxy/egress"
	"auburnladder.example/node/proxy/ingress"
	"auburnladder.example/node/query"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// protocolVersion is the version of the messages between nodes.
const protocolVersion = 1

// Node is one running node.
type Node struct {
	cfg *settings.Settings
	// live holds the settings that Reload applied last; cfg holds those of the start.
	live    atomic.Pointer[settings.Settings]
	log     zerolog.Logger
	state   *state.State
	reader  *query.Reader
	command *command.Commander
	prober  *probe.Prober
	peers   *peers.Set
	// driver fetches releases from the platform service, follower from a key-value store;
	// exactly one of them is nil.
	driver   *distribution.Driver
	follower *follow.Follower
	store    *StoreAdapter
	egress   *egress.Egress
	tracer   *tracing.Tracer
	// decisions logs a line for each decision about a request.
	decisions *decisions.Log
	drainer   *egress.Drainer
	// stopper replaces drainer if the source is a key-value store.
	stopper *stopper
	// tls is nil if connections between nodes are plaintext.
	tls     *peertls.Transport
	callers []*fasthttp.Server
	// ingresses are the request handlers of the servers in callers.
	ingresses []*ingress.Ingress
	router    *ingress.Router
	listens   []net.Listener
	shutdown  []func()
}

// New creates a node without starting it. The adapter must be set if the settings name a
// key-value store as the source, and nil otherwise.
func New(cfg *settings.Settings, store *StoreAdapter, log zerolog.Logger) (*Node, error) {
	st := state.New(state.Identity{VM: cfg.VM.ID, Service: cfg.VM.Service, Domain: cfg.VM.Domain, Region: cfg.VM.Region})
	reader, err := newReader(cfg, st)
	if err != nil {
		return nil, err
	}
	cmd := &command.Commander{State: st, Log: log, Journal: reader.Journal, Now: time.Now}
	n := &Node{cfg: cfg, log: log, state: st, reader: reader, command: cmd, store: store}
	n.live.Store(cfg)
	if err = n.newDriver(); err != nil {
		return nil, err
	}
	if n.tls, err = newPeerTLS(cfg, log); err != nil {
		return nil, err
	}
	n.router = ingress.NewRouter(st, cfg.Routing, log)
	n.router.Journal = reader.Journal
	reader.Tables = n.router
	n.egress = egress.New(st, cfg.Server.Address, n.egressConfig(), log)
	n.tracer, err = tracing.New(context.Background(), cfg.Trace, st.Identity)
	if err != nil {
		return nil, err
	}
	n.egress.Tracer = n.tracer
	n.decisions = decisions.New(log, time.Now())
	n.egress.Decisions = n.decisions
	if store == nil {
		n.drainer = egress.NewDrainer(n.egress, cmd, egress.DefaultDrainConfig())
	} else {
		n.configureForStore()
	}
	reader.Extend = n.fillStatus
	return n, nil
}

// newDriver creates the distribution driver, which fetches releases from the platform
// service. With a key-value store it does nothing.
func (n *Node) newDriver() error {
	if n.store != nil {
		return nil
	}
	trust, err := release.NewTrust(n.cfg.ApprovalKeys)
	if err != nil {
		return err
	}
	trust = trust.ForDeployment(n.cfg.Deployment)
	n.driver, err = distribution.New(n.distributionConfig(trust), platform.NewClient(platformConfig(n.cfg)), n.command, n.log)
	if err != nil {
		return err
	}
	if expvar.Get("distribution") == nil {
		expvar.Publish("distribution", n.driver.Metrics())
	}
	return nil
}

// newReader returns the reader behind the operators' status and journal queries.
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
	if n.serveSource(from, req, st) {
		return
	}
	if call := req.GetCall(); call != nil {
		n.egress.ServeCall(ctx, from, call, st)
	}
}
