package spread

import (
	"cmp"
	"slices"

	"auburnladder.example/core/vmlist"
	"github.com/cespare/xxhash/v2"
)

// Tree is the order in which the nodes of a fleet take changes from each other. All nodes with
// the same VM list have the same order. It is immutable.
//
// VMs are ordered by a hash of their ID. The first VM of the fleet reads the store. The first
// one of each failure domain, its head, takes changes from that VM or from the head of another
// domain; every other VM takes them from one of its own domain. So a change crosses the
// boundary of each domain once, and a parent always comes before its children, whatever nodes
// they leave out as suspect.
type Tree struct {
	members []member
}

// member is one VM with its position in the order.
type member struct {
	vm    *vmlist.VM
	score uint64
}

// NewTree returns the order of the VMs of a list. VMs that are leaving are left out: their
// nodes are about to stop.
func NewTree(vms []vmlist.VM) *Tree {
	t := &Tree{members: make([]member, 0, len(vms))}
	for i := range vms {
		if !vms[i].Leaving {
			t.members = append(t.members, member{vm: &vms[i], score: xxhash.Sum64String(vms[i].ID)})
		}
	}
	slices.SortFunc(t.members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	return t
}

// Place is the position of one node in a Tree.
type Place struct {
	// Parent is the VM from whose node this one takes changes; nil for the root, which reads
	// the store.
	Parent *vmlist.VM
	// Depth is the number of nodes between this one and the store, at least.
	Depth int
}

// Place returns the place of a VM, leaving out the VMs that are excluded. A VM that is not in
// the order gets a place as if it were the last of its domain; no node takes changes from it.
// fanout is the largest number of children of a node within its domain, and of a head among
// the other heads.
func (t *Tree) Place(self, domain string, fanout int, excluded func(id string) bool) Place {
	heads, local := t.usable(domain, excluded)
	position := slices.IndexFunc(local, func(m *vmlist.VM) bool { return m.ID == self })
	switch {
	case position > 0:
		return placeIn(local, position, fanout, headDepth(heads, local[0], fanout))
	case position < 0 && len(local) > 0:
		return placeIn(local, len(local), fanout, headDepth(heads, local[0], fanout))
	}
	position = slices.IndexFunc(heads, func(m *vmlist.VM) bool { return m.ID == self })
	if position < 0 {
		position = len(heads)
	}
	return placeIn(heads, position, fanout, 0)
}

// usable returns the first VM of each domain, in order, and the VMs of one domain, without
// those that are excluded.
func (t *Tree) usable(domain string, excluded func(id string) bool) (heads, local []*vmlist.VM) {
	known := make(map[string]bool)
	for _, m := range t.members {
		if excluded(m.vm.ID) {
			continue
		}
		if !known[m.vm.Domain] {
			known[m.vm.Domain] = true
			heads = append(heads, m.vm)
		}
		if m.vm.Domain == domain {
			local = append(local, m.vm)
		}
	}
	return heads, local
}

// placeIn returns the place at a position of a list that is a complete tree with the given
// fanout, whose first element has the depth first.
func placeIn(list []*vmlist.VM, position, fanout, first int) Place {
	if position == 0 {
		return Place{Depth: first}
	}
	p := Place{Parent: list[(position-1)/fanout], Depth: first}
	for ; position > 0; position = (position - 1) / fanout {
		p.Depth++
	}
	return p
}

// headDepth returns the depth of the head of a domain.
func headDepth(heads []*vmlist.VM, head *vmlist.VM, fanout int) int {
	return placeIn(heads, slices.Index(heads, head), fanout, 0).Depth
}
