package steady_test

import (
	"testing"
	"time"

	"auburnladder.example/core/steady"
	. "github.com/smartystreets/goconvey/convey"
)

// TestNanos guards against deadlines that shift with a step of the wall clock, and against a
// boot clock that does not advance.
func TestNanos(t *testing.T) {
	Convey("The difference of two values is the difference of the monotonic clock", t, func() {
		now := time.Now()
		So(steady.Nanos(now.Add(time.Second))-steady.Nanos(now), ShouldEqual, int64(time.Second))
	})
	Convey("A time without a monotonic reading is converted by its wall time", t, func() {
		wall := time.Unix(1_000_000, 5)
		So(steady.Nanos(wall), ShouldEqual, wall.UnixNano())
	})
	Convey("The time since boot does not decrease", t, func() {
		first := steady.Boot()
		So(first, ShouldBeGreaterThan, 0)
		So(steady.Boot(), ShouldBeGreaterThanOrEqualTo, first)
	})
}
