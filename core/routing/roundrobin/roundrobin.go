// Package roundrobin chooses usable servers in turn. It is a baseline.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/routing"
)

// Picker implements routing.Picker. The turn is kept in the table.
type Picker struct{}

// Pick returns the next usable server; load and distance don't count.
func (Picker) Pick(now time.Time, _ rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	turn := t.Turn.Add(1)
	for _, strict := range []bool{true, false} {
		if e := t.Next(now, turn, strict, tried); e != nil {
			return routing.PickResult{Endpoint: e}
		}
	}
	return t.None(now, tried)
}
