package ingress

import (
	"testing"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an attempt at a server that was removed from the list since the call began.
func TestNoRetryAtARemovedServer(t *testing.T) {
	Convey("A server that is removed during the first attempt of a call gets no later attempt", t, func() {
		var f *fleet
		refuse := func(l *link, call *peerpb.Call, st *session.Stream) {
			f.ingress.State.ReplaceVMs(&vmlist.List{Revision: 2, VMs: []vmlist.VM{{ID: l.vm, Service: "programma", Domain: "a", Region: "r1"}}})
			_ = st.Send(&peerpb.Reply{
				Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_NOT_RUN, Refusal: peerpb.Refusal_REFUSAL_OVERLOAD, RetryAfterMs: 1,
			})
		}
		f = newPublishedFleet(t, refuse, refuse)
		f.status("POST", "/book/1", "", "X-Id: a")
		So(f.totalCalls(), ShouldEqual, 1)
		f.close()
	})
}
