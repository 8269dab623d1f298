package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
)

// started returns a network of 12 nodes in 4 domains in which release 12 is in force.
func started(t *testing.T, seed uint64) (*network, *built) {
	n := newNetwork(t, testConfig(), fleet(12, 4), seed)
	b := n.fixture.build(12, release.Digest{}, 12)
	n.publish(b)
	So(n.settle(b.version), ShouldBeTrue)
	return n, b
}

func TestRestart(t *testing.T) {
	Convey("Given release 13 in force and a source that went back to 12", t, func() {
		n, old := started(t, 1)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.publish(b)
		So(n.settle(b.version), ShouldBeTrue)
		n.setSource(old.value)
		n.run(time.Second)

		Convey("nodes that restart one after the other never serve 12", func() {
			for _, vm := range n.vms {
				n.kill(vm.ID)
				n.run(500 * time.Millisecond)
				n.start(vm.ID)
				n.run(5 * time.Second)
				So(n.nodes[vm.ID].served, ShouldResemble, []release.Version{b.version})
			}
			So(n.failures, ShouldBeEmpty)
		})
		Convey("all but one node may restart at once", func() {
			for _, vm := range n.vms[1:] {
				n.kill(vm.ID)
			}
			for _, vm := range n.vms[1:] {
				n.start(vm.ID)
			}
			So(n.settle(b.version), ShouldBeTrue)
			So(n.failures, ShouldBeEmpty)
		})
		Convey("when all nodes restart at once, the stale source is all that is left", func() {
			for _, vm := range n.vms {
				n.kill(vm.ID)
			}
			for _, vm := range n.vms {
				n.start(vm.ID)
			}
			So(n.settle(old.version), ShouldBeTrue)
		})
		Convey("a node cut off from all peers starts alone only after the bound and says so", func() {
			x := n.nodes[n.vms[0].ID]
			n.kill(x.vm.ID)
			for _, vm := range n.vms[1:] {
				n.pause(vm.ID)
			}
			n.start(x.vm.ID)
			n.run(n.cfg.StartAloneWait - time.Second)
			So(x.served, ShouldBeEmpty)
			n.run(5 * time.Second)
			So(x.served, ShouldResemble, []release.Version{old.version})
			So(x.reported(ReportStartedAlone), ShouldBeTrue)
		})
	})
}

func TestStartWaitsForSlowPeers(t *testing.T) {
	Convey("A reader that hears the stale source first waits for its peers", t, func() {
		f := newFixture()
		vms := fleet(2, 1)
		m := newMachine(t, f, testConfig(), vms[0], 1)
		old, b := f.build(12, release.Digest{}, 12), f.build(13, release.Digest{}, 13)
		m.Step(epoch, ViewChanged{VMs: vms})
		m.Step(epoch, VMListReceived{Revision: 1, Data: encodeList(vms)})
		m.Step(epoch, SourceValue{Key: release.CurrentKey, Revision: 1, Found: true, Value: old.value})
		_, applied := find[Apply](m.Step(epoch.Add(time.Millisecond), ChunksReceived{Chunks: old.allChunks()}))
		So(applied, ShouldBeFalse)
		actions := m.Step(epoch.Add(2*time.Millisecond), PeerVersions{Peer: vms[1].ID, Versions: Versions{Held: b.version}})
		_, applied = find[Apply](actions)
		So(applied, ShouldBeFalse)
		ask, _ := find[FetchManifest](actions)
		So(ask.Wanted, ShouldResemble, b.version)

		Convey("and an answer that the newer one overtook does not take the claim back", func() {
			actions := m.Step(epoch.Add(3*time.Millisecond), PeerVersions{Peer: vms[1].ID})
			_, applied = find[Apply](actions)
			So(applied, ShouldBeFalse)
		})

		Convey("and falls back once the peer answers that it holds it no more", func() {
			actions := m.Step(epoch.Add(3*time.Millisecond), ManifestReceived{Fetch: ask.Fetch, Peer: ask.Peer})
			apply, applied := find[Apply](actions)
			So(applied, ShouldBeTrue)
			So(apply.Snapshot.Version, ShouldResemble, old.version)
		})

		Convey("and does not fall back to the older one while a peer claims the newer, until the bound", func() {
			m.Step(epoch.Add(time.Millisecond), FetchFailed{Fetch: ask.Fetch, Peer: ask.Peer})
			at := epoch
			for ; at.Before(epoch.Add(m.cfg.StartAloneWait)); at = at.Add(m.cfg.TickInterval) {
				_, applied = find[Apply](m.Step(at, Tick{}))
				So(applied, ShouldBeFalse)
			}
			var apply Apply
			for end := at.Add(2 * time.Second); !applied && at.Before(end); at = at.Add(m.cfg.TickInterval) {
				apply, applied = find[Apply](m.Step(at, Tick{}))
			}
			So(applied, ShouldBeTrue)
			So(apply.Snapshot.Version, ShouldResemble, old.version)
		})
	})
}

func TestPause(t *testing.T) {
	Convey("Given a node that sleeps for 60 s while releases 13 and 14 come into force", t, func() {
		n, old := started(t, 2)
		x := n.nodes[n.vms[0].ID]
		n.pause(x.vm.ID)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.publish(b)
		n.run(30 * time.Second)
		b = n.fixture.build(14, b.version.Digest, 14)
		n.publish(b)
		n.run(30 * time.Second)

		Convey("it re-syncs before it announces or serves on", func() {
			actions := x.machine.Step(n.now, Tick{})
			phase, found := find[SetPhase](actions)
			So(found, ShouldBeTrue)
			So(phase.Phase, ShouldEqual, PhaseResyncing)
			_, announced := find[Announce](actions)
			So(announced, ShouldBeFalse)
			_, asked := find[Exchange](actions)
			So(asked, ShouldBeTrue)
		})
		Convey("it reaches 14 and nobody goes back", func() {
			n.resume(x.vm.ID)
			So(n.settle(b.version), ShouldBeTrue)
			So(n.failures, ShouldBeEmpty)
			So(x.reported(ReportPaused), ShouldBeTrue)
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("Given release 12 in force", t, func() {
		n, old := started(t, 3)
		stays := func() {
			n.run(20 * time.Second)
			So(n.converged(old.version), ShouldBeTrue)
			So(n.failures, ShouldBeEmpty)
		}

		Convey("a dangling route changes nothing and is reported with its field", func() {
			b := n.fixture.buildDangling(13, 1)
			n.source.chunks[b.manifest().Chunks[0].Digest] = b.allChunks()[0]
			n.setSource(b.value)
			stays()
			var fields []string
			for _, x := range n.nodes {
				for _, r := range x.reports {
					if r.Kind == ReportRefused {
						fields = append(fields, r.Service+" "+r.Field)
					}
				}
			}
			So(fields, ShouldContain, "a routes[0].service")
		})
		Convey("forged releases change nothing and take bounded memory", func() {
			m := n.nodes[n.vms[0].ID].machine
			for i := range 300 {
				b := n.fixture.build(uint64(100+i), old.version.Digest, i)
				m.Step(n.now, ManifestReceived{Peer: n.vms[1].ID, Approved: b.forge()})
			}
			So(len(m.refusals), ShouldEqual, maxRefusals)
			So(len(m.candidates), ShouldBeLessThanOrEqualTo, maxCandidates)
			stays()
		})
		Convey("a forged delta is refused and reported, and does not refuse the release", func() {
			m := n.nodes[n.vms[0].ID].machine
			b := n.fixture.build(13, old.version.Digest, 13)
			base, err := n.fixture.trust.Verify(old.approved)
			So(err, ShouldBeNil)
			target, err := n.fixture.trust.Verify(b.approved)
			So(err, ShouldBeNil)
			d := release.NewDelta(base, target)
			d.Approvals = b.forge().Approvals
			report, found := find[Report](m.Step(n.now, ManifestReceived{Peer: n.vms[1].ID, Delta: d}))
			So(found, ShouldBeTrue)
			So(report.Kind, ShouldEqual, ReportRefused)
			So(m.Versions().Held, ShouldResemble, old.version)
			n.publish(b)
			So(n.settle(b.version), ShouldBeTrue)
		})
		Convey("a release that is approved later is applied then", func() {
			b := n.fixture.build(13, old.version.Digest, 13)
			n.publish(b)
			n.setSource(encode(&release.Approved{Manifest: b.approved.Manifest}))
			stays()
			n.setSource(b.value)
			So(n.settle(b.version), ShouldBeTrue)
		})
		Convey("a manifest before its chunks waits for them, and joining nodes get 12", func() {
			b := n.fixture.build(13, old.version.Digest, 13)
			n.releases[b.version] = b
			n.setSource(b.value)
			stays()
			n.kill(n.vms[0].ID)
			n.start(n.vms[0].ID)
			stays()
			n.publish(b)
			So(n.settle(b.version), ShouldBeTrue)
		})
		Convey("a withdrawn and an older release change nothing and are reported", func() {
			b := n.fixture.build(13, old.version.Digest, 13)
			n.publish(b)
			So(n.settle(b.version), ShouldBeTrue)
			n.setSource(nil)
			n.run(time.Second)
			n.setSource(old.value)
			n.run(20 * time.Second)
			So(n.converged(b.version), ShouldBeTrue)
			So(n.anyReported(ReportWithdrawn), ShouldBeTrue)
			So(n.anyReported(ReportSourceBehind), ShouldBeTrue)
		})
	})
}

func TestOperatorRaces(t *testing.T) {
	Convey("Two releases 13 on different sides end at the same one, and the loser is reported", t, func() {
		n, old := started(t, 4)
		a, b := n.fixture.build(13, old.version.Digest, 1), n.fixture.build(13, old.version.Digest, 2)
		n.setCut("d0", true)
		n.publish(a)
		n.run(2 * time.Second)
		n.setCut("d0", false)
		n.setCut("d1", true)
		n.publish(b)
		n.run(2 * time.Second)
		n.setCut("d1", false)
		winner := newConflict(a.version, b.version, true).Winner
		So(n.settle(winner), ShouldBeTrue)
		So(n.failures, ShouldBeEmpty)
		So(n.anyReported(ReportConflict), ShouldBeTrue)
		So(n.nodes[n.vms[1].ID].machine.Status().Conflicts, ShouldNotBeEmpty)

		Convey("until 14 comes, whose old base is reported", func() {
			c := n.fixture.build(14, old.version.Digest, 3)
			n.publish(c)
			So(n.settle(c.version), ShouldBeTrue)
			So(n.anyReported(ReportOldBase), ShouldBeTrue)
		})
	})
}

func TestRepair(t *testing.T) {
	Convey("Lost announcements are repaired while the source is down", t, func() {
		n, old := started(t, 5)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.loss = 1
		n.publish(b)
		n.run(500 * time.Millisecond)
		So(n.newest(), ShouldResemble, b.version)
		So(n.converged(b.version), ShouldBeFalse)
		n.source.down = true
		n.loss = 0
		So(n.settle(b.version), ShouldBeTrue)
	})
}

func TestSilentPeer(t *testing.T) {
	Convey("A silent announcer is replaced by the next one after the timeout", t, func() {
		f := newFixture()
		vms := fleet(4, 1)
		m := newMachine(t, f, testConfig(), vms[0], 1)
		m.Step(epoch, ViewChanged{VMs: vms})
		b := f.build(13, release.Digest{}, 13)
		v := Versions{Held: b.version}
		first, _ := find[FetchManifest](m.Step(epoch, PeerVersions{Peer: vms[1].ID, Versions: v}))
		So(first.Peer, ShouldEqual, vms[1].ID)
		_, again := find[FetchManifest](m.Step(epoch, PeerVersions{Peer: vms[2].ID, Versions: v}))
		So(again, ShouldBeFalse)
		second, _ := find[FetchManifest](m.Step(epoch.Add(m.cfg.FetchTimeout), Tick{}))
		So(second.Peer, ShouldEqual, vms[2].ID)

		Convey("and its late answer still counts", func() {
			late := ManifestReceived{Fetch: first.Fetch, Peer: vms[1].ID, Approved: b.approved}
			fetch, found := find[FetchChunks](m.Step(epoch.Add(m.cfg.FetchTimeout), late))
			So(found, ShouldBeTrue)
			So(fetch.Digests, ShouldHaveLength, len(b.chunks))
		})
	})
}

func TestListPublishedAfterTheStart(t *testing.T) {
	Convey("A node that found no VM list asks again within seconds", t, func() {
		cfg := testConfig()
		m := newMachine(t, newFixture(), cfg, fleet(1, 1)[0], 1)
		now := time.Unix(1000, 0)
		reads := 0
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(cfg.TickInterval) {
			for _, a := range m.Step(now, Tick{}) {
				r, ok := a.(ReadSource)
				if !ok || r.Key != release.VMListKey {
					continue
				}
				reads++
				m.Step(now, SourceValue{Call: r.Call, Key: r.Key})
			}
		}
		So(reads, ShouldBeBetweenOrEqual, 3, 20)
	})
}
