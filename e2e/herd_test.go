package e2e

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

// copiesEnv is the environment variable that multiplies the fleet size of
// TestHerdStaysWithinTheReadLimit by 1 to 10, for measurements.
const copiesEnv = "AUBURNLADDER_E2E_COPIES"

// settledPolls is the number of consecutive polls that must find at most maxWatches
// waiting watches.
const settledPolls = 100

// maxWatches is the number of watches that wait at the platform in a settled fleet:
// 2 readers in each of 3 failure domains watch 2 keys each.
const maxWatches = 2 * 3 * 2

// Guards against a thundering herd at the platform: if all nodes restart at once and
// each reads all keys itself, the reads exceed the platform's rate limit.
func TestHerdStaysWithinTheReadLimit(t *testing.T) {
	Convey("When all nodes are killed and restarted at once, no read exceeds the platform's limit", t, func() {
		copies := 1
		if text := os.Getenv(copiesEnv); text != "" {
			var err error
			copies, err = strconv.Atoi(text)
			So(err, ShouldBeNil)
		}
		c, first := startClusterWith(t, harness.Options{Copies: copies, NoBackends: true})
		second := rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		before, err := c.AwaitIdleStats()
		So(err, ShouldBeNil)
		So(c.ResetPeaks(), ShouldBeNil)

		for _, vm := range c.VMs {
			So(c.KillNode(vm), ShouldBeNil)
		}
		began := time.Now()
		for _, vm := range c.VMs {
			So(c.StartNode(vm), ShouldBeNil)
		}
		So(c.AwaitAllReady(), ShouldBeNil)
		So(c.AwaitActive(second), ShouldBeNil)
		after, err := c.Stats()
		So(err, ShouldBeNil)
		t.Logf("%d nodes ready again after %s: %d reads, peak %d reads/s, peak %d waiting watches, %d waiting now",
			len(c.VMs), time.Since(began).Round(time.Millisecond), after.ReadsTotal-before.ReadsTotal,
			after.PeakReadsPerSecond, after.PeakWaitingWatches, after.WaitingWatches)
		So(after.OverLimit, ShouldEqual, 0)
		// Fewer reads than one per key and node, because nodes copy values from their peers.
		So(after.ReadsTotal-before.ReadsTotal, ShouldBeLessThan, uint64(5*len(c.VMs)))
		settled := 0
		So(harness.Eventually("only readers watch the platform", func() error {
			s, err := c.Stats()
			if settled++; err != nil || s.WaitingWatches > maxWatches {
				settled = 0
			}
			if settled < settledPolls {
				return fmt.Errorf("%d watches are waiting, error %v", s.WaitingWatches, err)
			}
			return nil
		}), ShouldBeNil)
	})
}
