package node

import (
	"errors"

	core "auburnladder.example/core/distribution"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/distribution"
	"auburnladder.example/node/settings"
)

// distributionConfig returns the preset with the platform's limits from the settings.
func (n *Node) distributionConfig(trust *release.Trust) distribution.Config {
	machine := core.Convergence()
	if n.cfg.Preset == settings.PresetBytes {
		machine = core.Bytes()
	}
	machine.SourceTimeout = n.cfg.Platform.Timeout.Std()
	machine.WatchWait = n.cfg.Platform.Wait.Std()
	vm := n.cfg.VM
	self := vmlist.VM{ID: vm.ID, Service: vm.Service, Domain: vm.Domain, Region: vm.Region, Peer: n.cfg.Listen.Peer}
	return distribution.Config{Machine: machine, Self: self, Trust: trust, Report: n.recordReport}
}

// journalKinds maps reports that change nothing to entries of the journal.
var journalKinds = map[core.ReportKind]statusapi.JournalKind{
	core.ReportPaused:       statusapi.JournalPaused,
	core.ReportStartedAlone: statusapi.JournalSourceFailed,
	core.ReportWithdrawn:    statusapi.JournalSourceBehind,
	core.ReportSourceBehind: statusapi.JournalSourceBehind,
	core.ReportOldBase:      statusapi.JournalReleaseOldBase,
}

// recordReport keeps a report of the distribution for operators.
func (n *Node) recordReport(r core.Report) {
	switch r.Kind {
	case core.ReportRefused, core.ReportIncomplete:
		n.command.RefuseRelease(r.Version, reasonOf(r))
	case core.ReportConflict:
		n.command.RecordConflict(r.Version, r.Other)
	default:
		if kind, known := journalKinds[r.Kind]; known {
			n.command.RecordEvent(kind, r.Version, r.Reason)
		}
	}
}

func reasonOf(r core.Report) error {
	if r.Field != "" {
		return &mesh.FieldError{Service: r.Service, Field: r.Field, Reason: r.Reason}
	}
	return errors.New(r.Reason)
}

// extendStatus adds the node's part in the distribution and what it knows of peers.
func (n *Node) extendStatus(s *statusapi.Status) {
	s.Reader = n.driver.Status().Reader
	for m := range n.prober.View().Members() {
		if m.VM.ID != n.cfg.VM.ID {
			s.Peers = append(s.Peers, statusapi.PeerStatus{VM: m.VM.ID, State: m.State.String()})
		}
	}
}
