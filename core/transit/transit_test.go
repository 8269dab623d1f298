package transit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestExcess(t *testing.T) {
	const ms = time.Millisecond
	Convey("Given a sender whose clock is an hour ahead and messages of 2 ms", t, func() {
		var e Estimator
		at := func(sent, took time.Duration) time.Duration {
			return e.Excess(sent+time.Hour, sent+took)
		}
		So(at(0, 2*ms), ShouldEqual, 0)

		Convey("a late message shows its delay, whatever followed", func() {
			So(at(10*ms, 602*ms), ShouldEqual, 600*ms)
			So(at(700*ms, 2*ms), ShouldEqual, 0)
		})
		Convey("a faster message becomes the measure", func() {
			So(at(10*ms, ms), ShouldEqual, 0)
			So(at(20*ms, 4*ms), ShouldEqual, 3*ms)
		})
		Convey("a path that stays slower becomes the measure after two windows", func() {
			So(at(10*ms, 12*ms), ShouldEqual, 10*ms)
			So(at(baseWindow, 12*ms), ShouldEqual, 10*ms)
			So(at(2*baseWindow, 12*ms), ShouldEqual, 0)
		})
		Convey("after a long silence the next message is the measure", func() {
			So(at(5*baseWindow, 50*ms), ShouldEqual, 0)
		})
	})
	Convey("Without an estimator no message is late", t, func() {
		var e *Estimator
		So(e.Excess(0, time.Hour), ShouldEqual, 0)
	})
}
