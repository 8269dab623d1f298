package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// settle is longer than detection, suspicion, dead probing and spread together.
const settle = 2 * time.Minute

func isolated(vm string) func(from, to string) bool {
	return func(from, to string) bool { return from == vm || to == vm }
}

func TestFailureDetection(t *testing.T) {
	presets := map[string]Config{"default": DefaultConfig(), "convergence": Convergence(), "bytes": Bytes()}
	for name, cfg := range presets {
		Convey("Given ten nodes with the preset "+name, t, func() {
			So(cfg.Validate(), ShouldBeNil)
			net := newNetwork(cfg, 7, 10)
			net.run(10 * time.Second)
			target := vmID(4)
			So(net.everSeen(Suspect), ShouldBeEmpty)

			Convey("a killed node is dead everywhere, and alive again after its return", func() {
				net.nodes[4].running = false
				So(net.until(settle, func() bool { return net.agree(target, Dead) }), ShouldBeTrue)
				So(net.everSeen(Dead), ShouldResemble, []string{target})
				net.start(4, 0)
				net.step(net.nodes[4], ListPublished{List: testList(1, 10)})
				So(net.until(settle, func() bool { return net.agree(target, Alive) }), ShouldBeTrue)
			})
			Convey("a node that forgot its incarnation still leaves", func() {
				net.start(4, 7)
				net.step(net.nodes[4], ListPublished{List: testList(1, 10)})
				net.run(settle)
				net.start(4, 0)
				net.step(net.nodes[4], ListPublished{List: testList(1, 10)})
				net.step(net.nodes[4], SelfLeaving{Leaving: true})
				So(net.until(settle, func() bool { return net.agree(target, Leaving) }), ShouldBeTrue)
			})
			Convey("a false suspicion is refuted", func() {
				net.cut = isolated(target)
				So(net.until(settle, func() bool { return slices.Contains(net.everSeen(Suspect), target) }), ShouldBeTrue)
				net.cut = func(string, string) bool { return false }
				So(net.until(settle, func() bool { return net.agree(target, Alive) }), ShouldBeTrue)
				net.run(settle)
				So(net.everSeen(Dead), ShouldBeEmpty)
				m, _ := net.nodes[0].view.Get(target)
				So(m.Incarnation, ShouldBeGreaterThan, 0)
			})
			Convey("a node that was cut off alone takes nobody with it", func() {
				net.cut = isolated(target)
				So(net.until(settle, func() bool { return net.nodes[4].view.Count(Dead) > 0 }), ShouldBeTrue)
				net.cut = func(string, string) bool { return false }
				So(net.until(settle, func() bool { return net.showsTruth(nil) }), ShouldBeTrue)
				for i, node := range net.nodes {
					for vm, states := range node.seen {
						So(states[Dead] && i != 4 && vm != target, ShouldBeFalse)
					}
				}
			})
			Convey("a one-way cut between two nodes raises no suspicion", func() {
				net.cut = func(from, to string) bool { return from == vmID(1) && to == target }
				net.run(settle)
				So(net.everSeen(Suspect), ShouldBeEmpty)
			})
			Convey("two halves of a split fleet find each other again", func() {
				half := func(vm string) bool { return vm < vmID(5) }
				net.cut = func(from, to string) bool { return half(from) != half(to) }
				So(net.until(settle, func() bool {
					return net.nodes[0].view.Count(Dead) == 5 && net.nodes[9].view.Count(Dead) == 5
				}), ShouldBeTrue)
				net.cut = func(string, string) bool { return false }
				So(net.until(settle, func() bool {
					return !slices.ContainsFunc(net.nodes, func(n *testNode) bool { return n.view.Count(Alive) != 10 })
				}), ShouldBeTrue)
			})
			Convey("a leaving node is known to all, also one restarted since", func() {
				net.step(net.nodes[4], SelfLeaving{Leaving: true})
				So(net.until(time.Second, func() bool { return net.agree(target, Leaving) }), ShouldBeTrue)
				net.start(7, 0)
				net.step(net.nodes[7], ListPublished{List: testList(1, 10)})
				So(net.until(settle, func() bool { return net.agree(target, Leaving) }), ShouldBeTrue)
				net.step(net.nodes[4], SelfLeaving{Leaving: false})
				So(net.until(settle, func() bool { return net.agree(target, Alive) }), ShouldBeTrue)
			})
			Reset(func() { So(net.fault, ShouldBeNil) })
		})
	}
}

func TestPause(t *testing.T) {
	Convey("A node that was paused declares nobody dead and re-syncs", t, func() {
		for seed := range uint64(20) {
			net := newNetwork(DefaultConfig(), seed, 10)
			net.run(10 * time.Second)
			// The first to suspect node 4 is paused and misses the refutation.
			net.cut = isolated(vmID(4))
			paused := -1
			suspects := func(n *testNode) bool { return n.id != vmID(4) && n.seen[vmID(4)][Suspect] }
			So(net.until(settle, func() bool {
				paused = slices.IndexFunc(net.nodes, suspects)
				return paused >= 0
			}), ShouldBeTrue)
			net.pause(paused)
			net.cut = func(string, string) bool { return false }
			net.run(time.Minute)
			So(net.agree(vmID(paused), Dead), ShouldBeTrue)
			So(net.agree(vmID(4), Alive), ShouldBeTrue)
			net.resume(paused)
			So(net.until(settle, func() bool { return net.agree(vmID(paused), Alive) }), ShouldBeTrue)
			net.run(settle)
			So(net.nodes[paused].resyncs, ShouldEqual, 1)
			So(net.everSeen(Dead), ShouldResemble, []string{vmID(paused)})
			So(net.nodes[paused].view.Count(Alive), ShouldEqual, 10)
			So(net.fault, ShouldBeNil)
		}
	})
}

func TestLaggingList(t *testing.T) {
	Convey("Given a node whose list lags behind that of the others", t, func() {
		net := newNetwork(DefaultConfig(), 3, 5)
		for _, node := range net.nodes[1:] {
			net.step(node, ListPublished{List: testList(9, 6)})
		}
		vm := testList(9, 6).VMs[5]
		net.add(vm)
		net.start(5, 0)
		net.step(net.nodes[5], ListPublished{List: testList(9, 6)})
		net.run(settle)

		Convey("it answers the unlisted VM and nobody is suspected", func() {
			So(net.everSeen(Dead), ShouldBeEmpty)
			So(net.nodes[0].view.Len(), ShouldEqual, 5)
			So(net.nodes[1].view.Len(), ShouldEqual, 6)
		})
		Convey("what it heard of the VM before counts once the VM is listed", func() {
			net.step(net.nodes[5], SelfLeaving{Leaving: true})
			net.run(settle)
			net.step(net.nodes[0], ListPublished{List: testList(9, 6)})
			net.run(net.cfg.TickInterval)
			m, found := net.nodes[0].view.Get(vm.ID)
			So(found, ShouldBeTrue)
			So(m.State, ShouldEqual, Leaving)
		})
		Convey("an older list changes nothing", func() {
			net.step(net.nodes[1], ListPublished{List: testList(8, 2)})
			net.run(net.cfg.TickInterval)
			So(net.nodes[1].view.Len(), ShouldEqual, 6)
			So(net.nodes[1].view.ListRevision, ShouldEqual, 9)
		})
		Convey("a leaving mark in the list shows in the view", func() {
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
	Convey("A view lists its members by id, service and domain", t, func() {
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

// TestMerge checks that records form a join semilattice: any order and number of
// deliveries gives the same record.
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
			t.Fatalf("merged to %+v and %+v", got, want)
		}
		var again record
		for _, u := range want.updates("a") {
			again = again.merge(recordOf(u))
		}
		if again != want {
			t.Fatalf("%+v passed on as %+v", want, again)
		}
	})
}

// TestAnyFaults applies random faults, ends them, and checks that every running node
// comes to see the truth.
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
				net.cut = isolated(vmID(at))
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
		net.cut, net.loss = func(string, string) bool { return false }, 0
		for i := range net.nodes {
			net.resume(i)
		}
		ok := net.until(settle, func() bool { return net.showsTruth(leaving) })
		if !ok || net.fault != nil {
			t.Fatalf("fault %v, views: %s", net.fault, net.describe())
		}
	})
}

func (n *network) showsTruth(leaving map[int]bool) bool {
	for i, node := range n.nodes {
		want := Alive
		switch {
		case !node.running:
			want = Dead
		case leaving[i]:
			want = Leaving
		}
		if !n.agree(node.id, want) {
			return false
		}
	}
	return true
}

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

func TestLostDomain(t *testing.T) {
	Convey("The loss of a third of the fleet is known everywhere before each node could probe it", t, func() {
		const size = 60
		for seed := range uint64(5) {
			net := newNetwork(DefaultConfig(), seed, size)
			net.run(10 * time.Second)
			lost := func(n *testNode) bool { return !n.running }
			for i := range net.nodes {
				net.nodes[i].running = i%3 != 0
			}
			complete := func(n *testNode) bool { return lost(n) || n.view.Count(Dead) == size/3 }
			// A node alone needs one probe interval for each member.
			So(net.until(size*net.cfg.ProbeInterval, func() bool {
				return !slices.ContainsFunc(net.nodes, func(n *testNode) bool { return !complete(n) })
			}), ShouldBeTrue)
			So(net.everSeen(Dead), ShouldHaveLength, size/3)
			So(net.fault, ShouldBeNil)
		}
	})
}

func TestIdleTraffic(t *testing.T) {
	Convey("A quiet node sends two datagrams per probe interval at any fleet size", t, func() {
		for _, size := range []int{10, 300} {
			net := newNetwork(DefaultConfig(), 5, size)
			net.run(30 * time.Second)
			total := 0
			for _, node := range net.nodes {
				total += node.sent
			}
			So(float64(total)/float64(30*size), ShouldBeBetween, 1.8, 2.2)
			So(net.everSeen(Suspect), ShouldBeEmpty)
		}
	})
}
