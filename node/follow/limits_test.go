package follow

import (
	"expvar"
	"fmt"
	"strings"
	"testing"

	"auburnladder.example/core/source"
	. "github.com/smartystreets/goconvey/convey"
)

func limitStat(name string) string {
	if v := limitStats.Get(name); v != nil {
		return v.String()
	}
	return ""
}

// Guards against a configuration that is too large and stops the fleet: the one in force is given up,
// later ones are not taken, or a node that starts meanwhile serves nothing.
func TestReleaseAboveTheLimit(t *testing.T) {
	vms := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	sized := func(sequence byte, size int) string { return string(sequence) + strings.Repeat("x", size-1) }
	Convey("Given a fleet with a release of the largest size", t, func() {
		f := newFleet(t, vms...)
		defer f.close()
		f.store.put("config", sized(2, source.MaxReleaseBytes))
		eventually(t, func() bool { return f.settled() && f.all(2) })
		Convey("One above it is refused, a node that starts then gets the one in force, and the next one is taken", func() {
			f.store.put("config", sized(3, source.MaxReleaseBytes+1))
			revision := f.store.revision
			eventually(t, func() bool { return f.reached(revision) })
			So(f.all(2), ShouldBeTrue)
			f.start("10.0.0.4")
			eventually(t, func() bool { return f.all(2) })
			So(limitStat("release_limit_bytes"), ShouldEqual, fmt.Sprint(source.MaxReleaseBytes))
			So(limitStat("release_bytes"), ShouldEqual, fmt.Sprint(source.MaxReleaseBytes+1))
			exceeded, ok := limitStats.Get("release_exceeded").(*expvar.Int)
			So(ok, ShouldBeTrue)
			So(exceeded.Value(), ShouldBeGreaterThan, 0)
			f.store.put("config", sized(4, 100))
			eventually(t, func() bool { return f.all(4) })
		})
	})
}
