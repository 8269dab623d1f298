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
	// callsPerStep is the number of calls that complete before, during and after each
	// fault.
	callsPerStep = 80
	loadWorkers  = 24
)

// nodeFault describes a fault that is injected into one random node at a time while
// calls run.
type nodeFault struct {
	rounds int
	begin  func(*harness.Cluster, *harness.VM) error
	end    func(*harness.Cluster, *harness.VM) error
	// minDuration is the least time between begin and end. If it is set, the load sends no
	// new calls to the node until end; other nodes still forward calls to it.
	minDuration time.Duration
}

// injectNodeFaults injects faults while calls run and checks the outcome of every call.
func injectNodeFaults(t *testing.T, f nodeFault) {
	c, _ := startCluster(t)
	rng := rand.New(rand.NewPCG(faultSeed, 0))
	load, err := c.StartLoad(loadWorkers, faultSeed)
	So(err, ShouldBeNil)
	So(load.AwaitCalls(callsPerStep), ShouldBeNil)
	for range f.rounds {
		vm := c.VMs[rng.IntN(len(c.VMs))]
		So(f.begin(c, vm), ShouldBeNil)
		if f.minDuration > 0 {
			load.Exclude(vm)
			time.Sleep(f.minDuration)
		}
		So(load.AwaitCalls(callsPerStep), ShouldBeNil)
		So(f.end(c, vm), ShouldBeNil)
		So(c.MarkReady(vm), ShouldBeNil)
		load.Exclude(nil)
		So(load.AwaitCalls(callsPerStep), ShouldBeNil)
	}
	load.Stop()
	sum, err := c.CheckCalls(load.Calls.Records())
	t.Logf("seed %d: %+v", faultSeed, sum)
	So(err, ShouldBeNil)
	So(sum.Complete["programma"], ShouldBeGreaterThan, 0)
	So(sum.Complete["inschrijving"], ShouldBeGreaterThan, 0)
}

// Guards against truncated or mismatched responses, wrong verdicts and repeated
// non-idempotent calls when a node is killed with calls in flight.
func TestKilledNodesLoseNoAnswerSilently(t *testing.T) {
	Convey("While nodes are killed, each caller gets a complete response or an error with a correct verdict", t, func() {
		injectNodeFaults(t, nodeFault{
			rounds: 8,
			begin:  (*harness.Cluster).KillNode,
			end:    (*harness.Cluster).StartNode,
		})
	})
}

// Guards against truncated or mismatched responses, wrong verdicts and repeated
// non-idempotent calls when a node's process is paused with calls in flight.
func TestPausedNodesLoseNoAnswerSilently(t *testing.T) {
	Convey("While nodes are paused, each caller gets a complete response or an error with a correct verdict", t, func() {
		injectNodeFaults(t, nodeFault{
			rounds: 4,
			begin:  (*harness.Cluster).PauseNode,
			end:    (*harness.Cluster).ResumeNode,
			// Longer than the deadline of a booking and than the time after which other
			// nodes close an unresponsive session.
			minDuration: 6 * time.Second,
		})
	})
}
