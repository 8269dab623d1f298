package calls

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against measurements that no longer run, or that leave out a combination of
// their parameters.
func TestMeasurementsRun(t *testing.T) {
	Convey("Both measurements start a cluster and write one row for each combination of parameters", t, func() {
		var out bytes.Buffer
		cfg := LatencyConfig{
			Rates: []int{50}, Hops: []int{1, 3}, Rounds: 1, Duration: 200 * time.Millisecond, MaxHopsPerSecond: 100, Seed: 1,
		}
		So(RunLatency(context.Background(), cfg, &out), ShouldBeNil)
		So(strings.Count(out.String(), "| 50 | "), ShouldEqual, 2)
		So(out.String(), ShouldContainSubstring, "| 50 | 3 | not run")
		out.Reset()
		goodput := GoodputConfig{
			Policies: []string{"p2c", "round-robin"}, Scenarios: []string{"slow-and-lying"}, Duration: 200 * time.Millisecond, Seed: 1,
		}
		So(RunGoodput(context.Background(), goodput, &out), ShouldBeNil)
		So(strings.Count(out.String(), "| slow-and-lying | "), ShouldEqual, 2)
	})
}
