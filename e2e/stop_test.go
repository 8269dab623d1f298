package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"auburnladder.example/e2e/harness"
	"auburnladder.example/platform/standin"
)

// startWithGrace starts a cluster whose first node has another grace period, and waits until it
// serves.
func startWithGrace(t *testing.T, grace string) (*harness.StoreCluster, *harness.StoreVM) {
	c := startStoreOf(t, "a", "a", "b")
	vm := c.VMs[0]
	c.Grace = grace
	So(vm.Node.Kill(), ShouldBeNil)
	So(c.StartNode(vm), ShouldBeNil)
	So(c.AwaitReady(vm), ShouldBeNil)
	awaitStatus(c, vm, http.MethodPost, standin.BookHost, "/1", http.StatusOK)
	return c, vm
}

// Guards against a stop that takes requests which it cuts without an answer at the end of its grace period.
func TestStopAnswersLateRequests(t *testing.T) {
	Convey("With a short grace period, every request that is taken during the stop gets an answer", t, func() {
		c, vm := startWithGrace(t, "3s")
		c.VMs[2].Server.SetWork(400 * time.Millisecond)
		var stopped atomic.Bool
		var unanswered, answered atomic.Int64
		var load conc.WaitGroup
		for worker := range 3 {
			load.Go(func() {
				for n := 0; !stopped.Load(); n++ {
					_, err := c.Send(vm, http.MethodPost, standin.BookHost, "/1", fmt.Sprintf("w%d-%d", worker, n))
					switch {
					case err == nil:
						answered.Add(1)
					case !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET):
						unanswered.Add(1)
					}
				}
			})
		}
		_, err := vm.Node.Terminate()
		stopped.Store(true)
		load.Wait()
		So(err, ShouldBeNil)
		So(answered.Load(), ShouldBeGreaterThan, 0)
		So(unanswered.Load(), ShouldEqual, 0)
	})
}

// Guards against a stop that ends requests in flight without telling their callers.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	Convey("A request whose server is still at work at the end of the grace period is told that it may have run", t, func() {
		c, vm := startWithGrace(t, "1500ms")
		c.VMs[2].Server.SetWork(3 * time.Second)
		runs := c.VMs[2].Server.Runs.Load()
		var status atomic.Int64
		var caller conc.WaitGroup
		caller.Go(func() {
			if resp, err := c.Send(vm, http.MethodPost, standin.BookHost, "/1", "long"); err == nil {
				status.Store(int64(resp.StatusCode))
			}
		})
		for c.VMs[2].Server.Runs.Load() == runs {
			time.Sleep(time.Millisecond)
		}
		_, err := vm.Node.Terminate()
		caller.Wait()
		So(err, ShouldBeNil)
		So(status.Load(), ShouldEqual, http.StatusBadGateway)
	})
}
