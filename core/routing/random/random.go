// Package random chooses any usable server with equal chance. It is a baseline.
package random

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
)

// Picker implements routing.Picker. It has no state.
type Picker struct{}

// Pick draws one server; load and distance don't count.
func (Picker) Pick(now time.Time, rnd rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	for _, strict := range []bool{true, false} {
		if e := t.Sample(now, rnd, t.All(strict), tried, nil); e != nil {
			return routing.PickResult{Endpoint: e}
		}
	}
	return t.None(now, tried)
}
