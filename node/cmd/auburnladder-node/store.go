package main

import (
	"auburnladder.example/node"
	"auburnladder.example/node/settings"
	"auburnladder.example/platform"
)

// newStoreAdapter returns the adapter for the key-value store that the settings name, or
// nil if releases come from the project's own configuration service.
func newStoreAdapter(cfg *settings.Settings) *node.StoreAdapter {
	if cfg.Platform.Kind != settings.SourceStore {
		return nil
	}
	client := platform.NewClient(platform.ClientConfig{
		Address: cfg.Platform.Addresses[0],
		Timeout: cfg.Platform.Timeout.Std(),
	})
	decoder := &platform.Decoder{
		PeerPort:   cfg.Listen.Peer.Port(),
		CallerPort: cfg.Listen.Caller.Port(),
		AdminPort:  cfg.Listen.Admin.Port(),
		Regions:    cfg.Platform.Regions,
		Grace:      cfg.Stop.Grace.Std(),
	}
	return &node.StoreAdapter{Store: client, Decoder: decoder, Headers: platform.Headers()}
}
