package admission

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// Guards against a division by zero, and the end of the node, when a rate limit ends while the load is read.
func TestLoadIsReadWhileTheRateLimitEnds(t *testing.T) {
	Convey("The load can be read at any time while a server's rate limit comes and goes", t, func() {
		now := time.Now()
		l := New(DefaultConfig(), now)
		l.Release(now, Result{Route: "r", ServiceTime: time.Millisecond})
		var done atomic.Bool
		var setter conc.WaitGroup
		setter.Go(func() {
			for !done.Load() {
				l.SetRateLimit(now, 10, true)
				l.SetRateLimit(now, 0, false)
			}
		})
		So(func() {
			defer done.Store(true)
			for range 2_000_000 {
				l.Load()
			}
		}, ShouldNotPanic)
		setter.Wait()
	})
}
