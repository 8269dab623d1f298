package main

import (
	"auburnladder.example/node"
	"auburnladder.example/node/settings"
	"auburnladder.example/platform"
)

// watchTransferShare is the share of the time within which a change must be active that the
// response to a watch may take on the VM's link.
const watchTransferShare = 0.2

// maxWatchBytes returns the size of the largest response to a watch, 0 for the default.
func maxWatchBytes(cfg *settings.Settings) int {
	within := min(cfg.Platform.ApplyWithin, cfg.Platform.LeaveWithin).Std().Seconds()
	return int(min(cfg.VM.LinkBytesPerSecond()*watchTransferShare*within, platform.MaxWatchBytes))
}

// newStoreAdapter returns the adapter for the key-value store that the settings name, or
// nil if releases come from the project's own configuration service.
func newStoreAdapter(cfg *settings.Settings) *node.StoreAdapter {
	if cfg.Platform.Kind != settings.SourceStore {
		return nil
	}
	client := platform.NewClient(platform.ClientConfig{
		Address: cfg.Platform.Addresses[0],
		Timeout: cfg.Platform.Timeout.Std(),

		MaxWatchBytes: maxWatchBytes(cfg),
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
