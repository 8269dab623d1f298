package decisions

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a flood of log lines during an outage, against dropped lines that are not
// reported, and against log lines about successful requests that use up the rate limit of
// the lines about refusals.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Lines are limited by burst and rate, and dropped lines are reported once", t, func() {
			var out bytes.Buffer
			l := New(zerolog.New(&out), time.Now())
			write := func(n int) int {
				out.Reset()
				for range n {
					l.Warn("refused").Str("request", "r").Msg("refused")
				}
				return strings.Count(out.String(), "\n")
			}
			So(write(1000), ShouldEqual, warnBurst)
			time.Sleep(500 * time.Millisecond)
			So(write(1000), ShouldEqual, warnPerSecond/2)
			out.Reset()
			l.reportDropped()
			var line struct {
				Event string
				Lines int
			}
			So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
			So(line.Event, ShouldEqual, "lines-dropped")
			So(line.Lines, ShouldEqual, 2000-warnBurst-warnPerSecond/2)
			out.Reset()
			l.reportDropped()
			So(out.Len(), ShouldEqual, 0)
		})
		Convey("Refusals have a separate rate limit, and a nil log writes nothing", t, func() {
			var out bytes.Buffer
			l := New(zerolog.New(&out), time.Now())
			for range 1000 {
				l.Info("request").Msg("")
			}
			out.Reset()
			l.Warn("refused").Msg("")
			So(out.Len(), ShouldBeGreaterThan, 0)
			var none *Log
			none.Info("request").Msg("")
		})
	})
}
