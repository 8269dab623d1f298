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

// recordFailures completes failed attempts at e.
func recordFailures(e *routing.Endpoint, now time.Time, times int) {
	for range times {
		completeAttempt(e, now, routing.Outcome{Kind: routing.Failure})
	}
}

// recordSuccesses completes successful attempts at each endpoint of list.
func recordSuccesses(list []*routing.Endpoint, now time.Time, times int) {
	for _, e := range list {
		for range times {
			completeAttempt(e, now, routing.Outcome{Kind: routing.Success})
		}
	}
}

// Guards against further requests to a server that fails much more than the others, and
// against ejecting servers when all fail, as under overload.
func TestEjection(t *testing.T) {
	cfg := routing.DefaultConfig().Outlier
	Convey("Given six servers, the first of which fails", t, func() {
		d, table := newDirectory(t, servers(6))
		failing, others := table.Endpoints[0], table.Endpoints[1:]
		now := start.Add(time.Hour)
		recordSuccesses(others, now, 10)

		Convey("consecutive failures eject it, each time for twice as long", func() {
			for _, want := range []time.Duration{cfg.BaseEjectionTime, 2 * cfg.BaseEjectionTime, 4 * cfg.BaseEjectionTime} {
				recordFailures(failing, now, int(cfg.ConsecutiveFailures))
				events := d.Sweep(now)
				So(events, ShouldHaveLength, 1)
				So(events[0].Kind, ShouldEqual, routing.Ejected)
				So(events[0].Duration, ShouldEqual, want)
				So(failing.Suspect(now.Add(want-1)), ShouldBeTrue)
				So(failing.Suspect(now.Add(want)), ShouldBeFalse)
				now = now.Add(want)
			}
		})
		Convey("after the ejection it gets one request at a time until enough have succeeded", func() {
			recordFailures(failing, now, int(cfg.ConsecutiveFailures))
			d.Sweep(now)
			now = now.Add(cfg.BaseEjectionTime)
			failing.Start()
			So(failing.Suspect(now), ShouldBeTrue)
			failing.Done(now, routing.Outcome{Kind: routing.Success})
			recordSuccesses([]*routing.Endpoint{failing}, now, int(cfg.ProbationSuccesses)-1)
			failing.Start()
			So(failing.Suspect(now), ShouldBeFalse)
		})
		Convey("a single failure on probation ejects it again", func() {
			recordFailures(failing, now, int(cfg.ConsecutiveFailures))
			d.Sweep(now)
			now = now.Add(cfg.BaseEjectionTime)
			recordFailures(failing, now, 1)
			So(d.Sweep(now), ShouldHaveLength, 1)
		})
		Convey("a high failure share ejects it without consecutive failures", func() {
			for range cfg.MinSamples {
				recordFailures(failing, now, 1)
				recordSuccesses(table.Endpoints[:1], now, 1)
			}
			So(d.Sweep(now), ShouldHaveLength, 1)
		})
		Convey("failures common to all servers eject none", func() {
			for _, e := range table.Endpoints {
				recordFailures(e, now, 100)
			}
			So(d.Sweep(now), ShouldBeEmpty)
		})
		Convey("it is still used if all other servers are leaving", func() {
			recordFailures(failing, now, int(cfg.ConsecutiveFailures))
			d.Sweep(now)
			for _, e := range others {
				completeAttempt(e, now, routing.Outcome{Kind: routing.Success, Load: &routing.Load{Leaving: true}})
			}
			So((p2c.Picker{}).Pick(now, rand.NewPCG(1, 1), table, nil).Endpoint, ShouldPointTo, failing)
		})
	})
}

// Guards against ejecting so many servers that the remaining ones are overloaded, whatever
// the order of outcomes and sweeps.
func TestEjectedShareIsBounded(t *testing.T) {
	snapshot := testSnapshot(t)
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "servers")
		cfg := routing.DefaultConfig()
		d := routing.NewDirectory(cfg, testLocality)
		d.Update(start, snapshot, servers(n))
		table := d.Table("programma")
		now := start
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			e := table.Endpoints[rapid.IntRange(0, n-1).Draw(rt, "server")]
			kind := rapid.SampledFrom([]routing.OutcomeKind{
				routing.Success, routing.Failure, routing.Shed, routing.Unreachable, routing.Starting,
			}).Draw(rt, "kind")
			for range rapid.IntRange(1, 30).Draw(rt, "times") {
				completeAttempt(e, now, routing.Outcome{Kind: kind})
			}
			d.Sweep(now)
			ejected := 0
			for _, e := range table.Endpoints {
				if e.Ejected(now) {
					ejected++
				}
			}
			if limit := int(cfg.Outlier.MaxEjectedShare * float64(n)); ejected > limit {
				rt.Fatal(fmt.Sprintf("%d of %d servers are ejected, the maximum is %d", ejected, n, limit))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
		}
	})
}
