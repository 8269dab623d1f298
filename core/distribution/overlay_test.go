package distribution

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/vmlist"
)

// countReachable returns the number of VMs that a message from the first VM reaches over
// the sessions that all VMs open.
func countReachable(vms []vmlist.VM, local, remote int) int {
	links := make(map[string][]string)
	for _, vm := range vms {
		for _, peer := range Neighbours(vms, vm, local, remote) {
			links[vm.ID] = append(links[vm.ID], peer.ID)
			links[peer.ID] = append(links[peer.ID], vm.ID)
		}
	}
	seen := map[string]bool{vms[0].ID: true}
	queue := []string{vms[0].ID}
	for len(queue) > 0 {
		for _, id := range links[queue[0]] {
			if !seen[id] {
				seen[id] = true
				queue = append(queue, id)
			}
		}
		queue = queue[1:]
	}
	return len(seen)
}

// A release reaches all nodes only if the sessions of all nodes form a connected graph.
// The test checks this for random fleets and both presets.
func TestOverlayIsConnected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := newFleet(rapid.IntRange(1, 120).Draw(rt, "nodes"), rapid.IntRange(1, 9).Draw(rt, "domains"))
		firstID := rapid.IntRange(0, 1000).Draw(rt, "names")
		for i := range vms {
			vms[i].ID = fmt.Sprintf("n%d", firstID+i)
		}
		for _, cfg := range []Config{Convergence(), Bytes()} {
			if got := countReachable(vms, cfg.LocalNeighbours, cfg.RemoteNeighbours); got != len(vms) {
				rt.Fatalf("overlay is not connected: a message from the first VM reaches %d of %d VMs", got, len(vms))
			}
		}
	})
}

// A view that changes by one VM must not reconnect the whole fleet or replace many
// readers, and neighbours in the local failure domain only would isolate the domain.
func TestOverlayChoice(t *testing.T) {
	vms := newFleet(90, 9)
	Convey("Each VM has 4 or 5 neighbours, at least one in its failure domain and one in another region", t, func() {
		for _, vm := range vms {
			chosen := Neighbours(vms, vm, 3, 2)
			So(len(chosen), ShouldBeBetweenOrEqual, 4, 5)
			So(slices.ContainsFunc(chosen, func(p vmlist.VM) bool { return p.Region != vm.Region }), ShouldBeTrue)
			So(slices.ContainsFunc(chosen, func(p vmlist.VM) bool { return p.Domain == vm.Domain }), ShouldBeTrue)
		}
	})
	Convey("Removing one VM changes at most one reader per domain and few sessions", t, func() {
		removed := vms[4]
		remaining := slices.DeleteFunc(slices.Clone(vms), func(vm vmlist.VM) bool { return vm.ID == removed.ID })
		for _, domain := range []string{"d0", "d4"} {
			before, after := Readers(vms, domain, 2), Readers(remaining, domain, 2)
			kept := slices.DeleteFunc(slices.Clone(before), func(id string) bool { return !slices.Contains(after, id) })
			So(len(kept), ShouldBeGreaterThanOrEqualTo, 1)
		}
		changed := 0
		for _, vm := range remaining {
			after := Neighbours(remaining, vm, 3, 2)
			for _, p := range Neighbours(vms, vm, 3, 2) {
				if p.ID != removed.ID && !slices.ContainsFunc(after, func(q vmlist.VM) bool { return q.ID == p.ID }) {
					changed++
				}
			}
		}
		So(changed, ShouldBeLessThanOrEqualTo, 3)
	})
}
