package egress

import (
	"strconv"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/wire/peerpb"
)

// noWait is the report of a server with free slots for all ranks. It is shared by replies and must not
// be changed.
var noWait = []uint32{0}

// reportWaits sets the expected waits of a load report.
func (e *Egress) reportWaits(load *peerpb.Load) {
	waits, known := e.limiter.RankWaits()
	if !known {
		return
	}
	ms := make([]uint32, 0, routing.WaitRanks)
	for _, w := range waits {
		wait := uint32(min(w.Wait/time.Millisecond, routing.WaitRefused-1))
		if w.Refusing {
			wait = routing.WaitRefused + min(wait, maxRefusedWait)
		}
		ms = append(ms, wait)
	}
	// The last value stands for all further ranks.
	for len(ms) > 1 && ms[len(ms)-1] == ms[len(ms)-2] {
		ms = ms[:len(ms)-1]
	}
	if len(ms) == 1 && ms[0] == 0 {
		ms = noWait
	}
	load.WaitMs = ms
}

// maxRefusedWait is the longest wait in milliseconds that is reported for a rank that is refused.
const maxRefusedWait = 5000

// publishRankMetrics updates the gauges of each rank.
func (e *Egress) publishRankMetrics() {
	for rank, l := range e.limiter.RankLoads() {
		suffix := "_rank_" + strconv.Itoa(rank)
		egressStats.Set("queued"+suffix, gauge(l.Queued))
		egressStats.Set("running"+suffix, gauge(l.Running))
		egressStats.Set("reserved"+suffix, gauge(l.Reserved))
	}
}

// countRankRefusal counts a call that got no slot.
func countRankRefusal(rank uint32) {
	egressStats.Add("refused_rank_"+strconv.Itoa(int(min(rank, routing.WaitRanks-1))), 1)
}
