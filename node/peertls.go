package node

import (
	"auburnladder.example/node/budget"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/peertls"
	"auburnladder.example/node/settings"
	"github.com/rs/zerolog"
)

// peersConfig returns the configuration of the sessions with peers.
func (n *Node) peersConfig() peers.Config {
	cfg := peers.DefaultConfig()
	cfg.Session.Queue = budget.New("session_queue_bytes", n.startSettings.VM.SessionQueueBytes())
	if n.tls != nil {
		cfg.Transport = n.tls
	}
	return cfg
}

// newPeerTLS returns the mutual TLS transport between nodes, or nil if the settings select
// plaintext connections.
func newPeerTLS(cfg *settings.Settings, log zerolog.Logger) (*peertls.Transport, error) {
	if cfg.PeerTLS.Mode != settings.PeerTLSMutual {
		log.Warn().Str("event", "peers-plain").Msg("connections between nodes are plaintext: mutual TLS is not enabled in the settings")
		return nil, nil
	}
	files := &peertls.Files{Cert: cfg.PeerTLS.Cert, Key: cfg.PeerTLS.Key, CA: cfg.PeerTLS.CA}
	return peertls.New(cfg.VM.ID, files, log)
}
