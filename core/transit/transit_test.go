package transit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestExcess guards against an offset between two clocks being mistaken for a delay, and
// against a permanently slower path being reported as a delay forever.
func TestExcess(t *testing.T) {
	const ms = time.Millisecond
	Convey("Given a sender whose clock is an hour ahead and messages that take 2 ms", t, func() {
		var e Estimator
		excess := func(sent, took time.Duration) time.Duration {
			return e.Excess(sent+time.Hour, sent+took)
		}
		So(excess(0, 2*ms), ShouldEqual, 0)

		Convey("the delay of a slow message is reported, and the next message has none", func() {
			So(excess(10*ms, 602*ms), ShouldEqual, 600*ms)
			So(excess(700*ms, 2*ms), ShouldEqual, 0)
		})
		Convey("a faster message becomes the new minimum", func() {
			So(excess(10*ms, ms), ShouldEqual, 0)
			So(excess(20*ms, 4*ms), ShouldEqual, 3*ms)
		})
		Convey("the delay of a path that stays slower becomes the minimum after two windows", func() {
			So(excess(10*ms, 12*ms), ShouldEqual, 10*ms)
			So(excess(baseWindow, 12*ms), ShouldEqual, 10*ms)
			So(excess(2*baseWindow, 12*ms), ShouldEqual, 0)
		})
		Convey("after a long time without messages the next message becomes the minimum", func() {
			So(excess(5*baseWindow, 50*ms), ShouldEqual, 0)
		})
	})
	Convey("A nil Estimator reports no delay", t, func() {
		var e *Estimator
		So(e.Excess(0, time.Hour), ShouldEqual, 0)
	})
}
