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
	excludedCold    = "cold: this node's next request to it is not due"
	excludedSuspect = "suspect: used only if no other server is left"
)

// Tables provides the routing tables of the node. The ingress router implements it.
type Tables interface {
	// Table returns the routing table of a service, or nil if there is none.
	Table(service string) *routing.Table
}

// Origins of an exclusion or of a cold time.
const (
	byList     = "the published list"
	byReply    = "a reply of its node"
	byProbes   = "probes and what other nodes say"
	byAttempts = "this node's attempts"
)

// candidates returns the current status of each listed server of a service as this node sees
// it, in the order of the VM list. A server without a routing table entry has weight 1. s is the request,
// nil if there is none.
func (q *Querier) candidates(service string, s *subject) []statusapi.Candidate {
	fleet := q.State.Fleet()
	endpoints := q.endpoints(service)
	var candidates []statusapi.Candidate
	for _, vm := range fleet.VMs {
		if vm.Service != service {
			continue
		}
		c := statusapi.Candidate{VM: vm.ID, Domain: vm.Domain, Service: service, Weight: 1, LoadAgeMs: -1}
		c.Excluded, c.ExcludedBy = exclusionReason(fleet, vm.ID)
		if ep, found := endpoints[vm.ID]; found {
			now := q.Now()
			ep.addCallState(&c, now)
			if q.Work != nil {
				c.Expected = ep.expectedDelay(now, s)
			}
			if s != nil {
				c.Wait = reportedWait(now, ep.Endpoint, s.rank)
			}
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// endpoint is a server with the table that contains it.
type endpoint struct {
	*routing.Endpoint
	table *routing.Table
}

// endpoints returns the endpoints of a service by VM ID; nil without a routing table.
func (q *Querier) endpoints(service string) map[string]endpoint {
	if q.Tables == nil {
		return nil
	}
	t := q.Tables.Table(service)
	if t == nil {
		return nil
	}
	byVM := make(map[string]endpoint, len(t.Endpoints))
	for _, e := range t.Endpoints {
		byVM[e.VM] = endpoint{Endpoint: e, table: t}
	}
	return byVM
}

// addCallState adds to c the load, the weight, the cold time and the exclusion that this node derived from
// calls. An exclusion that c already has stays.
func (e endpoint) addCallState(c *statusapi.Candidate, now time.Time) {
	c.InFlight = e.InFlight()
	c.Load = e.Load(now)
	c.Weight = e.Weight(now, e.table.SlowStart)
	if age, known := e.LoadAge(now); known {
		c.LoadAgeMs = age.Milliseconds()
	}
	state := e.Condition(now)
	if cold := state.Cold; cold.Left > 0 {
		c.Cold = &statusapi.ColdServer{
			LeftMs: cold.Left.Milliseconds(), By: byList, SharePerSecond: cold.PerSecond, NextMs: cold.Next.Milliseconds(),
		}
		if cold.Heard {
			c.Cold.By = byReply
		}
	}
	if c.Excluded == "" {
		e.exclude(c, now, state)
	}
}

// exclude sets the exclusion that follows from calls. Blocked and Suspect decide, as in the pickers; state
// says why.
func (e endpoint) exclude(c *statusapi.Candidate, now time.Time, state routing.Condition) {
	blocked := e.Blocked(now)
	switch {
	case blocked && state.Evacuated:
		c.Excluded, c.ExcludedBy = excludedEvacuated, byList
	case blocked && state.Listed:
		c.Excluded, c.ExcludedBy = excludedLeaving, byList
	case blocked && state.Leaving > 0:
		c.Excluded, c.ExcludedBy, c.ExcludedForMs = excludedLeaving, byReply, state.Leaving.Milliseconds()
	case blocked && state.Refused >= state.Cold.Next:
		c.Excluded, c.ExcludedBy, c.ExcludedForMs = excludedBlocked, byReply, state.Refused.Milliseconds()
	case blocked:
		c.Excluded, c.ExcludedBy, c.ExcludedForMs = excludedCold, c.Cold.By, state.Cold.Next.Milliseconds()
	case e.Ejected(now):
		c.Excluded, c.ExcludedBy, c.ExcludedForMs = excludedEjected, byAttempts, state.Ejected.Milliseconds()
	case e.Suspect(now):
		c.Excluded, c.ExcludedBy, c.ExcludedForMs = excludedSuspect, byAttempts, state.Unreachable.Milliseconds()
	}
}

// exclusionReason returns why and by whose word an evacuation, the VM list or probing excludes a VM, or "" if
// none does.
func exclusionReason(fleet *state.Fleet, vm string) (reason, by string) {
	if e := fleet.Evacuated(fleet.VM(vm).Domain); e != nil {
		return evacuationReason(e), "key " + e.Key
	}
	if fleet.VM(vm).Leaving {
		return excludedLeaving, byList
	}
	switch fleet.Health(vm) {
	case membership.Dead:
		return excludedDead, byProbes
	case membership.Leaving:
		return excludedLeaving, byProbes
	default:
		return "", ""
	}
}

// peerStatuses returns the health of every other listed VM in the membership view.
func (q *Querier) peerStatuses(fleet *state.Fleet) []statusapi.PeerStatus {
	statuses := make([]statusapi.PeerStatus, 0, len(fleet.VMs))
	for _, vm := range fleet.VMs {
		if vm.ID != q.State.Identity.VM {
			statuses = append(statuses, statusapi.PeerStatus{VM: vm.ID, State: fleet.Health(vm.ID).String()})
		}
	}
	return statuses
}
