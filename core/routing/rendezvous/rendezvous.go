// Package rendezvous implements routing by rendezvous hashing: all nodes pick the same server for
// a key as long as they agree on which servers are usable.
package rendezvous

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnladder.example/core/routing"
)

// Picker implements routing.Picker for the requests with one key.
type Picker struct {
	Key uint64
}

// Pick returns the usable server with the highest score for the key, regardless of load and
// distance. Suspect servers are considered only if there is no other.
func (p Picker) Pick(now time.Time, _ rand.Source, t *routing.Table, tried []*routing.Endpoint) routing.PickResult {
	for _, strict := range []bool{true, false} {
		if e := t.Best(now, t.FullRange(strict), tried, p.score); e != nil {
			return routing.PickResult{Endpoint: e}
		}
	}
	return t.Unavailable(now, tried)
}

// score returns the score of a server for the key.
func (p Picker) score(e *routing.Endpoint) uint64 {
	h := xxhash.New()
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], p.Key)
	// Writes to an xxhash.Digest never fail.
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(e.VM)
	return h.Sum64()
}
