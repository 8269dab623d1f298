package query

import (
	"time"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/state"
)

// Reasons why this node sends no calls to a server, or only if no other server is left.
// Operators read them in the response to an explain request.
const (
	excludedLeaving = "leaving"
	excludedDead    = "dead: its node answers no probe"
	excludedEjected = "ejected: it failed more often than the others"
	excludedBlocked = "refused a call: no further calls until its backoff expires"
	excludedSuspect = "suspect: used only if no other server is left"
)

// Tables returns the routing table of a service, or nil if there is none.
type Tables interface {
	Table(service string) *routing.Table
}

// candidates returns the current status of each server of a service from this node's view.
func (r *Reader) candidates(service string) []statusapi.Candidate {
	fleet := r.State.Fleet()
	known := r.endpoints(service)
	var all []statusapi.Candidate
	for _, vm := range fleet.VMs {
		if vm.Service != service {
			continue
		}
		c := statusapi.Candidate{VM: vm.ID, Domain: vm.Domain, Weight: 1, Excluded: exclusionReason(fleet, vm.ID)}
		if k, found := known[vm.ID]; found {
			k.describe(&c, r.Now())
		}
		all = append(all, c)
	}
	return all
}

// endpoint is a server with the slow-start duration of its service.
type endpoint struct {
	*routing.Endpoint
	slowStart time.Duration
}

// endpoints returns the endpoints of a service by VM ID; nil without a routing table.
func (r *Reader) endpoints(service string) map[string]endpoint {
	if r.Tables == nil {
		return nil
	}
	t := r.Tables.Table(service)
	if t == nil {
		return nil
	}
	byVM := make(map[string]endpoint, len(t.Endpoints))
	for _, e := range t.Endpoints {
		byVM[e.VM] = endpoint{Endpoint: e, slowStart: t.SlowStart}
	}
	return byVM
}

// describe adds the load, the weight and the exclusion that this node derived from calls.
func (e endpoint) describe(c *statusapi.Candidate, now time.Time) {
	c.InFlight = e.InFlight()
	c.Load = e.Load(now)
	c.Weight = e.Weight(now, e.slowStart)
	if c.Excluded != "" {
		return
	}
	switch {
	case e.Ejected(now):
		c.Excluded = excludedEjected
	case e.Blocked(now):
		c.Excluded = excludedBlocked
	case e.Suspect(now):
		c.Excluded = excludedSuspect
	}
}

// exclusionReason returns why the VM list or probing excludes a VM, or "" if neither does.
func exclusionReason(fleet *state.Fleet, vm string) string {
	if fleet.VM(vm).Leaving {
		return excludedLeaving
	}
	switch fleet.Health(vm) {
	case membership.Dead:
		return excludedDead
	case membership.Leaving:
		return excludedLeaving
	default:
		return ""
	}
}

// peers returns the health of every other VM in the membership view.
func (r *Reader) peers(fleet *state.Fleet) []statusapi.PeerStatus {
	all := make([]statusapi.PeerStatus, 0, len(fleet.VMs))
	for _, vm := range fleet.VMs {
		if vm.ID != r.State.Identity.VM {
			all = append(all, statusapi.PeerStatus{VM: vm.ID, State: fleet.Health(vm.ID).String()})
		}
	}
	return all
}
