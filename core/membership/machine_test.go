package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// settleTimeout exceeds the total time of detection, suspicion, dead probing and
// dissemination.
const settleTimeout = 2 * time.Minute

// isolated returns a function for network.blocked that isolates one VM from all others.
func isolated(vm string) func(from, to string) bool {
	return func(from, to string) bool { return from == vm || to == vm }
}

// TestFailureDetection guards against missed failures and false positives: nodes that
// fail, restart, leave or are partitioned must get the correct state on all nodes, with
// each preset.
func TestFailureDetection(t *testing.T) {
	presets := map[string]Config{"default": DefaultConfig(), "convergence": Convergence(), "bytes": Bytes()}
	for name, cfg := range presets {
		Convey("Given ten nodes with the preset "+name, t, func() {
			So(cfg.Validate(), ShouldBeNil)
			net := newNetwork(cfg, 7, 10)
			net.run(10 * time.Second)
			target := vmID(4)
			So(net.vmsEverIn(Suspect), ShouldBeEmpty)

			Convey("a killed node becomes dead on all nodes, and alive again after a restart", func() {
				net.nodes[4].running = false
				So(net.runUntil(settleTimeout, func() bool { return net.allSee(target, Dead) }), ShouldBeTrue)
				So(net.vmsEverIn(Dead), ShouldResemble, []string{target})
				net.start(4, 0)
				net.step(net.nodes[4], ListPublished{List: testList(1, 10)})
				So(net.runUntil(settleTimeout, func() bool { return net.allSee(target, Alive) }), ShouldBeTrue)
			})
			Convey("a node that restarts with a lower incarnation can still announce that it is leaving", func() {
				net.start(4, 7)
				net.step(net.nodes[4], ListPublished{List: testList(1, 10)})
				net.run(settleTimeout)
				net.start(4, 0)
				net.step(net.nodes[4], ListPublished{List: testList(1, 10)})
				net.step(net.nodes[4], SelfLeaving{Leaving: true})
				So(net.runUntil(settleTimeout, func() bool { return net.allSee(target, Leaving) }), ShouldBeTrue)
			})
			Convey("a false suspicion is refuted", func() {
				net.blocked = isolated(target)
				So(net.runUntil(settleTimeout, func() bool { return slices.Contains(net.vmsEverIn(Suspect), target) }), ShouldBeTrue)
				net.blocked = func(string, string) bool { return false }
				So(net.runUntil(settleTimeout, func() bool { return net.allSee(target, Alive) }), ShouldBeTrue)
				net.run(settleTimeout)
				So(net.vmsEverIn(Dead), ShouldBeEmpty)
				m, _ := net.nodes[0].view.Get(target)
				So(m.Incarnation, ShouldBeGreaterThan, 0)
			})
			Convey("an isolated node does not make other nodes dead for the rest of the fleet", func() {
				net.blocked = isolated(target)
				So(net.runUntil(settleTimeout, func() bool { return net.nodes[4].view.Count(Dead) > 0 }), ShouldBeTrue)
				net.blocked = func(string, string) bool { return false }
				So(net.runUntil(settleTimeout, func() bool { return net.viewsMatchState(nil) }), ShouldBeTrue)
				for i, node := range net.nodes {
					for vm, states := range node.seen {
						So(states[Dead] && i != 4 && vm != target, ShouldBeFalse)
					}
				}
			})
			Convey("a one-way partition between two nodes causes no suspicion", func() {
				net.blocked = func(from, to string) bool { return from == vmID(1) && to == target }
				net.run(settleTimeout)
				So(net.vmsEverIn(Suspect), ShouldBeEmpty)
			})
			Convey("a fleet that was partitioned into two halves recovers", func() {
				half := func(vm string) bool { return vm < vmID(5) }
				net.blocked = func(from, to string) bool { return half(from) != half(to) }
				So(net.runUntil(settleTimeout, func() bool {
					return net.nodes[0].view.Count(Dead) == 5 && net.nodes[9].view.Count(Dead) == 5
				}), ShouldBeTrue)
				net.blocked = func(string, string) bool { return false }
				So(net.runUntil(settleTimeout, func() bool {
					return !slices.ContainsFunc(net.nodes, func(n *testNode) bool { return n.view.Count(Alive) != 10 })
				}), ShouldBeTrue)
			})
			Convey("all nodes see a leaving node as leaving, including one that restarted later", func() {
				net.step(net.nodes[4], SelfLeaving{Leaving: true})
				So(net.runUntil(time.Second, func() bool { return net.allSee(target, Leaving) }), ShouldBeTrue)
				net.start(7, 0)
				net.step(net.nodes[7], ListPublished{List: testList(1, 10)})
				So(net.runUntil(settleTimeout, func() bool { return net.allSee(target, Leaving) }), ShouldBeTrue)
				net.step(net.nodes[4], SelfLeaving{Leaving: false})
				So(net.runUntil(settleTimeout, func() bool { return net.allSee(target, Alive) }), ShouldBeTrue)
			})
			Reset(func() { So(net.violation, ShouldBeNil) })
		})
	}
}

// TestPause guards against false positives after a process pause. A paused node handles
// no acks and misses refutations, so it must not declare suspects dead when it resumes.
func TestPause(t *testing.T) {
	Convey("A node that resumes after a pause declares no other node dead and resyncs", t, func() {
		for seed := range uint64(20) {
			net := newNetwork(DefaultConfig(), seed, 10)
			net.run(10 * time.Second)
			// The first node to suspect node 4 is paused and misses the refutation.
			net.blocked = isolated(vmID(4))
			paused := -1
			suspects := func(n *testNode) bool { return n.id != vmID(4) && n.seen[vmID(4)][Suspect] }
			So(net.runUntil(settleTimeout, func() bool {
				paused = slices.IndexFunc(net.nodes, suspects)
				return paused >= 0
			}), ShouldBeTrue)
			net.pause(paused)
			net.blocked = func(string, string) bool { return false }
			net.run(time.Minute)
			So(net.allSee(vmID(paused), Dead), ShouldBeTrue)
			So(net.allSee(vmID(4), Alive), ShouldBeTrue)
			net.resume(paused)
			So(net.runUntil(settleTimeout, func() bool { return net.allSee(vmID(paused), Alive) }), ShouldBeTrue)
			net.run(settleTimeout)
			So(net.nodes[paused].resyncs, ShouldEqual, 1)
			So(net.vmsEverIn(Dead), ShouldResemble, []string{vmID(paused)})
			So(net.nodes[paused].view.Count(Alive), ShouldEqual, 10)
			So(net.violation, ShouldBeNil)
		}
	})
}

// TestLaggingList guards against nodes with an older VM list that ignore or suspect VMs
// which only the lists of other nodes contain.
func TestLaggingList(t *testing.T) {
	Convey("Given a node with an older VM list than the others", t, func() {
		net := newNetwork(DefaultConfig(), 3, 5)
		for _, node := range net.nodes[1:] {
			net.step(node, ListPublished{List: testList(9, 6)})
		}
		vm := testList(9, 6).VMs[5]
		net.add(vm)
		net.start(5, 0)
		net.step(net.nodes[5], ListPublished{List: testList(9, 6)})
		net.run(settleTimeout)

		Convey("it acks pings of the unlisted VM and no node is declared dead", func() {
			So(net.vmsEverIn(Dead), ShouldBeEmpty)
			So(net.nodes[0].view.Len(), ShouldEqual, 5)
			So(net.nodes[1].view.Len(), ShouldEqual, 6)
		})
		Convey("updates received about the VM before are applied once the VM is listed", func() {
			net.step(net.nodes[5], SelfLeaving{Leaving: true})
			net.run(settleTimeout)
			net.step(net.nodes[0], ListPublished{List: testList(9, 6)})
			net.run(net.cfg.TickInterval)
			m, found := net.nodes[0].view.Get(vm.ID)
			So(found, ShouldBeTrue)
			So(m.State, ShouldEqual, Leaving)
		})
		Convey("an older list is ignored", func() {
			net.step(net.nodes[1], ListPublished{List: testList(8, 2)})
			net.run(net.cfg.TickInterval)
			So(net.nodes[1].view.Len(), ShouldEqual, 6)
			So(net.nodes[1].view.ListRevision, ShouldEqual, 9)
		})
		Convey("a VM marked as leaving in the list is leaving in the view", func() {
			list := testList(10, 6)
			list.VMs[2].Leaving = true
			net.step(net.nodes[1], ListPublished{List: list})
			net.run(net.cfg.TickInterval)
			m, _ := net.nodes[1].view.Get(vmID(2))
			So(m.State, ShouldEqual, Leaving)
		})
	})
}

func TestViewIndexes(t *testing.T) {
	Convey("A view indexes its members by ID, service and failure domain", t, func() {
		list := testList(4, 7)
		slices.Reverse(list.VMs)
		net := newNetwork(DefaultConfig(), 1, 7)
		net.step(net.nodes[0], ListPublished{List: list})
		net.run(net.cfg.TickInterval)
		ids := func(members []Member) (out []string) {
			for _, m := range members {
				out = append(out, m.VM.ID)
			}
			return out
		}
		v := net.nodes[0].view
		So(slices.IsSorted(ids(slices.Collect(v.Members()))), ShouldBeTrue)
		So(ids(slices.Collect(v.Service("service-0"))), ShouldResemble, []string{vmID(0), vmID(3), vmID(6)})
		So(ids(slices.Collect(v.Domain("domain-2"))), ShouldResemble, []string{vmID(2), vmID(5)})
		So(slices.Collect(v.Service("absent")), ShouldBeEmpty)
		So(EmptyView().Len(), ShouldEqual, 0)
	})
}

// TestMerge checks that records form a join semilattice: updates delivered in any order
// and any number of times merge to the same record.
func TestMerge(t *testing.T) {
	updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Update {
		return Update{
			VM:          "a",
			State:       rapid.SampledFrom([]State{Alive, Suspect, Dead, Leaving}).Draw(t, "state"),
			Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		}
	}), 1, 8)
	rapid.Check(t, func(t *rapid.T) {
		all := updates.Draw(t, "updates")
		var want record
		for _, u := range all {
			want = want.merge(recordOf(u))
		}
		var got record
		for _, u := range rapid.Permutation(append(all, all...)).Draw(t, "delivered") {
			got = got.merge(recordOf(u))
		}
		if got != want {
			t.Fatalf("merged record %+v after reordered delivery, want %+v", got, want)
		}
		var again record
		for _, u := range want.updates("a") {
			again = again.merge(recordOf(u))
		}
		if again != want {
			t.Fatalf("record %+v decoded from its updates as %+v", want, again)
		}
	})
}

// TestAnyFaults injects random faults, ends them, and checks that the views of all running
// nodes converge to the actual state.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		net := newNetwork(Convergence(), rapid.Uint64().Draw(t, "seed"), size)
		node := rapid.IntRange(0, size-1)
		leaving := make(map[int]bool)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			at := node.Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, fmt.Sprintf("fault %d", i)) {
			case 0:
				net.nodes[at].running = false
			case 1:
				net.start(at, rapid.Uint64Range(0, 2).Draw(t, "incarnation"))
				net.step(net.nodes[at], ListPublished{List: testList(1, size)})
				delete(leaving, at)
			case 2:
				net.pause(at)
			case 3:
				net.resume(at)
			case 4:
				net.blocked = isolated(vmID(at))
			case 5:
				net.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			case 6:
				if net.nodes[at].running {
					net.step(net.nodes[at], SelfLeaving{Leaving: true})
					leaving[at] = true
				}
			}
			net.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		net.blocked, net.loss = func(string, string) bool { return false }, 0
		for i := range net.nodes {
			net.resume(i)
		}
		ok := net.runUntil(settleTimeout, func() bool { return net.viewsMatchState(leaving) })
		if !ok || net.violation != nil {
			t.Fatalf("views did not converge or violated an invariant: violation %v, views: %s", net.violation, net.describe())
		}
	})
}

// viewsMatchState reports whether all running nodes see the actual state of every node,
// given the nodes that are leaving.
func (n *network) viewsMatchState(leaving map[int]bool) bool {
	for i, node := range n.nodes {
		want := Alive
		switch {
		case !node.running:
			want = Dead
		case leaving[i]:
			want = Leaving
		}
		if !n.allSee(node.id, want) {
			return false
		}
	}
	return true
}

// describe formats the views of all nodes for a failure message.
func (n *network) describe() string {
	out := ""
	for _, node := range n.nodes {
		out += fmt.Sprintf("\n%s running=%t:", node.id, node.running)
		for m := range node.view.Members() {
			out += fmt.Sprintf(" %s/%d", m.State, m.Incarnation)
		}
	}
	return out
}

// TestLostDomain guards against slow dissemination when many members fail at once: all
// nodes must detect the loss before one node could have probed each member.
func TestLostDomain(t *testing.T) {
	Convey("All nodes detect the loss of a third of the fleet before one node could probe every member", t, func() {
		const size = 60
		for seed := range uint64(5) {
			net := newNetwork(DefaultConfig(), seed, size)
			net.run(10 * time.Second)
			lost := func(n *testNode) bool { return !n.running }
			for i := range net.nodes {
				net.nodes[i].running = i%3 != 0
			}
			complete := func(n *testNode) bool { return lost(n) || n.view.Count(Dead) == size/3 }
			// Without gossip, a node needs one probe interval per member.
			So(net.runUntil(size*net.cfg.ProbeInterval, func() bool {
				return !slices.ContainsFunc(net.nodes, func(n *testNode) bool { return !complete(n) })
			}), ShouldBeTrue)
			So(net.vmsEverIn(Dead), ShouldHaveLength, size/3)
			So(net.violation, ShouldBeNil)
		}
	})
}

// TestIdleTraffic guards against probe traffic that grows with the fleet size.
func TestIdleTraffic(t *testing.T) {
	Convey("A node without changes sends two datagrams per probe interval at any fleet size", t, func() {
		for _, size := range []int{10, 300} {
			net := newNetwork(DefaultConfig(), 5, size)
			net.run(30 * time.Second)
			total := 0
			for _, node := range net.nodes {
				total += node.sent
			}
			So(float64(total)/float64(30*size), ShouldBeBetween, 1.8, 2.2)
			So(net.vmsEverIn(Suspect), ShouldBeEmpty)
		}
	})
}
