package node

import (
	"auburnladder.example/core/membership"
	"auburnladder.example/node/probe"
	"auburnladder.example/node/settings"
)

// startProber opens the socket of the failure detector and connects the detector to the node's
// state. The detector starts with prober.Run.
func (n *Node) startProber() error {
	prober, err := probe.Listen(n.startSettings.Listen.Peer, probe.Options{
		VM:     n.startSettings.VM.ID,
		Config: membershipConfig(n.startSettings.Preset),
		Held:   n.held,
		OnView: n.applyMembershipView,
		Log:    n.log,
	})
	if err != nil {
		return err
	}
	n.prober = prober
	n.command.Members = prober
	return nil
}

// applyMembershipView applies a new membership view to the request path and the distribution
// driver. The prober calls it.
func (n *Node) applyMembershipView(view *membership.View) {
	n.command.ApplyView(view)
	n.driver.SetView(n.state.Fleet().Live())
}

// membershipConfig returns the configuration of the failure detector for a preset.
func membershipConfig(p settings.Preset) membership.Config {
	if p == settings.PresetBytes {
		return membership.Bytes()
	}
	return membership.Convergence()
}

// held returns the VM list revision and the release version that this node reports to the
// members it probes.
func (n *Node) held() probe.Held {
	h := probe.Held{VMListRevision: n.state.Fleet().Revision}
	if snap := n.state.Snapshot(); snap != nil {
		h.Release = snap.Version
	}
	return h
}
