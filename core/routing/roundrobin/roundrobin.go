// Package roundrobin picks the usable servers in rotation. It serves as a baseline.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
)

// Picker implements routing.Picker. Its position in the rotation is Table.PickCount.
type Picker struct{}

// Pick returns the next usable server regardless of load and distance. Suspect servers are
// considered only if there is no other.
func (Picker) Pick(now time.Time, _ rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	offset := t.PickCount.Add(1)
	for _, strict := range []bool{true, false} {
		if e := t.NextUsable(now, offset, strict, tried); e != nil {
			return routing.PickResult{Endpoint: e}
		}
	}
	return t.Unavailable(now, tried)
}
