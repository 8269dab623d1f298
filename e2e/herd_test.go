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

// copiesVariable names the environment variable that multiplies the fleet of the herd
// test by 1 to 10, for measurements.
const copiesVariable = "AUBURNLADDER_E2E_COPIES"

// settledPolls is the number of successive looks that must find no more than maxWatches.
const settledPolls = 100

// maxWatches is the number of watches that wait at the platform in a settled fleet: of
// 2 readers in each of 3 failure domains on each of 2 keys.
const maxWatches = 2 * 3 * 2

func TestHerdStaysWithinTheReadLimit(t *testing.T) {
	Convey("When all nodes are killed and restarted at once, no read is over the limit", t, func() {
		copies := 1
		if text := os.Getenv(copiesVariable); text != "" {
			var err error
			copies, err = strconv.Atoi(text)
			So(err, ShouldBeNil)
		}
		c, first := startWith(t, harness.Options{Copies: copies, NoBackends: true})
		second := rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		before, err := c.QuietStats()
		So(err, ShouldBeNil)
		So(c.ResetPeaks(), ShouldBeNil)

		for _, vm := range c.VMs {
			So(c.KillNode(vm), ShouldBeNil)
		}
		began := time.Now()
		for _, vm := range c.VMs {
			So(c.StartNode(vm), ShouldBeNil)
		}
		So(c.AllReady(), ShouldBeNil)
		So(c.InForce(second), ShouldBeNil)
		after, err := c.Stats()
		So(err, ShouldBeNil)
		t.Logf("%d nodes ready again after %s: %d reads, peak %d reads/s, peak %d waiting watches, %d waiting now",
			len(c.VMs), time.Since(began).Round(time.Millisecond), after.ReadsTotal-before.ReadsTotal,
			after.PeakReadsPerSecond, after.PeakWaitingWatches, after.WaitingWatches)
		So(after.OverLimit, ShouldEqual, 0)
		// Fewer reads than one per key and node: nodes learn from one another.
		So(after.ReadsTotal-before.ReadsTotal, ShouldBeLessThan, uint64(5*len(c.VMs)))
		settled := 0
		So(harness.Eventually("only readers watch", func() error {
			s, err := c.Stats()
			if settled++; err != nil || s.WaitingWatches > maxWatches {
				settled = 0
			}
			if settled < settledPolls {
				return fmt.Errorf("%d watches wait, error %v", s.WaitingWatches, err)
			}
			return nil
		}), ShouldBeNil)
	})
}
