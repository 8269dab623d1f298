package e2e

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

const (
	faultSeed = 20
	// killRounds and pauseRounds are the numbers of nodes that are broken one after
	// the other.
	killRounds  = 8
	pauseRounds = 4
	// callsPerStep is how many calls end between two faults.
	callsPerStep = 80
	// callers is above the share of callsPerStep that a paused node holds up.
	callers = 24
)

// breakNodes runs one fault after the other while calls run and checks all calls.
func breakNodes(t *testing.T, rounds int, begin, end func(*harness.Cluster, *harness.VM) error) {
	c, _ := start(t)
	rng := rand.New(rand.NewPCG(faultSeed, 0))
	load, err := c.StartLoad(callers, faultSeed)
	So(err, ShouldBeNil)
	So(load.More(callsPerStep), ShouldBeNil)
	for range rounds {
		vm := c.VMs[rng.IntN(len(c.VMs))]
		So(begin(c, vm), ShouldBeNil)
		So(load.More(callsPerStep), ShouldBeNil)
		So(end(c, vm), ShouldBeNil)
		So(c.MarkReady(vm), ShouldBeNil)
		So(load.More(callsPerStep), ShouldBeNil)
	}
	load.Stop()
	sum, err := c.CheckCalls(load.Calls.Records())
	t.Logf("seed %d: %+v", faultSeed, sum)
	So(err, ShouldBeNil)
	So(sum.Whole["programma"], ShouldBeGreaterThan, 0)
	So(sum.Whole["inschrijving"], ShouldBeGreaterThan, 0)
}

func TestKilledNodesLoseNoAnswerSilently(t *testing.T) {
	Convey("While nodes are killed, each caller gets a whole answer or an error with a true verdict", t, func() {
		breakNodes(t, killRounds, (*harness.Cluster).KillNode, (*harness.Cluster).StartNode)
	})
}

func TestPausedNodesLoseNoAnswerSilently(t *testing.T) {
	Convey("While nodes are paused, each caller gets a whole answer or an error with a true verdict", t, func() {
		breakNodes(t, pauseRounds, (*harness.Cluster).PauseNode, (*harness.Cluster).ResumeNode)
	})
}
