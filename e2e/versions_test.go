package e2e

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
	"auburnladder.example/standin/platform"
)

const (
	versionSeed = 30
	// restartsPerRound is the number of node restarts in each call of restartNodes.
	restartsPerRound = 4
)

// restartNodes kills and restarts random nodes one at a time, and waits until each is
// ready again.
func restartNodes(c *harness.Cluster, rng *rand.Rand) {
	for range restartsPerRound {
		vm := c.VMs[rng.IntN(len(c.VMs))]
		So(c.KillNode(vm), ShouldBeNil)
		So(c.StartNode(vm), ShouldBeNil)
		So(c.MarkReady(vm), ShouldBeNil)
	}
}

// Guards against a node that returns to an older release when it restarts while the
// platform is stale, serves earlier revisions for some reads, or is down, or when an old
// release is published again.
func TestVersionsNeverGoBack(t *testing.T) {
	for _, mode := range []platform.Mode{platform.ModeStale, platform.ModeCrossed, platform.ModeDown} {
		Convey(fmt.Sprintf("While the platform is %s, restarted nodes keep the newest release", mode), t, func() {
			c, first := startCluster(t)
			rng := rand.New(rand.NewPCG(versionSeed, 0))
			poller, err := c.StartPoller()
			So(err, ShouldBeNil)
			second := rollOut(c, first, "deadline: 800ms", "deadline: 600ms")

			So(c.SetMode(mode), ShouldBeNil)
			restartNodes(c, rng)
			third, err := c.Amend(second, "programma", "deadline: 600ms", "deadline: 700ms")
			So(err, ShouldBeNil)
			So(c.Publish(third), ShouldBeNil)
			restartNodes(c, rng)
			So(c.SetMode(platform.ModeNormal), ShouldBeNil)
			So(c.AwaitActive(third), ShouldBeNil)

			poller.Stop()
			So(poller.HeldVersions.Len(), ShouldBeGreaterThan, 0)
			So(harness.CheckHeldVersions(poller.HeldVersions.Records()), ShouldBeNil)
		})
	}
	Convey("An old release that is published again is not applied", t, func() {
		c, first := startCluster(t)
		rng := rand.New(rand.NewPCG(versionSeed, 1))
		poller, err := c.StartPoller()
		So(err, ShouldBeNil)
		second := rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		So(c.Publish(first), ShouldBeNil)
		restartNodes(c, rng)
		So(c.AwaitActive(second), ShouldBeNil)
		poller.Stop()
		So(poller.HeldVersions.Len(), ShouldBeGreaterThan, 0)
		So(harness.CheckHeldVersions(poller.HeldVersions.Records()), ShouldBeNil)
	})
}

// Guards against nodes that stay at an old release after a pause during which they
// missed two releases, when the platform is down and only peers can supply the newest.
func TestPausedDomainCatchesUp(t *testing.T) {
	Convey("A failure domain that was paused during two releases applies the newest one", t, func() {
		c, first := startCluster(t)
		poller, err := c.StartPoller()
		So(err, ShouldBeNil)
		paused := c.InDomain("nl-central-c")
		So(paused, ShouldHaveLength, 3)
		for _, vm := range paused {
			So(c.PauseNode(vm), ShouldBeNil)
		}
		running := c.Except(paused)
		second, err := c.Amend(first, "programma", "deadline: 800ms", "deadline: 600ms")
		So(err, ShouldBeNil)
		So(c.Publish(second), ShouldBeNil)
		So(c.AwaitActiveOn(second, running), ShouldBeNil)
		third, err := c.Amend(second, "inschrijving", "grace: 20s", "grace: 25s")
		So(err, ShouldBeNil)
		So(c.Publish(third), ShouldBeNil)
		So(c.AwaitActiveOn(third, running), ShouldBeNil)

		// The platform is down, so resumed nodes can get the release only from peers.
		So(c.SetMode(platform.ModeDown), ShouldBeNil)
		for _, vm := range paused {
			So(c.ResumeNode(vm), ShouldBeNil)
		}
		So(c.AwaitActive(third), ShouldBeNil)
		poller.Stop()
		So(poller.HeldVersions.Len(), ShouldBeGreaterThan, 0)
		So(harness.CheckHeldVersions(poller.HeldVersions.Records()), ShouldBeNil)
	})
}
