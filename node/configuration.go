package node

import (
	core "auburnladder.example/core/distribution"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/distribution"
	"auburnladder.example/node/settings"
)

// distributionConfig returns the configuration of the distribution driver: the preset, with
// the platform's timeouts and the fleet size from the settings.
func (n *Node) distributionConfig(trust *release.Trust) distribution.Config {
	machine := core.Convergence()
	if n.cfg.Preset == settings.PresetBytes {
		machine = core.Bytes()
	}
	machine.SourceTimeout = n.cfg.Platform.Timeout.Std()
	machine.WatchWait = n.cfg.Platform.Wait.Std()
	machine.FleetSize = n.cfg.Platform.FleetSize
	vm := n.cfg.VM
	self := vmlist.VM{ID: vm.ID, Service: vm.Service, Domain: vm.Domain, Region: vm.Region, Peer: n.cfg.Listen.Peer}
	return distribution.Config{Machine: machine, Self: self, Trust: trust}
}

// fillStatus adds the node's reader role, the state of its source and the status and load
// of its backend server to s.
func (n *Node) fillStatus(s *statusapi.Status) {
	if n.follower != nil {
		s.SourceFailing = n.follower.Failing()
	} else {
		s.Reader = n.driver.Status().Reader
		s.SourceFailing = n.driver.SourceFailing()
	}
	s.Server, s.Load = n.egress.ServerStatus()
}
