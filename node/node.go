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
	"auburnladder.example/node/budget"
	"auburnladder.example/node/callerhttp"
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
	"auburnladder.example/node/quarantine"
	"auburnladder.example/node/query"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
)

// Node is one auburnladder-node. New creates it, Run runs it and Drain ends it.
type Node struct {
	// startSettings are the settings that the node was created with.
	startSettings *settings.Settings
	// current holds the settings that Reload received last, or startSettings.
	current atomic.Pointer[settings.Settings]
	log     zerolog.Logger
	state   *state.State
	querier *query.Querier
	command *command.Commander
	// prober is the failure detector; nil if the source is a key-value store.
	prober *probe.Prober
	// peers holds the sessions with other nodes. Run sets it.
	peers *peers.Set
	// driver fetches releases from the platform service, follower from a key-value store;
	// exactly one of them is nil.
	driver   *distribution.Driver
	follower *follow.Follower
	// store is nil unless the source is a key-value store.
	store *StoreAdapter
	// egress forwards calls of peers to the backend server of this VM.
	egress *egress.Egress
	tracer *tracing.Tracer
	// quarantine holds the records of requests that crash backend servers.
	quarantine *quarantine.Tracker
	// decisions logs a line for each decision about a request.
	decisions *decisions.Log
	// drainer takes the node out of service; nil if the source is a key-value store.
	drainer *egress.Drainer
	// stopper does the same if the source is a key-value store; nil otherwise.
	stopper *stopper
	// tls is nil if connections between nodes are plaintext.
	tls *peertls.Transport
	// callerServers are the HTTP servers that accept requests of callers.
	callerServers []*callerhttp.Server
	// requestBodies bounds the bytes of callers' request bodies that the node holds.
	requestBodies *budget.Budget
	// callerAccount bounds what the connections of callers hold; nil if the memory is unknown.
	callerAccount *callerhttp.Account
	// responseBuffers bounds the bytes of responses that are received completely before they are sent.
	responseBuffers *budget.Budget
	// ingresses are the request handlers of callerServers.
	ingresses []*ingress.Ingress
	router    *ingress.Router
	// ending ends by endRequests, which ends the requests of callers in flight.
	ending      context.Context
	endRequests context.CancelFunc
	// sockets are the open TCP listeners.
	sockets []net.Listener
	// shutdownFuncs close the admin and metrics servers.
	shutdownFuncs []func()
}

// New creates a node without starting it. store must be set if the settings name a key-value
// store as the source, and nil otherwise. It returns an error if a key, a certificate or the
// trace exporter of the settings cannot be used.
func New(cfg *settings.Settings, store *StoreAdapter, log zerolog.Logger) (*Node, error) {
	st := state.New(state.Identity{VM: cfg.VM.ID, Service: cfg.VM.Service, Domain: cfg.VM.Domain, Region: cfg.VM.Region})
	querier, err := newQuerier(cfg, st)
	if err != nil {
		return nil, err
	}
	commander := &command.Commander{State: st, Log: log, Journal: querier.Journal, Now: time.Now}
	n := &Node{startSettings: cfg, log: log, state: st, querier: querier, command: commander, store: store}
	n.current.Store(cfg)
	n.requestBodies = budget.New("request_body_bytes", cfg.VM.RequestBodyBytes())
	if limit := cfg.VM.CallerBytes(); limit > 0 {
		n.callerAccount = callerhttp.NewAccount("caller_bytes", limit, n.logStalledCaller)
	}
	n.responseBuffers = budget.New("response_buffer_bytes", cfg.VM.ResponseBufferBytes())
	n.ending, n.endRequests = context.WithCancel(context.Background())
	if err = n.newDriver(); err != nil {
		return nil, err
	}
	if n.tls, err = newPeerTLS(cfg, log); err != nil {
		return nil, err
	}
	n.router = ingress.NewRouter(st, cfg.Routing, log)
	n.router.Journal = querier.Journal
	querier.Tables = n.router
	querier.Work = n.router.Work
	n.quarantine = quarantine.New(quarantine.DefaultConfig(), cfg.VM.ID, &trackerPeers{node: n}, log)
	n.egress = egress.New(st, cfg.Server.Address, n.egressConfig(), log)
	n.egress.Quarantine = n.quarantine
	if n.router.Work != nil {
		n.egress.TrackWork(n.router.Work)
	}
	n.tracer, err = tracing.New(context.Background(), cfg.Trace, st.Identity)
	if err != nil {
		return nil, err
	}
	n.egress.Tracer = n.tracer
	n.decisions = decisions.New(log, time.Now())
	n.egress.Decisions = n.decisions
	if store == nil {
		n.drainer = egress.NewDrainer(n.egress, commander, egress.DefaultDrainConfig())
	} else {
		n.configureForStore()
	}
	querier.Extend = n.fillStatus
	return n, nil
}

// newDriver creates the distribution driver, which fetches releases from the platform
// service. With a key-value store it does nothing. Its metrics are published only if no other
// node of the process has published its own, because expvar panics on a duplicate name.
func (n *Node) newDriver() error {
	if n.store != nil {
		return nil
	}
	trust, err := release.NewTrust(n.startSettings.ApprovalKeys)
	if err != nil {
		return err
	}
	trust = trust.ForDeployment(n.startSettings.Deployment)
	n.driver, err = distribution.New(n.distributionConfig(trust), platform.NewClient(platformConfig(n.startSettings)), n.command, n.log)
	if err != nil {
		return err
	}
	if expvar.Get("distribution") == nil {
		expvar.Publish("distribution", n.driver.Metrics())
	}
	return nil
}

// newQuerier returns the querier of the admin endpoints, with a journal that starts with an
// entry about the start of the node. Fields that depend on other components are set later.
func newQuerier(cfg *settings.Settings, st *state.State) (*query.Querier, error) {
	q := &query.Querier{State: st, Now: time.Now, Journal: query.NewJournal(time.Now)}
	q.Journal.Record(statusapi.JournalEntry{Kind: statusapi.JournalStarted})
	if cfg.NodeKey == "" {
		return q, nil
	}
	var err error
	q.Key, err = release.ParseSigningKey(cfg.NodeKey)
	return q, err
}

// platformConfig returns the client configuration of the platform service.
func platformConfig(cfg *settings.Settings) platform.Config {
	urls := make([]string, len(cfg.Platform.Addresses))
	for i, a := range cfg.Platform.Addresses {
		urls[i] = "http://" + a.String()
	}
	return platform.Config{BaseURLs: urls, Timeout: cfg.Platform.Timeout.Std(), Wait: cfg.Platform.Wait.Std()}
}

// hello returns the Hello that the node sends to a peer at the start of a session.
func (n *Node) hello() *peerpb.Hello {
	h := &peerpb.Hello{
		Vm:             n.startSettings.VM.ID,
		Service:        n.startSettings.VM.Service,
		Domain:         n.startSettings.VM.Domain,
		Protocol:       session.Protocol,
		VmListRevision: n.state.Fleet().Revision,
		Leaving:        n.state.Leaving(),
	}
	if snap := n.state.Snapshot(); snap != nil {
		h.Held = &peerpb.Version{Sequence: snap.Version.Sequence, Digest: snap.Version.Digest[:]}
	}
	return h
}

// ServeStream implements peers.Handler: it serves a peer's request for releases, VM lists or
// records of crashes, or passes a call to the egress. It runs in one goroutine for each stream.
func (n *Node) ServeStream(ctx context.Context, from peers.Peer, req *peerpb.Request, st *session.Stream) {
	if n.serveSource(from, req, st) || n.quarantine.ServeStream(req, st) {
		return
	}
	if call := req.GetCall(); call != nil {
		n.egress.ServeCall(ctx, from, call, st)
	}
}
