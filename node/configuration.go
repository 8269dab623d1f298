package node

import (
	core "auburnladder.example/core/distribution"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/distribution"
	"auburnladder.example/node/settings"
)

// distributionConfig returns the configuration of the distribution driver: the defaults of the
// preset, with the timeouts of the platform service and the fleet size from the settings.
func (n *Node) distributionConfig(trust *release.Trust) distribution.Config {
	cfg := core.Convergence()
	if n.startSettings.Preset == settings.PresetBytes {
		cfg = core.Bytes()
	}
	cfg.SourceTimeout = n.startSettings.Platform.Timeout.Std()
	cfg.WatchWait = n.startSettings.Platform.Wait.Std()
	cfg.FleetSize = n.startSettings.Platform.FleetSize
	vm := n.startSettings.VM
	self := vmlist.VM{ID: vm.ID, Service: vm.Service, Domain: vm.Domain, Region: vm.Region, Peer: n.startSettings.Listen.Peer}
	return distribution.Config{Machine: cfg, Self: self, Trust: trust}
}

// fillStatus adds to s whether the node is a reader, whether its source fails, and the status
// and load of its backend server. With a key-value store it also adds from which node changes
// are taken and how old the copy of the store may be.
func (n *Node) fillStatus(s *statusapi.Status) {
	if n.follower != nil {
		status := n.follower.Status()
		s.Reader, s.SourceParent, s.SourceAgeMS = status.ReadsStore, status.Parent, status.Age.Milliseconds()
		s.SourceFailing = n.follower.Failing()
	} else {
		s.Reader = n.driver.Status().Reader
		s.SourceFailing = n.driver.SourceFailing()
	}
	s.Server, s.Load = n.egress.ServerStatus()
}
