package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOutageBeginsAndEndsOnce(t *testing.T) {
	Convey("Given calls to the platform, some of which fail", t, func() {
		var o outage
		for range outageFailures - 1 {
			So(o.failed(), ShouldBeFalse)
		}
		So(o.answered(), ShouldBeFalse)
		for range outageFailures - 1 {
			So(o.failed(), ShouldBeFalse)
		}
		So(o.failed(), ShouldBeTrue)
		So(o.ongoing(), ShouldBeTrue)
		So(o.failed(), ShouldBeFalse)
		So(o.answered(), ShouldBeTrue)
		So(o.answered(), ShouldBeFalse)
		So(o.ongoing(), ShouldBeFalse)
	})
}
