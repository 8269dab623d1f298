package ingress

import (
	"net/http"
	"testing"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a node that relies on the server's own node, which may restart and forget.
func TestNodeForgetsThatAServerLeaves(t *testing.T) {
	Convey("A server that announced that it leaves gets no more requests, whatever its node and the list say later", t, func() {
		run := vmlist.Run{Instance: "run-1", StartedAtMs: 1000}
		first := true
		f := newPublishedFleet(t, func(_ *link, call *peerpb.Call, st *session.Stream) {
			reply := &peerpb.Reply{Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_RAN, Status: http.StatusOK, Load: &peerpb.Load{Limit: 10}}
			if first {
				reply.Load.LeavingServer = &peerpb.ServerRun{Instance: run.Instance, StartedAtMs: run.StartedAtMs}
			}
			first = false
			_ = st.Send(reply)
		})
		list := func(revision uint64, started int64) {
			vm := vmlist.VM{ID: "vm0", Service: "programma", Domain: "a", Region: "r1", Instance: run.Instance, StartedAtMs: started, Slots: 10}
			f.ingress.State.ReplaceVMs(&vmlist.List{Revision: revision, VMs: []vmlist.VM{vm}})
		}
		f.ingress.Announcements = &command.Commander{State: f.ingress.State, Log: zerolog.Nop(), Now: time.Now}
		list(2, run.StartedAtMs)
		status, _ := f.status("GET", "/read/1", "", "X-Id: a")
		So(status, ShouldEqual, http.StatusOK)
		status, _ = f.status("GET", "/read/1", "", "X-Id: b")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		list(3, run.StartedAtMs)
		status, _ = f.status("GET", "/read/1", "", "X-Id: c")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		list(4, run.StartedAtMs+1)
		status, _ = f.status("GET", "/read/1", "", "X-Id: d")
		So(status, ShouldEqual, http.StatusOK)
		f.close()
	})
}
