// Package random picks any usable server with equal probability. It serves as a baseline.
package random

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
)

// Picker implements routing.Picker. It is stateless.
type Picker struct{}

// Pick returns a random usable server regardless of load and distance. Suspect servers are
// considered only if there is no other.
func (Picker) Pick(now time.Time, rnd rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	for _, strict := range []bool{true, false} {
		if e := t.Sample(now, rnd, t.FullRange(strict), tried, nil); e != nil {
			return routing.PickResult{Endpoint: e}
		}
	}
	return t.Unavailable(now, tried)
}
