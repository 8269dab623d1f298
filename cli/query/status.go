package query

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
)

func registerStatus(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("status", "Show which release is in force on each node, which node lags and why.")
	flags := addFleetFlags(cmd)
	format := console.FormatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return status(c, flags, *format) })
}

// nodeRow is the status of one VM in the output of status.
type nodeRow struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Held is the active release of the node; zero if it has none or is unreachable.
	Held release.Version `json:"held"`
	// HeldFor is how long Held has been active, in seconds, by the node's own clock.
	HeldFor float64 `json:"held_for_s"`
	// Reader reports whether the node watches the platform's service.
	Reader bool `json:"reader"`
	// State is the drain state of the node, with that of its server if the server is
	// down, or stateUnreachable.
	State string `json:"state"`
	// Reason says why the node does not hold the newest release; "" if it does.
	Reason string `json:"reason,omitempty"`

	// status is nil if the node is unreachable.
	status *statusapi.Status
}

// fleetStatus is the JSON output of status.
type fleetStatus struct {
	// Newest is the newest release that any node holds.
	Newest release.Version `json:"newest"`
	// Active counts the VMs that hold Newest.
	Active int `json:"in_force"`
	// Conflicts lists pairs of different releases with the same sequence number that
	// no newer release has replaced.
	Conflicts []statusapi.Conflict `json:"conflicts,omitempty"`
	// Refused lists releases newer than Newest that nodes refused.
	Refused []refusal `json:"refused,omitempty"`
	// Readers counts the VMs that watch the platform's service, and ReadersFailing
	// those of them whose last requests got no response.
	Readers        int `json:"readers"`
	ReadersFailing int `json:"readers_failing"`
	// Evacuations lists the evacuated failure domains.
	Evacuations []evacuation `json:"evacuations,omitempty"`
	VMs         []nodeRow    `json:"vms"`
}

// refusal is a release that one or more nodes refused for the same reason.
type refusal struct {
	Version release.Version `json:"version"`
	Reason  string          `json:"reason"`
	VMs     []string        `json:"vms"`
}

// stateUnreachable is the state of a VM without an admin address or whose node did
// not return its own status.
const stateUnreachable = "unreachable"

func status(c *console.Console, flags *fleetFlags, format string) error {
	client := flags.client(c)
	source, err := flags.loadVMs(client)
	if err != nil {
		return err
	}
	rows := fleet.Each(client, source.vms, func(vm vmlist.VM) nodeRow { return queryStatus(client, vm) })
	addPeerViews(rows, source)
	result := summarize(rows)
	if format == console.FormatJSON {
		return c.JSON(result)
	}
	return printStatus(c, result)
}

// queryStatus returns the row of one VM. It reports errors in the row's Reason.
func queryStatus(client *fleet.Client, vm vmlist.VM) nodeRow {
	row := nodeRow{VM: vm.ID, Service: vm.Service, Domain: vm.Domain, State: stateUnreachable}
	if !vm.Admin.IsValid() {
		row.Reason = "the list of VMs gives no admin address"
		return row
	}
	s, err := client.BriefStatus(vm.Admin)
	if err != nil {
		row.Reason = err.Error()
		return row
	}
	if s.VM != vm.ID {
		row.Reason = fmt.Sprintf("node %q answers at %s", s.VM, vm.Admin)
		return row
	}
	row.Held = s.Held
	if !s.Held.IsZero() {
		row.HeldFor = s.Now.Sub(s.HeldSince).Seconds()
	}
	row.Reader = s.Reader
	row.State = string(s.Drain)
	if s.Server == statusapi.ServerDown {
		row.State += ", server " + string(s.Server)
	}
	if s.Load.ColdMS > 0 {
		row.State += fmt.Sprintf(", server cold (%s)", s.Load.ColdReason)
	}
	row.status = s
	return row
}

// addPeerViews appends to the reason of each unreachable VM its membership state as
// seen by the node that supplied the list.
func addPeerViews(rows []nodeRow, source *vmSource) {
	for i := range rows {
		if view := source.peerView(rows[i].VM); rows[i].State == stateUnreachable && view != "" {
			rows[i].Reason += "; " + view
		}
	}
}

// summarize sorts rows by service and VM, sets the reason of each node that does not
// hold the newest release, and returns the totals of the fleet.
func summarize(rows []nodeRow) fleetStatus {
	result := fleetStatus{VMs: rows}
	for i := range rows {
		if rows[i].Held.Newer(result.Newest) {
			result.Newest = rows[i].Held
		}
	}
	for i := range rows {
		row := &rows[i]
		if row.status == nil {
			continue
		}
		result.addConflicts(row.status.Conflicts)
		result.addRefusals(row)
		result.addEvacuations(row)
		result.countReader(row.status)
		if row.Held == result.Newest {
			result.Active++
			continue
		}
		row.Reason = lagReason(row.status, result.Newest)
	}
	result.addUnaware()
	slices.SortFunc(rows, func(a, b nodeRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.VM, b.VM))
	})
	return result
}

// addConflicts adds each conflict once, without those that a newer release has
// resolved.
func (r *fleetStatus) addConflicts(conflicts []statusapi.Conflict) {
	for _, c := range conflicts {
		if c.Kept.Sequence < r.Newest.Sequence {
			continue
		}
		known := slices.ContainsFunc(r.Conflicts, func(o statusapi.Conflict) bool {
			return o.Kept == c.Kept && o.Dropped == c.Dropped
		})
		if !known {
			r.Conflicts = append(r.Conflicts, c)
		}
	}
}

func (r *fleetStatus) countReader(s *statusapi.Status) {
	if !s.Reader {
		return
	}
	r.Readers++
	if s.SourceFailing {
		r.ReadersFailing++
	}
}

// addRefusals adds the VM to the refusals of releases newer than Newest, grouped by
// release and reason.
func (r *fleetStatus) addRefusals(row *nodeRow) {
	for _, refused := range row.status.Refused {
		if !refused.Version.Newer(r.Newest) {
			continue
		}
		i := slices.IndexFunc(r.Refused, func(o refusal) bool {
			return o.Version == refused.Version && o.Reason == refused.Reason
		})
		if i < 0 {
			i = len(r.Refused)
			r.Refused = append(r.Refused, refusal{Version: refused.Version, Reason: refused.Reason})
		}
		r.Refused[i].VMs = append(r.Refused[i].VMs, row.VM)
	}
}

// lagReason says why a node does not hold newest.
func lagReason(s *statusapi.Status, newest release.Version) string {
	for _, refused := range s.Refused {
		if refused.Version == newest {
			return "refused " + newest.String() + ": " + refused.Reason
		}
	}
	if s.Held.IsZero() {
		return "holds no release yet"
	}
	return "has not put " + newest.String() + " in force yet"
}

func printStatus(c *console.Console, r fleetStatus) error {
	t := newTable(c.Out, "VM", "SERVICE", "DOMAIN", "RELEASE", "IN FORCE FOR", "READER", "STATE", "REASON")
	for _, row := range r.VMs {
		t.addRow(row.VM, row.Service, row.Domain, formatHeld(row), formatHeldFor(row), formatReader(row), row.State, row.Reason)
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, conflict := range r.Conflicts {
		c.Printf("conflict: releases %s and %s have one sequence number; publish release %d to end it\n",
			conflict.Kept, conflict.Dropped, conflict.Kept.Sequence+1)
	}
	for _, refused := range r.Refused {
		c.Printf("refused: release %s by %d VMs: %s\n", refused.Version, len(refused.VMs), refused.Reason)
	}
	printEvacuations(c, r.Evacuations)
	if r.ReadersFailing > 0 {
		c.Printf("platform: no answer to %d of %d readers\n", r.ReadersFailing, r.Readers)
	}
	if r.Newest.IsZero() {
		c.Printf("none of %d VMs holds a release\n", len(r.VMs))
		return nil
	}
	c.Printf("%d of %d VMs hold %s\n", r.Active, len(r.VMs), r.Newest)
	return nil
}

// formatHeldFor returns the duration in whole seconds, or "-" without an active
// release.
func formatHeldFor(row nodeRow) string {
	if row.status == nil || row.Held.IsZero() {
		return "-"
	}
	return (time.Duration(row.HeldFor) * time.Second).String()
}

// formatHeld returns the active release, or "-" if the node is unreachable.
func formatHeld(row nodeRow) string {
	if row.status == nil {
		return "-"
	}
	return row.Held.String()
}

func formatReader(row nodeRow) string {
	switch {
	case row.status == nil:
		return "-"
	case row.Reader:
		return "yes"
	default:
		return "no"
	}
}
