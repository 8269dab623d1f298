package membership

import (
	"iter"
	"slices"
	"strings"

	"auburnladder.example/core/vmlist"
)

// Member is the state of one VM in a view. VM is shared and must not be modified.
type Member struct {
	VM          *vmlist.VM
	State       State
	Incarnation uint64
}

// View is a snapshot of the fleet as seen by one node, ordered by VM ID. It is
// immutable and safe for concurrent use.
type View struct {
	// Generation increases by one with each view of a machine, starting at 1.
	Generation uint64
	// ListRevision is the revision of the published list that the view is based on.
	ListRevision uint64
	index        *listIndex
	members      []Member
}

// listIndex holds the VMs of one published list, ordered by ID, and indexes into them.
// All views of that list share it.
type listIndex struct {
	revision  uint64
	vms       []vmlist.VM
	byID      map[string]int
	byService map[string][]int
	byDomain  map[string][]int
}

func newListIndex(list *vmlist.List) *listIndex {
	l := &listIndex{
		revision:  list.Revision,
		vms:       slices.Clone(list.VMs),
		byID:      make(map[string]int, len(list.VMs)),
		byService: make(map[string][]int),
		byDomain:  make(map[string][]int),
	}
	slices.SortFunc(l.vms, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	for i, vm := range l.vms {
		l.byID[vm.ID] = i
		l.byService[vm.Service] = append(l.byService[vm.Service], i)
		l.byDomain[vm.Domain] = append(l.byDomain[vm.Domain], i)
	}
	return l
}

// EmptyView returns a view without members, for use before the first Publish.
func EmptyView() *View {
	return &View{index: newListIndex(&vmlist.List{})}
}

// Len returns the number of members.
func (v *View) Len() int {
	return len(v.members)
}

// Members returns all members, ordered by VM ID.
func (v *View) Members() iter.Seq[Member] {
	return slices.Values(v.members)
}

// Get returns the member with the given VM ID and whether it is listed.
func (v *View) Get(id string) (Member, bool) {
	i, found := v.index.byID[id]
	if !found {
		return Member{}, false
	}
	return v.members[i], true
}

// Service returns the members of a service, ordered by VM ID.
func (v *View) Service(name string) iter.Seq[Member] {
	return v.membersAt(v.index.byService[name])
}

// Domain returns the members of a failure domain, ordered by VM ID.
func (v *View) Domain(name string) iter.Seq[Member] {
	return v.membersAt(v.index.byDomain[name])
}

// Count returns the number of members in the given state.
func (v *View) Count(s State) int {
	n := 0
	for _, m := range v.members {
		if m.State == s {
			n++
		}
	}
	return n
}

func (v *View) membersAt(indexes []int) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, i := range indexes {
			if !yield(v.members[i]) {
				return
			}
		}
	}
}
