package query

import (
	"fmt"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/state"
)

// excludedEvacuated begins the reason why the servers of an evacuated failure domain get no calls.
const excludedEvacuated = "evacuated"

// evacuations returns the evacuated failure domains of a fleet.
func (q *Querier) evacuations(fleet *state.Fleet) []statusapi.Evacuation {
	var list []statusapi.Evacuation
	for _, e := range fleet.Evacuations() {
		s := statusapi.Evacuation{Domain: e.Domain, Key: e.Key, Since: e.Since, Kept: e.Kept}
		if q.CopyAge != nil {
			s.CopyAgeMS = q.CopyAge().Milliseconds()
		}
		list = append(list, s)
	}
	return list
}

// evacuationReason returns why the servers of an evacuated failure domain get no calls.
func evacuationReason(e *state.Evacuation) string {
	return fmt.Sprintf("%s: domain %s by key %s", excludedEvacuated, e.Domain, e.Key)
}
