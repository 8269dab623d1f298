package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnladder.example/core/vmlist"
)

// rank is a VM with its rendezvous score.
type rank struct {
	vm    *vmlist.VM
	score uint64
}

func score(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		// Writes to a Digest never fail.
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func sortRanks(ranks []rank) {
	slices.SortFunc(ranks, func(a, b rank) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.ID, b.vm.ID)
	})
}

// Readers returns the ids of the k VMs of a failure domain that watch the platform.
// Two views that differ in one VM differ in at most one reader.
func Readers(vms []vmlist.VM, domain string, k int) []string {
	var ranks []rank
	for i := range vms {
		if vms[i].Domain == domain {
			ranks = append(ranks, rank{vm: &vms[i], score: score("reader", domain, vms[i].ID)})
		}
	}
	sortRanks(ranks)
	ids := make([]string, 0, k)
	for _, r := range ranks[:min(k, len(ranks))] {
		ids = append(ids, r.vm.ID)
	}
	return ids
}

// allReaders returns the readers of all failure domains in an order that is the same
// on all nodes with the same view.
func allReaders(vms []vmlist.VM, k int) []string {
	seen := make(map[string]bool)
	var readers []string
	for i := range vms {
		if domain := vms[i].Domain; !seen[domain] {
			seen[domain] = true
			readers = append(readers, Readers(vms, domain, k)...)
		}
	}
	slices.SortFunc(readers, func(a, b string) int {
		if c := cmp.Compare(score("primary", a), score("primary", b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return readers
}

// Neighbours returns the peers to which self opens sessions. The first local one is
// the successor on a ring of the failure domain and the first remote one the successor
// on a ring of the whole fleet, so that equal views give a connected graph. The others
// are chosen by rendezvous hashing of the pair, remote ones from distinct domains and
// one from another region, if there is any.
func Neighbours(vms []vmlist.VM, self vmlist.VM, local, remote int) []vmlist.VM {
	var chosen []vmlist.VM
	add := func(vm *vmlist.VM) {
		if vm == nil {
			return
		}
		for i := range chosen {
			if chosen[i].ID == vm.ID {
				return
			}
		}
		chosen = append(chosen, *vm)
	}
	inDomain := func(vm *vmlist.VM) bool { return vm.Domain == self.Domain }
	add(successor(vms, self.ID, inDomain))
	for _, vm := range topPairs(vms, self, local, inDomain) {
		if len(chosen) < local {
			add(vm)
		}
	}
	if remote > 0 {
		add(successor(vms, self.ID, func(*vmlist.VM) bool { return true }))
		for _, vm := range remoteNeighbours(vms, self, remote-1) {
			add(vm)
		}
	}
	return chosen
}

// remoteNeighbours returns n VMs of other failure domains, each of another domain as
// long as there are any, the first one of another region if there is one.
func remoteNeighbours(vms []vmlist.VM, self vmlist.VM, n int) []*vmlist.VM {
	var chosen []*vmlist.VM
	used := make(map[string]bool)
	pick := func(keep func(*vmlist.VM) bool) {
		for _, vm := range topPairs(vms, self, len(vms), keep) {
			if len(chosen) >= n {
				return
			}
			if !used[vm.Domain] {
				used[vm.Domain] = true
				chosen = append(chosen, vm)
			}
		}
	}
	if n <= 0 {
		return nil
	}
	for _, vm := range topPairs(vms, self, 1, func(vm *vmlist.VM) bool { return vm.Region != self.Region }) {
		used[vm.Domain] = true
		chosen = append(chosen, vm)
	}
	pick(func(vm *vmlist.VM) bool { return vm.Domain != self.Domain })
	return chosen
}

// topPairs returns the n VMs with the highest score together with self.
func topPairs(vms []vmlist.VM, self vmlist.VM, n int, keep func(*vmlist.VM) bool) []*vmlist.VM {
	var ranks []rank
	for i := range vms {
		vm := &vms[i]
		if vm.ID != self.ID && keep(vm) {
			ranks = append(ranks, rank{vm: vm, score: score("pair", self.ID, vm.ID)})
		}
	}
	sortRanks(ranks)
	top := make([]*vmlist.VM, 0, n)
	for _, r := range ranks[:min(n, len(ranks))] {
		top = append(top, r.vm)
	}
	return top
}

// successor returns the VM that follows self on the ring of all kept VMs, ordered by
// the hash of their ids.
func successor(vms []vmlist.VM, self string, keep func(*vmlist.VM) bool) *vmlist.VM {
	own := score("ring", self)
	var next, first *vmlist.VM
	var nextScore, firstScore uint64
	for i := range vms {
		vm := &vms[i]
		if vm.ID == self || !keep(vm) {
			continue
		}
		s := score("ring", vm.ID)
		if s > own && (next == nil || s < nextScore) {
			next, nextScore = vm, s
		}
		if first == nil || s < firstScore {
			first, firstScore = vm, s
		}
	}
	if next != nil {
		return next
	}
	return first
}
