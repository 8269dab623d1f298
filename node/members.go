package node

import (
	"auburnladder.example/core/membership"
	"auburnladder.example/node/probe"
	"auburnladder.example/node/settings"
)

// startProber opens the failure detector's listener and connects it to the node's state.
func (n *Node) startProber() error {
	prober, err := probe.Listen(n.cfg.Listen.Peer, probe.Options{
		VM:     n.cfg.VM.ID,
		Config: membershipConfig(n.cfg.Preset),
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

// applyMembershipView applies a new membership view to the request path and the distribution driver.
func (n *Node) applyMembershipView(view *membership.View) {
	n.command.ApplyView(view)
	n.driver.SetView(n.state.Fleet().Live())
}

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
