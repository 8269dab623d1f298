package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"auburnladder.example/core/drain"
	"auburnladder.example/core/verdict"
	"auburnladder.example/e2e/harness"
	"auburnladder.example/standin/backend"
)

const (
	// slowCalls is the number of slow bookings. It is large enough that each of the
	// service's three servers receives some.
	slowCalls = 9
	// slowFault delays a booking for longer than a leaving node announces its departure,
	// so that the booking is still in flight when the announcement ends.
	slowFault = "slow=2s"
)

// booking is the result of one slow booking request.
type booking struct {
	status  int
	verdict string
	err     error
}

func sendSlowBooking(node *harness.VM, id int) booking {
	req, err := http.NewRequest(http.MethodPost, "http://"+node.Caller.String()+"/bookings", strings.NewReader("seat"))
	if err != nil {
		return booking{err: err}
	}
	req.Host = "inschrijving.zaalwijzer.example"
	req.Header.Set(backend.FaultHeader, slowFault)
	req.Header.Set(backend.RequestIDHeader, fmt.Sprint("slow-", id))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return booking{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return booking{resp.StatusCode, resp.Header.Get(verdict.Header), err}
}

// countSlowBookings counts the countSlowBookings that reached a VM's backend server.
func countSlowBookings(vm *harness.VM) (int, error) {
	records, err := harness.ReadJournal[backend.Record](vm.HistoryFile())
	n := 0
	for _, r := range records {
		if strings.HasPrefix(r.RequestID, "slow-") && r.End.IsZero() {
			n++
		}
	}
	return n, err
}

// Guards against a drain that aborts requests in flight or accepts new ones after the
// server has been announced as leaving, for each of the three ways to start a drain.
func TestDrainCutsNothing(t *testing.T) {
	cases := map[string]struct {
		signal func(*harness.Cluster, *harness.VM) error
		// stopsServer reports whether the drain also stops the backend server.
		stopsServer bool
	}{
		"SIGTERM to the node":                   {signalNode(syscall.SIGTERM), true},
		"the mark leaving in the list of VMs":   {markLeaving, true},
		"SIGINT, a planned restart of the node": {signalNode(syscall.SIGINT), false},
	}
	Convey("A leaving server completes its slow bookings in flight and receives no new requests", t, func() {
		for name, tc := range cases {
			Convey(name, func() {
				drainUnderLoad(t, tc.signal, tc.stopsServer)
			})
		}
	})
}

func signalNode(sig syscall.Signal) func(*harness.Cluster, *harness.VM) error {
	return func(_ *harness.Cluster, vm *harness.VM) error { return vm.Node.Signal(sig) }
}

func markLeaving(c *harness.Cluster, vm *harness.VM) error {
	return c.MarkLeaving(vm, true)
}

func drainUnderLoad(t *testing.T, signal func(*harness.Cluster, *harness.VM) error, stopsServer bool) {
	c, _ := startCluster(t)
	leaving, others := pickLeaving(c.VMs)
	for _, vm := range c.VMs {
		So(awaitFullLimit(vm), ShouldBeNil)
	}
	load, err := c.StartLoad(4, faultSeed)
	So(err, ShouldBeNil)
	load.Exclude(leaving)
	So(load.AwaitCalls(100), ShouldBeNil)
	outcomes := make([]booking, slowCalls)
	var callers conc.WaitGroup
	for i := range outcomes {
		callers.Go(func() { outcomes[i] = sendSlowBooking(others[i%len(others)], i) })
	}
	So(harness.Eventually("slow bookings in flight at the leaving server", func() error {
		if n, err := countSlowBookings(leaving); err != nil || n == 0 {
			return fmt.Errorf("%d bookings reached the server, error %v", n, err)
		}
		return nil
	}), ShouldBeNil)

	signalled := time.Now()
	So(signal(c, leaving), ShouldBeNil)
	code, err := leaving.Node.ExitCode()
	So(err, ShouldBeNil)
	So(code, ShouldEqual, 0)
	callers.Wait()
	for _, o := range outcomes {
		So(o, ShouldResemble, booking{status: http.StatusOK, verdict: verdict.Ran.String()})
	}
	if stopsServer {
		code, err := leaving.Backend.ExitCode()
		So(err, ShouldBeNil)
		So(code, ShouldEqual, 0)
		So(lastRequestStart(leaving), ShouldHappenBefore, signalled.Add(drain.MaxRefuseDelay))
	} else {
		So(hasExited(leaving.Backend), ShouldBeFalse)
		So(c.StartNode(leaving), ShouldBeNil)
		So(c.AwaitReady(leaving), ShouldBeNil)
	}
	So(load.AwaitCalls(200), ShouldBeNil)
	load.Stop()
	sum, err := c.CheckCalls(load.Calls.Records())
	t.Logf("%+v", sum)
	So(err, ShouldBeNil)
	So(sum.Complete["programma"]+sum.Complete["inschrijving"], ShouldEqual, sum.Calls)
}

// lastRequestStart returns the time at which the VM's backend server received its
// last request from a caller.
func lastRequestStart(vm *harness.VM) time.Time {
	records, err := harness.ReadJournal[backend.Record](vm.HistoryFile())
	So(err, ShouldBeNil)
	var last time.Time
	for _, r := range records {
		if r.Start.After(last) {
			last = r.Start
		}
	}
	return last
}

// awaitFullLimit waits until a node's concurrency limit covers all slots of its server.
// During slow start, the slow bookings would take up the lower limit and leave no slot
// for other calls.
func awaitFullLimit(vm *harness.VM) error {
	const slots = 10
	return harness.Eventually(vm.ID+" is past its slow start", func() error {
		resp, err := http.Get("http://" + vm.Admin.String() + "/debug/vars")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		var vars struct {
			Egress struct {
				Limit int `json:"limit"`
			} `json:"egress"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
			return err
		}
		if vars.Egress.Limit < slots {
			return fmt.Errorf("concurrency limit is %d of %d slots", vars.Egress.Limit, slots)
		}
		return nil
	})
}

// pickLeaving returns one VM of the service inschrijving and all other VMs.
func pickLeaving(vms []*harness.VM) (leaving *harness.VM, others []*harness.VM) {
	for _, vm := range vms {
		if leaving == nil && vm.Service == "inschrijving" {
			leaving = vm
			continue
		}
		others = append(others, vm)
	}
	return leaving, others
}

func hasExited(p *harness.Process) bool {
	select {
	case <-p.Exited():
		return true
	default:
		return false
	}
}
