package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnladder.example/core/vmlist"
)

// rankedVM is a VM with its rendezvous hashing score.
type rankedVM struct {
	vm    *vmlist.VM
	score uint64
}

// score returns a hash of the parts.
func score(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		// Writes to an xxhash.Digest never fail.
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// sortByScore sorts by descending score, then by id.
func sortByScore(ranked []rankedVM) {
	slices.SortFunc(ranked, func(a, b rankedVM) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.ID, b.vm.ID)
	})
}

// Readers returns the ids of the up to k VMs in a failure domain that watch the platform,
// chosen by rendezvous hashing. Two views that differ in one VM differ in at most one
// reader.
func Readers(vms []vmlist.VM, domain string, k int) []string {
	var ranked []rankedVM
	for i := range vms {
		if vms[i].Domain == domain {
			ranked = append(ranked, rankedVM{vm: &vms[i], score: score("reader", domain, vms[i].ID)})
		}
	}
	sortByScore(ranked)
	ids := make([]string, 0, k)
	for _, r := range ranked[:min(k, len(ranked))] {
		ids = append(ids, r.vm.ID)
	}
	return ids
}

// allReaders returns the readers of all failure domains, in an order that is the same on
// all nodes with the same view.
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

// Neighbours returns the peers to which self opens sessions. The first local one is the
// successor of self on a hash ring of its failure domain, and the first remote one the
// successor on a hash ring of the whole fleet, so that nodes with equal views form a
// connected graph. The others are chosen by rendezvous hashing of the pair of VM ids. Of
// these, the remote ones are in distinct failure domains, and one is in another region if
// there is any.
func Neighbours(vms []vmlist.VM, self vmlist.VM, local, remote int) []vmlist.VM {
	var chosen []vmlist.VM
	addUnique := func(vm *vmlist.VM) {
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
	addUnique(successor(vms, self.ID, inDomain))
	for _, vm := range topByPairScore(vms, self, local, inDomain) {
		if len(chosen) < local {
			addUnique(vm)
		}
	}
	if remote > 0 {
		addUnique(successor(vms, self.ID, func(*vmlist.VM) bool { return true }))
		for _, vm := range remoteNeighbours(vms, self, remote-1) {
			addUnique(vm)
		}
	}
	return chosen
}

// remoteNeighbours returns up to n VMs in distinct failure domains other than that of
// self. The first one is in another region if there is any.
func remoteNeighbours(vms []vmlist.VM, self vmlist.VM, n int) []*vmlist.VM {
	var chosen []*vmlist.VM
	used := make(map[string]bool)
	addFromNewDomains := func(keep func(*vmlist.VM) bool) {
		for _, vm := range topByPairScore(vms, self, len(vms), keep) {
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
	for _, vm := range topByPairScore(vms, self, 1, func(vm *vmlist.VM) bool { return vm.Region != self.Region }) {
		used[vm.Domain] = true
		chosen = append(chosen, vm)
	}
	addFromNewDomains(func(vm *vmlist.VM) bool { return vm.Domain != self.Domain })
	return chosen
}

// topByPairScore returns the n VMs accepted by keep that have the highest pair score with
// self.
func topByPairScore(vms []vmlist.VM, self vmlist.VM, n int, keep func(*vmlist.VM) bool) []*vmlist.VM {
	var ranked []rankedVM
	for i := range vms {
		vm := &vms[i]
		if vm.ID != self.ID && keep(vm) {
			ranked = append(ranked, rankedVM{vm: vm, score: score("pair", self.ID, vm.ID)})
		}
	}
	sortByScore(ranked)
	top := make([]*vmlist.VM, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		top = append(top, r.vm)
	}
	return top
}

// successor returns the VM that follows self on the hash ring of the VMs accepted by
// keep, or nil if there are none.
func successor(vms []vmlist.VM, self string, keep func(*vmlist.VM) bool) *vmlist.VM {
	selfScore := score("ring", self)
	var next, first *vmlist.VM
	var nextScore, firstScore uint64
	for i := range vms {
		vm := &vms[i]
		if vm.ID == self || !keep(vm) {
			continue
		}
		s := score("ring", vm.ID)
		if s > selfScore && (next == nil || s < nextScore) {
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
