package egress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/core/drain"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// drainRig is an egressRig with a Drainer. The server blocks requests for /seats/hold.
type drainRig struct {
	*egressRig
	drainer *Drainer
	hold    chan struct{}
	held    chan struct{}
	leaving atomic.Bool
	stops   atomic.Int64
	done    chan bool

	mu     sync.Mutex
	causes []string
}

// SetLeaving implements LeavingSetter.
func (r *drainRig) SetLeaving(leaving bool, cause string) {
	r.egress.State.SetLeaving(leaving)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.causes = append(r.causes, fmt.Sprint(leaving, " ", cause))
}

func newDrainRig() *drainRig {
	r := &drainRig{hold: make(chan struct{}), held: make(chan struct{}, 8), done: make(chan bool, 1)}
	r.egressRig = newEgressRig(newRawServer(r.handle))
	r.egress.applyServerLimits()
	cfg := DefaultDrainConfig()
	cfg.CheckInterval, cfg.PollInterval = time.Millisecond, time.Millisecond
	cfg.Machine.AnnounceWait = 0
	r.drainer = NewDrainer(r.egress, r, cfg)
	r.tasks.Go(func() { r.done <- r.drainer.Run(context.Background()) })
	return r
}

func (r *drainRig) handle(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
	switch req.URL.Path {
	case "/_drain":
		status := "200 OK"
		if r.leaving.Load() {
			status = "503 Leaving"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
		return true
	case "/_stop":
		if req.Method == http.MethodPost {
			r.stops.Add(1)
		}
		fmt.Fprint(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		return true
	case "/seats/hold":
		r.held <- struct{}{}
		<-r.hold
	}
	return serveOK(conn, b, req)
}

func (r *drainRig) refusesAsLeaving() bool {
	return r.do(r.call()).GetRefusal() == peerpb.Refusal_REFUSAL_LEAVING
}

// A drain that stops the server too early cuts requests in flight, and one that misses a
// signal leaves the server in service. Each signal is sent while a request is in flight.
func TestDrainer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx := context.Background()
	list := func(revision uint64, leaving bool) *vmlist.List {
		return &vmlist.List{Revision: revision, VMs: []vmlist.VM{{ID: "tickets-1", Service: "tickets", Leaving: leaving}}}
	}
	signals := map[string]struct {
		signal func(*drainRig)
		stops  int
	}{
		"SIGTERM":                     {func(r *drainRig) { r.drainer.Signal(ctx, drain.ReasonTerminate) }, 1},
		"leaving mark in the VM list": {func(r *drainRig) { r.egress.State.ReplaceVMs(list(2, true)) }, 1},
		"drain path of the server":    {func(r *drainRig) { r.leaving.Store(true) }, 1},
		"restart of the node":         {func(r *drainRig) { r.drainer.Signal(ctx, drain.ReasonRestart) }, 0},
	}
	Convey("Each signal refuses new calls, lets requests in flight complete, then stops the server as configured", t, func() {
		for name, c := range signals {
			Convey(name, func() {
				r := newDrainRig()
				call := withURI(r.call(), "/seats/hold")
				st := r.open(call)
				So(receivedInTime(r.held), ShouldBeTrue)
				c.signal(r)
				waitUntil(r.refusesAsLeaving)
				r.drainer.Signal(ctx, drain.ReasonRestart)
				So(r.stops.Load(), ShouldEqual, 0)
				So(r.done, ShouldBeEmpty)
				close(r.hold)
				So(readReply(st, call).GetStatus(), ShouldEqual, 200)
				So(<-r.done, ShouldBeTrue)
				So(r.stops.Load(), ShouldEqual, c.stops)
				So(r.causes, ShouldHaveLength, 1)
				r.close()
			})
		}
	})
	Convey("Withdrawing the leaving mark while a request is in flight returns the server to service", t, func() {
		r := newDrainRig()
		call := withURI(r.call(), "/seats/hold")
		st := r.open(call)
		So(receivedInTime(r.held), ShouldBeTrue)
		r.egress.State.ReplaceVMs(list(2, true))
		waitUntil(r.refusesAsLeaving)
		r.egress.State.ReplaceVMs(list(3, false))
		waitUntil(func() bool { return !r.refusesAsLeaving() })
		close(r.hold)
		So(readReply(st, call).GetStatus(), ShouldEqual, 200)
		So(r.stops.Load(), ShouldEqual, 0)
		r.drainer.Signal(ctx, drain.ReasonTerminate)
		So(<-r.done, ShouldBeTrue)
		So(r.stops.Load(), ShouldEqual, 1)
		r.close()
	})
}
