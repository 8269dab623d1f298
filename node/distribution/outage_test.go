package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Each outage must be reported once at its beginning and once at its end, and fewer
// consecutive failures than the threshold must not be reported.
func TestOutageBeginsAndEndsOnce(t *testing.T) {
	Convey("An outage begins at the threshold of consecutive failures and ends with the next success", t, func() {
		var o outage
		for range outageThreshold - 1 {
			So(o.recordFailure(), ShouldBeFalse)
		}
		So(o.recordSuccess(), ShouldBeFalse)
		for range outageThreshold - 1 {
			So(o.recordFailure(), ShouldBeFalse)
		}
		So(o.recordFailure(), ShouldBeTrue)
		So(o.ongoing(), ShouldBeTrue)
		So(o.recordFailure(), ShouldBeFalse)
		So(o.recordSuccess(), ShouldBeTrue)
		So(o.recordSuccess(), ShouldBeFalse)
		So(o.ongoing(), ShouldBeFalse)
	})
}
