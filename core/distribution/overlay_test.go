package distribution

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/vmlist"
)

// reach returns the number of VMs that a message from the first one reaches over the
// sessions that all VMs open.
func reach(vms []vmlist.VM, local, remote int) int {
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

func TestOverlayIsConnected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := fleet(rapid.IntRange(1, 120).Draw(rt, "nodes"), rapid.IntRange(1, 9).Draw(rt, "domains"))
		shift := rapid.IntRange(0, 1000).Draw(rt, "names")
		for i := range vms {
			vms[i].ID = fmt.Sprintf("n%d", shift+i)
		}
		for _, cfg := range []Config{Convergence(), Bytes()} {
			if got := reach(vms, cfg.LocalNeighbours, cfg.RemoteNeighbours); got != len(vms) {
				rt.Fatalf("a message reaches %d of %d VMs", got, len(vms))
			}
		}
	})
}

func TestOverlayChoice(t *testing.T) {
	vms := fleet(90, 9)
	Convey("Neighbours are bounded, and remote ones lie in other domains and regions", t, func() {
		for _, vm := range vms {
			chosen := Neighbours(vms, vm, 3, 2)
			So(len(chosen), ShouldBeBetweenOrEqual, 4, 5)
			So(slices.ContainsFunc(chosen, func(p vmlist.VM) bool { return p.Region != vm.Region }), ShouldBeTrue)
			So(slices.ContainsFunc(chosen, func(p vmlist.VM) bool { return p.Domain == vm.Domain }), ShouldBeTrue)
		}
	})
	Convey("One VM less changes at most one reader and few sessions", t, func() {
		gone := vms[4]
		rest := slices.DeleteFunc(slices.Clone(vms), func(vm vmlist.VM) bool { return vm.ID == gone.ID })
		for _, domain := range []string{"d0", "d4"} {
			before, after := Readers(vms, domain, 2), Readers(rest, domain, 2)
			kept := slices.DeleteFunc(slices.Clone(before), func(id string) bool { return !slices.Contains(after, id) })
			So(len(kept), ShouldBeGreaterThanOrEqualTo, 1)
		}
		changed := 0
		for _, vm := range rest {
			after := Neighbours(rest, vm, 3, 2)
			for _, p := range Neighbours(vms, vm, 3, 2) {
				if p.ID != gone.ID && !slices.ContainsFunc(after, func(q vmlist.VM) bool { return q.ID == p.ID }) {
					changed++
				}
			}
		}
		So(changed, ShouldBeLessThanOrEqualTo, 3)
	})
}
