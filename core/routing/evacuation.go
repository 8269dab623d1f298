package routing

import (
	"slices"
	"time"

	"auburnladder.example/core/steady"
)

// setEvacuated sets whether the failure domain of the server is evacuated. The end of an evacuation begins
// the warm-up anew: the server had no requests meanwhile and may be cold.
func (e *Endpoint) setEvacuated(now time.Time, evacuated bool) {
	if e.evacuated.Swap(evacuated) && !evacuated {
		e.warmUpStart.Store(steady.Nanos(now))
	}
}

// Evacuated reports whether the failure domain of the server is evacuated.
func (e *Endpoint) Evacuated() bool { return e.evacuated.Load() }

func (t *Table) anyEvacuated() bool {
	return slices.ContainsFunc(t.Endpoints, func(e *Endpoint) bool { return e.Evacuated() })
}

// AppendDomain appends all servers in a failure domain to a list of servers that were tried.
func (t *Table) AppendDomain(tried []*Endpoint, domain string) []*Endpoint {
	for _, e := range t.Endpoints {
		if e.Domain == domain && !containsVM(tried, e.VM) {
			tried = append(tried, e)
		}
	}
	return tried
}
