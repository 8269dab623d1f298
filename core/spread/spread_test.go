package spread

import (
	"fmt"
	"testing"
	"time"

	"auburnladder.example/core/vmlist"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// root returns the node that reads the store in a fleet without faults.
func (n *network) root() *simNode {
	return n.byID[NewTree(n.vms).members[0].vm.ID]
}

// Guards against calls of the store that grow with the fleet, and against changes that arrive
// late where nothing fails.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	Convey("In a fleet without faults one node watches the store, and changes arrive within a tenth of the bound", t, func() {
		for _, size := range []int{10, 60, 300, 2500} {
			n := newNetwork(size, 5, 1)
			n.run(3 * time.Second)
			atStart := n.calls
			So(n.freshNodes(), ShouldEqual, size)
			const span = 20 * time.Second
			n.run(span)
			perSecond := float64(n.calls-atStart) / span.Seconds()
			SoMsg(fmt.Sprint(size), perSecond, ShouldBeLessThan, 2)
			before := n.calls
			for range 10 {
				n.change()
				n.run(n.cfg.Within / 10)
				SoMsg(fmt.Sprint(size), n.freshNodes(), ShouldEqual, size)
				n.run(time.Second)
			}
			SoMsg(fmt.Sprint(size), n.calls-before, ShouldBeLessThan, 50)
			So(n.late, ShouldEqual, "")
		}
	})
}

// Guards against changes that a node in touch gets late because others are in trouble: killed,
// frozen, cut from the store or from the other nodes, in series and overlapping, the root and
// the heads most often.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{4, 10, 30, 60}).Draw(rt, "size")
		n := newNetwork(size, rapid.IntRange(1, 5).Draw(rt, "domains"), rapid.Uint64().Draw(rt, "seed"))
		n.run(4 * time.Second)
		order := NewTree(n.vms).members
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			position := min(rapid.IntRange(0, 1+size/3).Draw(rt, "position"), size-1)
			s := n.byID[order[position].vm.ID]
			span := time.Duration(rapid.IntRange(100, 8000).Draw(rt, "span")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				s.kill(time.Second)
			case 1:
				s.freeze(span)
			case 2:
				s.cut(&s.cutStore, span)
			case 3:
				s.cut(&s.cutPeers, span)
			case 4:
				n.down = true
				n.unstableUntil = n.now + span + calmSpan
				n.after(span, func() { n.down = false })
			}
			for range rapid.IntRange(0, 4).Draw(rt, "changes") {
				n.change()
				n.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond)
			}
		}
		n.change()
		n.run(20 * time.Second)
		n.change()
		n.run(n.cfg.Within)
		if n.late != "" {
			rt.Fatal(n.late)
		}
		if fresh := n.freshNodes(); fresh != size {
			rt.Fatalf("%d of %d nodes have the newest revision", fresh, size)
		}
	})
}

// Guards against all nodes reading the store when the one that reads it fails.
func TestNoHerdWhenTheRootFails(t *testing.T) {
	Convey("When the root is killed, frozen or cut from the store, few others call the store", t, func() {
		for name, fail := range map[string]func(*simNode){
			"killed": func(s *simNode) { s.kill(time.Minute) },
			"frozen": func(s *simNode) { s.freeze(time.Minute) },
			"cut":    func(s *simNode) { s.cut(&s.cutStore, time.Minute) },
		} {
			n := newNetwork(300, 5, 2)
			n.run(4 * time.Second)
			fail(n.root())
			before := n.calls
			n.run(30 * time.Second)
			t.Log(name, n.calls-before)
			SoMsg(name, n.calls-before, ShouldBeLessThan, 30*5)
			n.change()
			n.run(n.cfg.Within)
			So(n.late, ShouldEqual, "")
		}
	})
}

// Guards against a tree in which nodes take changes from each other in a circle, or cross the
// boundary of a domain more often than once.
func TestTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var vms []vmlist.VM
		for i := range rapid.IntRange(1, 40).Draw(rt, "size") {
			vms = append(vms, vmlist.VM{ID: fmt.Sprint("vm", i), Domain: fmt.Sprint("d", rapid.IntRange(0, 3).Draw(rt, "domain")), Leaving: rapid.IntRange(0, 5).Draw(rt, "leaving") == 0})
		}
		tree := NewTree(vms)
		rank := make(map[string]int)
		for i, m := range tree.members {
			rank[m.vm.ID] = i
		}
		roots, crossings := 0, make(map[string]int)
		suspects := make(map[string]bool)
		for _, vm := range vms {
			suspects[vm.ID] = rapid.IntRange(0, 3).Draw(rt, "suspect") == 0
		}
		for _, vm := range vms {
			if vm.Leaving {
				continue
			}
			p := tree.Place(vm.ID, vm.Domain, 3, func(string) bool { return false })
			if p.Parent == nil {
				roots++
			} else if p.Parent.Domain != vm.Domain {
				crossings[vm.Domain]++
			}
			// With suspects left out, parents still come before their children.
			p = tree.Place(vm.ID, vm.Domain, 3, func(id string) bool { return suspects[id] && id != vm.ID })
			if p.Parent != nil && rank[p.Parent.ID] >= rank[vm.ID] {
				rt.Fatalf("%s takes changes from %s, which comes after it", vm.ID, p.Parent.ID)
			}
		}
		if len(tree.members) > 0 && roots != 1 {
			rt.Fatalf("%d roots", roots)
		}
		for domain, count := range crossings {
			if count > 1 {
				rt.Fatalf("changes cross the boundary of %s %d times", domain, count)
			}
		}
	})
}

// Guards against an entry that names a machine without a node and makes it the root or the head of
// a domain, so that changes are late or all nodes read the store.
func TestMachineWithoutANodeAtTheRoot(t *testing.T) {
	Convey("Changes arrive in time at all other nodes, and few of them call the store", t, func() {
		for name, end := range map[string]func(*simNode){
			"refuses":         func(s *simNode) { s.kill(time.Hour) },
			"does not answer": func(s *simNode) { s.freeze(time.Hour) },
		} {
			for _, domain := range []string{"d0", "nowhere"} {
				n := newNetwork(60, 3, 7)
				absent := n.root()
				for i := range n.vms {
					if n.vms[i].ID == absent.vm.ID {
						n.vms[i].Domain = domain
					}
				}
				end(absent)
				n.run(4 * time.Second)
				before := n.calls
				for range 120 {
					n.change()
					n.run(time.Second)
				}
				SoMsg(name+" "+domain, n.late, ShouldEqual, "")
				SoMsg(name+" "+domain, n.freshNodes(), ShouldEqual, 59)
				SoMsg(name+" "+domain, n.calls-before, ShouldBeLessThan, 120*5)
			}
		}
	})
}
