package state

import (
	"slices"

	"auburnladder.example/core/vmlist"
)

// maxLeavingRuns bounds the runs that are remembered. The oldest are dropped first: their
// servers have long ended.
const maxLeavingRuns = 1024

// leavingRuns is the runs of backend servers that announced that they leave. It is immutable.
type leavingRuns struct {
	known map[vmlist.Run]bool
	// order holds the runs as they became known.
	order []vmlist.Run
}

func (l *leavingRuns) contains(run vmlist.Run) bool { return l.known[run] }

// with returns the runs with another one.
func (l *leavingRuns) with(run vmlist.Run) *leavingRuns {
	kept := l.order[max(0, len(l.order)-maxLeavingRuns+1):]
	next := &leavingRuns{order: append(slices.Clone(kept), run), known: make(map[vmlist.Run]bool)}
	for _, r := range next.order {
		next.known[r] = true
	}
	return next
}
