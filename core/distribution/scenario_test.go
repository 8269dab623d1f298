package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
)

// newConvergedNetwork returns a network of 12 nodes in 4 failure domains, on all of which
// release 12 is active.
func newConvergedNetwork(t *testing.T, seed uint64) (*network, *testRelease) {
	n := newNetwork(t, testConfig(), newFleet(12, 4), seed)
	b := n.fixture.build(12, release.Digest{}, 12)
	n.publish(b)
	So(n.waitConverged(b.version), ShouldBeTrue)
	return n, b
}

// A restarted node has no release and could take an older one from a stale source. It
// must start with the release of its peers, and fall back to the source only if no peer
// holds a newer one or replies in time.
func TestRestart(t *testing.T) {
	Convey("Given active release 13 and a source that went back to release 12", t, func() {
		n, old := newConvergedNetwork(t, 1)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.publish(b)
		So(n.waitConverged(b.version), ShouldBeTrue)
		n.setSourceValue(old.value)
		n.Advance(time.Second)

		Convey("nodes that restart one after the other never activate 12", func() {
			for _, vm := range n.vms {
				n.kill(vm.ID)
				n.Advance(500 * time.Millisecond)
				n.start(vm.ID)
				n.Advance(5 * time.Second)
				So(n.nodes[vm.ID].applied, ShouldResemble, []release.Version{b.version})
			}
			So(n.failures, ShouldBeEmpty)
		})
		Convey("all nodes but one restart at the same time and activate 13", func() {
			for _, vm := range n.vms[1:] {
				n.kill(vm.ID)
			}
			for _, vm := range n.vms[1:] {
				n.start(vm.ID)
			}
			So(n.waitConverged(b.version), ShouldBeTrue)
			So(n.failures, ShouldBeEmpty)
		})
		Convey("when all nodes restart at the same time, only the stale source is left and they activate 12", func() {
			for _, vm := range n.vms {
				n.kill(vm.ID)
			}
			for _, vm := range n.vms {
				n.start(vm.ID)
			}
			So(n.waitConverged(old.version), ShouldBeTrue)
		})
		Convey("a node without reachable peers activates 12 only after StartAloneWait and reports it", func() {
			x := n.nodes[n.vms[0].ID]
			n.kill(x.vm.ID)
			for _, vm := range n.vms[1:] {
				n.pause(vm.ID)
			}
			n.start(x.vm.ID)
			n.Advance(n.cfg.StartAloneWait - time.Second)
			So(x.applied, ShouldBeEmpty)
			n.Advance(5 * time.Second)
			So(x.applied, ShouldResemble, []release.Version{old.version})
			So(x.hasReported(ReportStartedAlone), ShouldBeTrue)
		})
	})
}

// A reader may read an old release from a stale source before its peers reply. It must
// not activate that release while a peer claims to hold a newer one.
func TestStartWaitsForSlowPeers(t *testing.T) {
	Convey("A reader that reads the stale source first waits for its peers", t, func() {
		f := newFixture()
		vms := newFleet(2, 1)
		m := newMachine(t, f, testConfig(), vms[0], 1)
		old, b := f.build(12, release.Digest{}, 12), f.build(13, release.Digest{}, 13)
		m.Step(epoch, ViewChanged{VMs: vms})
		m.Step(epoch, VMListReceived{Revision: 1, Data: encodeVMList(vms)})
		m.Step(epoch, SourceValue{Key: release.CurrentKey, Revision: 1, Found: true, Value: old.value})
		_, applied := findAction[Apply](m.Step(epoch.Add(time.Millisecond), ChunksReceived{Chunks: old.allChunks()}))
		So(applied, ShouldBeFalse)
		actions := m.Step(epoch.Add(2*time.Millisecond), PeerVersions{Peer: vms[1].ID, Versions: Versions{Held: b.version}})
		_, applied = findAction[Apply](actions)
		So(applied, ShouldBeFalse)
		request, _ := findAction[FetchManifest](actions)
		So(request.Wanted, ShouldResemble, b.version)

		Convey("and an older reply that arrives late does not withdraw the claim", func() {
			actions := m.Step(epoch.Add(3*time.Millisecond), PeerVersions{Peer: vms[1].ID})
			_, applied = findAction[Apply](actions)
			So(applied, ShouldBeFalse)
		})

		Convey("and activates the older release once the peer replies that it no longer holds the newer one", func() {
			actions := m.Step(epoch.Add(3*time.Millisecond), ManifestReceived{Fetch: request.Fetch, Peer: request.Peer})
			apply, applied := findAction[Apply](actions)
			So(applied, ShouldBeTrue)
			So(apply.Snapshot.Version, ShouldResemble, old.version)
		})

		Convey("and activates the older release only after StartAloneWait while the peer still claims the newer one", func() {
			m.Step(epoch.Add(time.Millisecond), FetchFailed{Fetch: request.Fetch, Peer: request.Peer})
			at := epoch
			for ; at.Before(epoch.Add(m.cfg.StartAloneWait)); at = at.Add(m.cfg.TickInterval) {
				_, applied = findAction[Apply](m.Step(at, Tick{}))
				So(applied, ShouldBeFalse)
			}
			var apply Apply
			for end := at.Add(2 * time.Second); !applied && at.Before(end); at = at.Add(m.cfg.TickInterval) {
				apply, applied = findAction[Apply](m.Step(at, Tick{}))
			}
			So(applied, ShouldBeTrue)
			So(apply.Snapshot.Version, ShouldResemble, old.version)
		})
	})
}

// A paused process still holds an old release when it resumes. It must not announce that
// release or run calls with it before it has queried its peers.
func TestPause(t *testing.T) {
	Convey("Given a node that is paused for 60 s while releases 13 and 14 become active", t, func() {
		n, old := newConvergedNetwork(t, 2)
		x := n.nodes[n.vms[0].ID]
		n.pause(x.vm.ID)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.publish(b)
		n.Advance(30 * time.Second)
		b = n.fixture.build(14, b.version.Digest, 14)
		n.publish(b)
		n.Advance(30 * time.Second)

		Convey("it resyncs before it announces its versions or serves again", func() {
			actions := x.machine.Step(n.Now, Tick{})
			phase, found := findAction[SetPhase](actions)
			So(found, ShouldBeTrue)
			So(phase.Phase, ShouldEqual, PhaseResyncing)
			_, announced := findAction[Announce](actions)
			So(announced, ShouldBeFalse)
			_, queried := findAction[Exchange](actions)
			So(queried, ShouldBeTrue)
		})
		Convey("it activates 14 and no node goes back to an older release", func() {
			n.resume(x.vm.ID)
			So(n.waitConverged(b.version), ShouldBeTrue)
			So(n.failures, ShouldBeEmpty)
			So(x.hasReported(ReportPaused), ShouldBeTrue)
		})
	})
}

// An invalid, unapproved, incomplete, withdrawn or older release must not replace the
// active one, and must not block a valid release that follows.
func TestRefusals(t *testing.T) {
	Convey("Given active release 12", t, func() {
		n, old := newConvergedNetwork(t, 3)
		expectUnchanged := func() {
			n.Advance(20 * time.Second)
			So(n.converged(old.version), ShouldBeTrue)
			So(n.failures, ShouldBeEmpty)
		}

		Convey("a release with a dangling route is refused and reported with the field", func() {
			b := n.fixture.buildDangling(13, 1)
			n.source.chunks[b.manifest().Chunks[0].Digest] = b.allChunks()[0]
			n.setSourceValue(b.value)
			expectUnchanged()
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
		Convey("releases with invalid signatures are refused and use bounded memory", func() {
			m := n.nodes[n.vms[0].ID].machine
			for i := range 300 {
				b := n.fixture.build(uint64(100+i), old.version.Digest, i)
				m.Step(n.Now, ManifestReceived{Peer: n.vms[1].ID, Approved: b.withInvalidSignature()})
			}
			So(len(m.refusals), ShouldEqual, maxRefusals)
			So(len(m.candidates), ShouldBeLessThanOrEqualTo, maxCandidates)
			expectUnchanged()
		})
		Convey("a delta with an invalid signature is refused and reported, but the full release is accepted", func() {
			m := n.nodes[n.vms[0].ID].machine
			b := n.fixture.build(13, old.version.Digest, 13)
			base, err := n.fixture.trust.Verify(old.approved)
			So(err, ShouldBeNil)
			target, err := n.fixture.trust.Verify(b.approved)
			So(err, ShouldBeNil)
			d := release.NewDelta(base, target)
			d.Approvals = b.withInvalidSignature().Approvals
			report, found := findAction[Report](m.Step(n.Now, ManifestReceived{Peer: n.vms[1].ID, Delta: d}))
			So(found, ShouldBeTrue)
			So(report.Kind, ShouldEqual, ReportRefused)
			So(m.Versions().Held, ShouldResemble, old.version)
			n.publish(b)
			So(n.waitConverged(b.version), ShouldBeTrue)
		})
		Convey("a release without approval is activated once it is approved", func() {
			b := n.fixture.build(13, old.version.Digest, 13)
			n.publish(b)
			n.setSourceValue(encode(&release.Approved{Manifest: b.approved.Manifest}))
			expectUnchanged()
			n.setSourceValue(b.value)
			So(n.waitConverged(b.version), ShouldBeTrue)
		})
		Convey("a release whose chunks are not published yet waits for them, and a restarted node activates 12", func() {
			b := n.fixture.build(13, old.version.Digest, 13)
			n.releases[b.version] = b
			n.setSourceValue(b.value)
			expectUnchanged()
			n.kill(n.vms[0].ID)
			n.start(n.vms[0].ID)
			expectUnchanged()
			n.publish(b)
			So(n.waitConverged(b.version), ShouldBeTrue)
		})
		Convey("a withdrawn release and an older release are reported and do not replace the active one", func() {
			b := n.fixture.build(13, old.version.Digest, 13)
			n.publish(b)
			So(n.waitConverged(b.version), ShouldBeTrue)
			n.setSourceValue(nil)
			n.Advance(time.Second)
			n.setSourceValue(old.value)
			n.Advance(20 * time.Second)
			So(n.converged(b.version), ShouldBeTrue)
			So(n.anyNodeReported(ReportWithdrawn), ShouldBeTrue)
			So(n.anyNodeReported(ReportSourceBehind), ShouldBeTrue)
		})
	})
}

// Two operators can publish different releases with the same sequence number on both
// sides of a partition. All nodes must activate the same one once the partition heals.
func TestOperatorRaces(t *testing.T) {
	Convey("All nodes activate the same one of two releases 13, and the conflict is reported", t, func() {
		n, old := newConvergedNetwork(t, 4)
		a, b := n.fixture.build(13, old.version.Digest, 1), n.fixture.build(13, old.version.Digest, 2)
		n.setPartitioned("d0", true)
		n.publish(a)
		n.Advance(2 * time.Second)
		n.setPartitioned("d0", false)
		n.setPartitioned("d1", true)
		n.publish(b)
		n.Advance(2 * time.Second)
		n.setPartitioned("d1", false)
		winner := newConflict(a.version, b.version, true).Winner
		So(n.waitConverged(winner), ShouldBeTrue)
		So(n.failures, ShouldBeEmpty)
		So(n.anyNodeReported(ReportConflict), ShouldBeTrue)
		So(n.nodes[n.vms[1].ID].machine.Status().Conflicts, ShouldNotBeEmpty)

		Convey("until release 14 replaces it, whose old base is reported", func() {
			c := n.fixture.build(14, old.version.Digest, 3)
			n.publish(c)
			So(n.waitConverged(c.version), ShouldBeTrue)
			So(n.anyNodeReported(ReportOldBase), ShouldBeTrue)
		})
	})
}

// Without anti-entropy, nodes that missed an announcement would keep the old release
// until the next one is published.
func TestRepair(t *testing.T) {
	Convey("Anti-entropy recovers from lost announcements while the source is down", t, func() {
		n, old := newConvergedNetwork(t, 5)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.loss = 1
		n.publish(b)
		n.Advance(500 * time.Millisecond)
		So(n.newestHeld(), ShouldResemble, b.version)
		So(n.converged(b.version), ShouldBeFalse)
		n.source.down = true
		n.loss = 0
		So(n.waitConverged(b.version), ShouldBeTrue)
	})
}

// An unresponsive announcer must not stop a fetch.
func TestSilentPeer(t *testing.T) {
	Convey("After FetchTimeout the manifest is requested from the next announcer", t, func() {
		f := newFixture()
		vms := newFleet(4, 1)
		m := newMachine(t, f, testConfig(), vms[0], 1)
		m.Step(epoch, ViewChanged{VMs: vms})
		b := f.build(13, release.Digest{}, 13)
		v := Versions{Held: b.version}
		first, _ := findAction[FetchManifest](m.Step(epoch, PeerVersions{Peer: vms[1].ID, Versions: v}))
		So(first.Peer, ShouldEqual, vms[1].ID)
		_, again := findAction[FetchManifest](m.Step(epoch, PeerVersions{Peer: vms[2].ID, Versions: v}))
		So(again, ShouldBeFalse)
		second, _ := findAction[FetchManifest](m.Step(epoch.Add(m.cfg.FetchTimeout), Tick{}))
		So(second.Peer, ShouldEqual, vms[2].ID)

		Convey("and a late reply from the first one is accepted", func() {
			late := ManifestReceived{Fetch: first.Fetch, Peer: vms[1].ID, Approved: b.approved}
			fetch, found := findAction[FetchChunks](m.Step(epoch.Add(m.cfg.FetchTimeout), late))
			So(found, ShouldBeTrue)
			So(fetch.Digests, ShouldHaveLength, len(b.chunks))
		})
	})
}

// A node that starts before the VM list is published must not wait for the next periodic
// check to find it.
func TestListPublishedAfterTheStart(t *testing.T) {
	Convey("A node that found no VM list reads the list again within seconds", t, func() {
		cfg := testConfig()
		m := newMachine(t, newFixture(), cfg, newFleet(1, 1)[0], 1)
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
