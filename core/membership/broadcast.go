package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	// updateOverhead is the encoded size of an Update without its VM id, in bytes.
	updateOverhead = 16
	// maxUpdateBytes bounds the encoded size of an Update that is passed on.
	maxUpdateBytes = 256
)

func (u Update) size() int {
	return len(u.VM) + updateOverhead
}

// pendingUpdate is a member whose record is news.
type pendingUpdate struct {
	vm string
	// sent counts how often this news was sent.
	sent int
}

// broadcastQueue holds the members whose records are still news. There is at most one
// entry for each member; fresh news about it replaces the old.
type broadcastQueue struct {
	entries []pendingUpdate
}

// add makes the record of a member news.
func (q *broadcastQueue) add(vm string) {
	q.remove(vm)
	q.entries = append(q.entries, pendingUpdate{vm: vm})
}

func (q *broadcastQueue) remove(vm string) {
	q.entries = slices.DeleteFunc(q.entries, func(e pendingUpdate) bool { return e.vm == vm })
}

func (q *broadcastQueue) clear() {
	q.entries = nil
}

// take returns updates of at most budget bytes, those least sent first, and forgets
// the members whose news was sent limit times.
func (q *broadcastQueue) take(budget, limit int, lookup func(vm string) []Update) []Update {
	slices.SortStableFunc(q.entries, func(a, b pendingUpdate) int { return cmp.Compare(a.sent, b.sent) })
	var out []Update
	kept := q.entries[:0]
	for _, e := range q.entries {
		updates := lookup(e.vm)
		size := totalSize(updates)
		if size <= budget {
			budget -= size
			out = append(out, updates...)
			e.sent++
		}
		if e.sent < limit && len(updates) > 0 {
			kept = append(kept, e)
		}
	}
	q.entries = kept
	return out
}

func totalSize(updates []Update) int {
	total := 0
	for _, u := range updates {
		total += u.size()
	}
	return total
}

// retransmitLimit returns how often one update is sent in a fleet of n members.
func (c Config) retransmitLimit(n int) int {
	return c.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(n+1))))
}
