package e2e

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

const (
	faultSeed = 20
	// callsPerStep is how many calls end between two faults.
	callsPerStep = 80
	callers      = 24
)

// nodeFault is what is done to one node after the other while calls run.
type nodeFault struct {
	rounds int
	begin  func(*harness.Cluster, *harness.VM) error
	end    func(*harness.Cluster, *harness.VM) error
	// hold is how long the fault lasts at least. While it lasts, callers avoid the node;
	// other nodes still send to it.
	hold time.Duration
}

// breakNodes runs faults while calls run and checks all calls.
func breakNodes(t *testing.T, f nodeFault) {
	c, _ := start(t)
	rng := rand.New(rand.NewPCG(faultSeed, 0))
	load, err := c.StartLoad(callers, faultSeed)
	So(err, ShouldBeNil)
	So(load.More(callsPerStep), ShouldBeNil)
	for range f.rounds {
		vm := c.VMs[rng.IntN(len(c.VMs))]
		So(f.begin(c, vm), ShouldBeNil)
		if f.hold > 0 {
			load.Avoid(vm)
			time.Sleep(f.hold)
		}
		So(load.More(callsPerStep), ShouldBeNil)
		So(f.end(c, vm), ShouldBeNil)
		So(c.MarkReady(vm), ShouldBeNil)
		load.Avoid(nil)
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
		breakNodes(t, nodeFault{
			rounds: 8,
			begin:  (*harness.Cluster).KillNode,
			end:    (*harness.Cluster).StartNode,
		})
	})
}

func TestPausedNodesLoseNoAnswerSilently(t *testing.T) {
	Convey("While nodes are paused, each caller gets a whole answer or an error with a true verdict", t, func() {
		breakNodes(t, nodeFault{
			rounds: 4,
			begin:  (*harness.Cluster).PauseNode,
			end:    (*harness.Cluster).ResumeNode,
			// Longer than the deadline of a booking and than the silence after which
			// other nodes give up their sessions.
			hold: 6 * time.Second,
		})
	})
}
