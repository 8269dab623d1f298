package steady_test

import (
	"testing"
	"time"

	"auburnladder.example/core/steady"
	. "github.com/smartystreets/goconvey/convey"
)

func TestNanos(t *testing.T) {
	Convey("Numbers differ by the steady clock's difference", t, func() {
		now := time.Now()
		So(steady.Nanos(now.Add(time.Second))-steady.Nanos(now), ShouldEqual, int64(time.Second))
	})
	Convey("A time without a steady reading counts by its wall time", t, func() {
		wall := time.Unix(1_000_000, 5)
		So(steady.Nanos(wall), ShouldEqual, wall.UnixNano())
	})
	Convey("The time since the boot goes on", t, func() {
		first := steady.Boot()
		So(first, ShouldBeGreaterThan, 0)
		So(steady.Boot(), ShouldBeGreaterThanOrEqualTo, first)
	})
}
