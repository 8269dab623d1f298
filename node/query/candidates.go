package query

import (
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/core/statusapi"
)

// Reasons for which a server gets no work from this node.
const (
	excludedLeaving = "leaving"
	excludedEjected = "ejected: it failed more often than the others"
	excludedBlocked = "leaving, or refused a call and asked to be left alone"
	excludedSuspect = "suspect: used only if no other server is left"
)

// candidates describes the servers of a service as this node sees them now.
func (r *Reader) candidates(service string) []statusapi.Candidate {
	if r.Directory != nil {
		if t := r.Directory.Table(service); t != nil {
			return tableCandidates(t, r.Now())
		}
	}
	var all []statusapi.Candidate
	for _, vm := range r.State.Fleet().Servers(service) {
		c := statusapi.Candidate{VM: vm.ID, Domain: vm.Domain, Weight: 1}
		if vm.Leaving {
			c.Excluded = excludedLeaving
		}
		all = append(all, c)
	}
	return all
}

func tableCandidates(t *routing.Table, now time.Time) []statusapi.Candidate {
	all := make([]statusapi.Candidate, 0, len(t.Endpoints))
	for _, e := range t.Endpoints {
		all = append(all, statusapi.Candidate{
			VM:       e.VM,
			Domain:   e.Domain,
			Excluded: excluded(e, now),
			InFlight: e.InFlight(),
			Load:     e.Load(now),
			Weight:   e.Weight(now, t.SlowStart),
		})
	}
	return all
}

func excluded(e *routing.Endpoint, now time.Time) string {
	switch {
	case e.Ejected(now):
		return excludedEjected
	case e.Blocked(now):
		return excludedBlocked
	case e.Suspect(now):
		return excludedSuspect
	default:
		return ""
	}
}
