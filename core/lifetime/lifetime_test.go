package lifetime

import (
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	. "github.com/smartystreets/goconvey/convey"
)

func TestEndOfARequest(t *testing.T) {
	Convey("A request ends after its deadline and within the bound that callers expect", t, func() {
		deadline := time.Now()
		So(End(deadline), ShouldHappenBetween, deadline, deadline.Add(lifetimetest.Bound))
	})
	Convey("A complete response may be sent until the end, and for a while if it is ready late", t, func() {
		now := time.Now()
		end := now.Add(time.Minute)
		So(SendEnd(end, now), ShouldEqual, end)
		So(SendEnd(now.Add(-time.Minute), now), ShouldEqual, now.Add(DeliveryTime))
	})
}
