package state

import (
	"slices"
	"time"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/vmlist"
)

// Fleet is an immutable VM list with the membership view that gives the health of its VMs, the evacuated
// failure domains, and indexes by ID and by service. Each change makes a new Fleet.
type Fleet struct {
	// Revision is the revision of the VM list, 0 before the first one.
	Revision uint64
	// since is when this list or its view was applied.
	since time.Time
	// VMs is a copy of the published list. Leaving is also set for VMs that the membership
	// view reports as leaving, and whose backend server announced that it leaves.
	VMs []vmlist.VM
	// list is the list as it was published.
	list    *vmlist.List
	view    *membership.View
	leaving *leavingRuns
	// evacuations are the evacuated failure domains.
	evacuations *evacuations
	byID        map[string]*vmlist.VM
	byService   map[string]*serviceVMs
}

// serviceVMs are the VMs of one service, in the order of the list.
type serviceVMs struct {
	all []*vmlist.VM
	// live are those that are not reported dead.
	live []*vmlist.VM
}

// usable returns the live VMs, or all VMs if more than half are reported dead. In that case
// the fault is more likely in the probing than in the VMs, and a call to a dead VM does no harm.
func (s *serviceVMs) usable() []*vmlist.VM {
	if 2*len(s.live) < len(s.all) {
		return s.all
	}
	return s.live
}

// Age returns the time since the list or its view last changed.
func (f *Fleet) Age(now time.Time) time.Duration { return now.Sub(f.since) }

func newFleet(l *vmlist.List, view *membership.View, leaving *leavingRuns, evacuated *evacuations) *Fleet {
	f := &Fleet{
		Revision: l.Revision,
		since:    time.Now(),
		VMs:      make([]vmlist.VM, len(l.VMs)),
		list:     l,
		view:     view,
		leaving:  leaving,

		evacuations: evacuated,

		byID:      make(map[string]*vmlist.VM, len(l.VMs)),
		byService: make(map[string]*serviceVMs),
	}
	copy(f.VMs, l.VMs)
	for i := range f.VMs {
		f.index(&f.VMs[i])
	}
	return f
}

// index adds vm to the indexes and sets its Leaving field if the view reports it as leaving or
// its backend server announced that it leaves.
func (f *Fleet) index(vm *vmlist.VM) {
	f.byID[vm.ID] = vm
	health := f.Health(vm.ID)
	if health == membership.Leaving || f.AnnouncedLeaving(vm.Run()) {
		vm.Leaving = true
	}
	vms := f.byService[vm.Service]
	if vms == nil {
		vms = &serviceVMs{}
		f.byService[vm.Service] = vms
	}
	vms.all = append(vms.all, vm)
	if health != membership.Dead {
		vms.live = append(vms.live, vm)
	}
}

// VM returns the VM with the given ID, or nil if it is not listed. The VM must not be changed.
func (f *Fleet) VM(id string) *vmlist.VM {
	return f.byID[id]
}

// AnnouncedLeaving reports whether a run of a backend server announced that it leaves.
func (f *Fleet) AnnouncedLeaving(run vmlist.Run) bool {
	return f.leaving.contains(run)
}

// Published returns the VM with the given ID as the platform lists it: its Leaving field
// doesn't depend on the membership view. It reports false if the VM is not listed.
func (f *Fleet) Published(id string) (vmlist.VM, bool) {
	for _, vm := range f.list.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return vmlist.VM{}, false
}

// Servers returns the VMs of a service that are not reported dead, including leaving ones.
// If more than half of them are reported dead, it returns all.
func (f *Fleet) Servers(service string) []*vmlist.VM {
	if s := f.byService[service]; s != nil {
		return s.usable()
	}
	return nil
}

// Usable returns the VMs that Servers returns for any service, in the order of the list.
func (f *Fleet) Usable() []*vmlist.VM {
	usable := make([]*vmlist.VM, 0, len(f.VMs))
	for i := range f.VMs {
		vm := &f.VMs[i]
		if slices.Contains(f.Servers(vm.Service), vm) {
			usable = append(usable, vm)
		}
	}
	return usable
}

// Health returns the state of the VM with the given ID in the membership view. A VM that is not
// in the view yet counts as alive.
func (f *Fleet) Health(id string) membership.State {
	m, known := f.view.Get(id)
	if !known {
		return membership.Alive
	}
	return m.State
}

// Live returns the VMs that are not reported dead, including leaving ones.
func (f *Fleet) Live() []vmlist.VM {
	live := make([]vmlist.VM, 0, len(f.VMs))
	for _, vm := range f.VMs {
		if f.Health(vm.ID) != membership.Dead {
			live = append(live, vm)
		}
	}
	return live
}
