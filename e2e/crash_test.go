package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"auburnladder.example/e2e/harness"
	"auburnladder.example/platform/standin"
)

// crashes returns the number of crashes of all servers.
func crashes(c *harness.StoreCluster) int {
	total := 0
	for _, vm := range c.VMs {
		total += int(vm.Server.Crashes.Load())
	}
	return total
}

// Guards against a request that crashes server after server because no node knows what the others learnt of it.
func TestCrashingRequestIsStopped(t *testing.T) {
	const (
		threshold = 3 // crashes after which no node may send the request
		spread    = 3 // further crashes by requests that were sent meanwhile
		rounds    = 12
		downtime  = 300 * time.Millisecond
	)
	Convey("A request that crashes the servers that run it is refused by all nodes; others are served", t, func() {
		c := startStoreOf(t, "a", "a", "a", "a", "a", "b")
		for _, vm := range c.VMs {
			c.CrashOnRequest(vm, downtime)
		}
		for round := range rounds {
			var senders conc.WaitGroup
			for i, vm := range c.VMs[:5] {
				senders.Go(func() {
					time.Sleep(time.Duration(i) * downtime / 10)
					_, _ = c.Send(vm, http.MethodGet, standin.ReadHost, "/x/"+standin.CrashPath, fmt.Sprintf("c%d-%d", round, i))
				})
			}
			senders.Wait()
		}
		So(crashes(c), ShouldBeLessThanOrEqualTo, threshold+spread)
		for _, vm := range c.VMs[:5] {
			awaitStatus(c, vm, http.MethodGet, standin.ReadHost, "/x/"+standin.CrashPath, http.StatusServiceUnavailable)
			awaitStatus(c, vm, http.MethodGet, standin.ReadHost, "/x/1", http.StatusOK)
		}
		before := crashes(c)
		So(c.VMs[0].Node.Kill(), ShouldBeNil)
		So(c.StartNode(c.VMs[0]), ShouldBeNil)
		So(c.AwaitReady(c.VMs[0]), ShouldBeNil)
		awaitStatus(c, c.VMs[0], http.MethodGet, standin.ReadHost, "/x/"+standin.CrashPath, http.StatusServiceUnavailable)
		So(crashes(c), ShouldBeLessThanOrEqualTo, before+1)
	})
}
