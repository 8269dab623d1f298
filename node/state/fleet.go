package state

import "auburnladder.example/core/vmlist"

// Fleet is an immutable VM list with its indexes.
type Fleet struct {
	Revision  uint64
	VMs       []vmlist.VM
	byID      map[string]*vmlist.VM
	byService map[string][]*vmlist.VM
}

func newFleet(l *vmlist.List) *Fleet {
	f := &Fleet{
		Revision:  l.Revision,
		VMs:       l.VMs,
		byID:      make(map[string]*vmlist.VM, len(l.VMs)),
		byService: make(map[string][]*vmlist.VM),
	}
	for i := range l.VMs {
		vm := &l.VMs[i]
		f.byID[vm.ID] = vm
		f.byService[vm.Service] = append(f.byService[vm.Service], vm)
	}
	return f
}

// VM returns the VM with the given id, or nil.
func (f *Fleet) VM(id string) *vmlist.VM {
	return f.byID[id]
}

// Servers returns the VMs of a service, leaving ones included.
func (f *Fleet) Servers(service string) []*vmlist.VM {
	return f.byService[service]
}
