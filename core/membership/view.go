package membership

import (
	"iter"
	"slices"
	"strings"

	"auburnladder.example/core/vmlist"
)

// Member is one VM as a view shows it. The VM must not be changed.
type Member struct {
	VM          *vmlist.VM
	State       State
	Incarnation uint64
}

// View is the fleet as one node sees it, in order of VM id. It is immutable.
type View struct {
	// Generation grows by one with each view of a machine.
	Generation uint64
	// ListRevision is the revision of the published list that the view rests on.
	ListRevision uint64
	layout       *layout
	members      []Member
}

// layout holds the indexes of one published list. Views of that list share it.
type layout struct {
	revision  uint64
	vms       []vmlist.VM
	byID      map[string]int
	byService map[string][]int
	byDomain  map[string][]int
}

func newLayout(list *vmlist.List) *layout {
	l := &layout{
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
	return &View{layout: newLayout(&vmlist.List{})}
}

// Len returns the number of members.
func (v *View) Len() int {
	return len(v.members)
}

// Members returns all members in order of VM id.
func (v *View) Members() iter.Seq[Member] {
	return slices.Values(v.members)
}

// Get returns the member with the given VM id.
func (v *View) Get(id string) (Member, bool) {
	i, found := v.layout.byID[id]
	if !found {
		return Member{}, false
	}
	return v.members[i], true
}

// Service returns the members of a service in order of VM id.
func (v *View) Service(name string) iter.Seq[Member] {
	return v.at(v.layout.byService[name])
}

// Domain returns the members of a failure domain in order of VM id.
func (v *View) Domain(name string) iter.Seq[Member] {
	return v.at(v.layout.byDomain[name])
}

// Count returns the number of members in a state.
func (v *View) Count(s State) int {
	n := 0
	for _, m := range v.members {
		if m.State == s {
			n++
		}
	}
	return n
}

func (v *View) at(indexes []int) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, i := range indexes {
			if !yield(v.members[i]) {
				return
			}
		}
	}
}
