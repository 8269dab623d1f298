package state

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	. "github.com/smartystreets/goconvey/convey"
)

// testVMs returns VMs of service "s" with the given IDs, each at its own loopback address.
func testVMs(ids ...string) []vmlist.VM {
	list := make([]vmlist.VM, len(ids))
	for i, id := range ids {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
		list[i] = vmlist.VM{ID: id, Service: "s", Domain: "d", Peer: peer}
	}
	return list
}

// viewAfter returns the last view that the membership state machine of VM a publishes within
// wait after it received the update that VM d is leaving. No probe is acked.
func viewAfter(list *vmlist.List, wait time.Duration) *membership.View {
	m := membership.New(membership.Identity{VM: "a"}, membership.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	start := time.Unix(0, 0)
	view := membership.EmptyView()
	step := func(now time.Time, ev membership.Event) {
		for _, action := range m.Step(now, ev) {
			if p, ok := action.(membership.Publish); ok {
				view = p.View
			}
		}
	}
	leavingUpdate := membership.Update{VM: "d", State: membership.Leaving, Incarnation: 1}
	message := membership.Message{Kind: membership.Ping, From: "b", Updates: []membership.Update{leavingUpdate}}
	step(start, membership.ListPublished{List: list})
	step(start, membership.Received{Message: message, Source: list.VMs[1].Peer})
	for t := time.Duration(0); t < wait; t += membership.DefaultConfig().TickInterval {
		step(start.Add(t), membership.Tick{})
	}
	return view
}

// Guards against a fleet that ignores the membership view, that returns no server of a service
// once all of them are reported dead because probing fails, or in which an older list or view
// replaces a newer one.
func TestFleetFollowsTheMembers(t *testing.T) {
	Convey("Given a list whose other VMs ack no probe and one of which is leaving", t, func() {
		list := &vmlist.List{Revision: 1, VMs: testVMs("a", "b", "c", "d")}
		earlyView := viewAfter(list, time.Second)
		lateView := viewAfter(list, 5*time.Minute)
		s := New(Identity{VM: "a"})
		So(s.ReplaceVMs(list), ShouldBeTrue)
		So(len(s.Fleet().Servers("s")), ShouldEqual, 4)
		So(s.ReplaceView(earlyView), ShouldBeTrue)
		So(len(s.Fleet().Servers("s")), ShouldEqual, 4)
		So(s.Fleet().VM("d").Leaving, ShouldBeTrue)
		So(s.ReplaceView(lateView), ShouldBeTrue)
		So(s.Fleet().Health("c"), ShouldEqual, membership.Dead)
		So(len(s.Fleet().Live()), ShouldEqual, 1)
		Convey("With most servers of a service dead, all of them are returned", func() {
			So(len(s.Fleet().Servers("s")), ShouldEqual, 4)
		})
		Convey("An older list or view changes nothing", func() {
			So(s.ReplaceVMs(&vmlist.List{Revision: 1}), ShouldBeFalse)
			So(s.ReplaceView(earlyView), ShouldBeFalse)
			So(len(s.Fleet().Live()), ShouldEqual, 1)
		})
		Convey("A newer list keeps the membership view", func() {
			So(s.ReplaceVMs(&vmlist.List{Revision: 2, VMs: testVMs("a", "c")}), ShouldBeTrue)
			So(len(s.Fleet().Servers("s")), ShouldEqual, 1)
			So(len(s.Fleet().Live()), ShouldEqual, 1)
		})
	})
}

// Guards against a rollback to an older release when releases arrive out of order. Of two
// releases with the same sequence number, the one with the higher digest is newer.
func TestInstallNeverGoesBack(t *testing.T) {
	Convey("Only a newer version replaces the held one", t, func() {
		s := New(Identity{})
		install := func(sequence uint64, first byte) bool {
			v := release.Version{Sequence: sequence, Digest: release.Digest{first}}
			return s.Install(&mesh.Snapshot{Version: v}, time.Unix(1, 0))
		}
		So(install(2, 5), ShouldBeTrue)
		So(install(1, 9), ShouldBeFalse)
		So(install(2, 5), ShouldBeFalse)
		So(install(2, 4), ShouldBeFalse)
		So(install(2, 6), ShouldBeTrue)
		So(install(3, 1), ShouldBeTrue)
		So(s.Snapshot().Version.Sequence, ShouldEqual, 3)
	})
}
