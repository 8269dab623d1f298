package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/p2c"
)

func fail(e *routing.Endpoint, now time.Time, times int) {
	for range times {
		finish(e, now, routing.Outcome{Kind: routing.Failure})
	}
}

func succeed(list []*routing.Endpoint, now time.Time, times int) {
	for _, e := range list {
		for range times {
			finish(e, now, routing.Outcome{Kind: routing.Success})
		}
	}
}

func TestEjection(t *testing.T) {
	cfg := routing.DefaultConfig().Outlier
	Convey("Given six servers of which the first fails", t, func() {
		d, table := newDirectory(t, servers(6))
		bad, others := table.Endpoints[0], table.Endpoints[1:]
		now := start.Add(time.Hour)
		succeed(others, now, 10)

		Convey("failures in a row eject it, longer each time", func() {
			for _, want := range []time.Duration{cfg.Base, 2 * cfg.Base, 4 * cfg.Base} {
				fail(bad, now, int(cfg.Consecutive))
				events := d.Sweep(now)
				So(events, ShouldHaveLength, 1)
				So(events[0].Kind, ShouldEqual, routing.Ejected)
				So(events[0].Duration, ShouldEqual, want)
				So(bad.Suspect(now.Add(want-1)), ShouldBeTrue)
				So(bad.Suspect(now.Add(want)), ShouldBeFalse)
				now = now.Add(want)
			}
		})
		Convey("on its return it has one request at a time until it succeeds", func() {
			fail(bad, now, int(cfg.Consecutive))
			d.Sweep(now)
			now = now.Add(cfg.Base)
			bad.Start()
			So(bad.Suspect(now), ShouldBeTrue)
			bad.Done(now, routing.Outcome{Kind: routing.Success})
			succeed([]*routing.Endpoint{bad}, now, int(cfg.ProbationSuccesses)-1)
			bad.Start()
			So(bad.Suspect(now), ShouldBeFalse)
		})
		Convey("one failure on probation ejects it again", func() {
			fail(bad, now, int(cfg.Consecutive))
			d.Sweep(now)
			now = now.Add(cfg.Base)
			fail(bad, now, 1)
			So(d.Sweep(now), ShouldHaveLength, 1)
		})
		Convey("a share of failures between successes ejects it", func() {
			for range cfg.MinSamples {
				fail(bad, now, 1)
				succeed(table.Endpoints[:1], now, 1)
			}
			So(d.Sweep(now), ShouldHaveLength, 1)
		})
		Convey("failures that all servers share eject none", func() {
			for _, e := range table.Endpoints {
				fail(e, now, 100)
			}
			So(d.Sweep(now), ShouldBeEmpty)
		})
		Convey("with every other server leaving it is still used", func() {
			fail(bad, now, int(cfg.Consecutive))
			d.Sweep(now)
			for _, e := range others {
				finish(e, now, routing.Outcome{Kind: routing.Success, Load: &routing.Load{Leaving: true}})
			}
			So((p2c.Picker{}).Pick(now, rand.NewPCG(1, 1), table, nil).Endpoint, ShouldPointTo, bad)
		})
	})
}

func TestEjectedShareIsBounded(t *testing.T) {
	snapshot := testSnapshot(t)
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "servers")
		cfg := routing.DefaultConfig()
		d := routing.NewDirectory(cfg, home)
		d.Update(start, snapshot, servers(n))
		table := d.Table("programma")
		now := start
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			e := table.Endpoints[rapid.IntRange(0, n-1).Draw(rt, "server")]
			kind := rapid.SampledFrom([]routing.OutcomeKind{
				routing.Success, routing.Failure, routing.Shed, routing.Unreachable, routing.Starting,
			}).Draw(rt, "kind")
			for range rapid.IntRange(1, 30).Draw(rt, "times") {
				finish(e, now, routing.Outcome{Kind: kind})
			}
			d.Sweep(now)
			ejected := 0
			for _, e := range table.Endpoints {
				if e.Ejected(now) {
					ejected++
				}
			}
			if limit := int(cfg.Outlier.MaxShare * float64(n)); ejected > limit {
				rt.Fatal(fmt.Sprintf("%d of %d servers ejected, at most %d allowed", ejected, n, limit))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
		}
	})
}
