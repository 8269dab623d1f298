package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	// updateOverhead is the encoded size of an Update without its VM ID, in bytes.
	updateOverhead = 16
	// maxUpdateBytes is the maximum encoded size of an Update, in bytes. Larger received
	// updates are ignored.
	maxUpdateBytes = 256
)

// size returns the encoded size in bytes.
func (u Update) size() int {
	return len(u.VM) + updateOverhead
}

// pendingUpdate is a member whose record is to be disseminated.
type pendingUpdate struct {
	vm string
	// sent is the number of transmissions of the record.
	sent int
}

// broadcastQueue holds the members whose records are still to be disseminated. It has
// at most one entry per member; a newer update replaces the queued one.
type broadcastQueue struct {
	entries []pendingUpdate
}

// enqueue queues the record of a member, with its transmission count reset to zero.
func (q *broadcastQueue) enqueue(vm string) {
	q.remove(vm)
	q.entries = append(q.entries, pendingUpdate{vm: vm})
}

func (q *broadcastQueue) remove(vm string) {
	q.entries = slices.DeleteFunc(q.entries, func(e pendingUpdate) bool { return e.vm == vm })
}

func (q *broadcastQueue) clear() {
	q.entries = nil
}

// nextUpdates returns queued updates of at most budget bytes in total, those with the
// fewest transmissions first, and removes members after limit transmissions. lookup
// returns the current updates of a member, or none if it is no longer listed.
func (q *broadcastQueue) nextUpdates(budget, limit int, lookup func(vm string) []Update) []Update {
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

// retransmitLimit returns the number of transmissions of one update in a fleet of n
// members.
func (c Config) retransmitLimit(n int) int {
	return c.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(n+1))))
}
