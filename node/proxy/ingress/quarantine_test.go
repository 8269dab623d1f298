package ingress

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/quarantine"
	"auburnladder.example/core/verdict"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

// replyCrashed replies that the server crashed while it ran the call, which is charged with the
// given number of crashes.
func replyCrashed(crashes uint64) handler {
	return func(_ *link, call *peerpb.Call, st *session.Stream) {
		record := &peerpb.CrashRecord{Fingerprint: call.GetFingerprint()}
		for id := range crashes {
			record.Crashes = append(record.Crashes, &peerpb.Crash{Id: id + 1})
		}
		_ = st.Send(&peerpb.Reply{
			Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_MAY_HAVE_RUN, Crashes: []*peerpb.CrashRecord{record},
		})
	}
}

// Guards against a quarantined request that is sent, or whose failure says 'not run' although it may have run.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	Convey("A request that crashed servers is not repeated; further ones are refused at once as not run", t, func() {
		f := newFleet(t, slices.Repeat([]handler{replyCrashed(3)}, 3)...)
		status, v := f.status("GET", "/1", "")
		So(status, ShouldEqual, http.StatusBadGateway)
		So(v, ShouldEqual, verdict.MayHaveRun.String())
		So(f.totalCalls(), ShouldEqual, 1)

		resp, err := f.send("GET", "/1", "")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header.Get(verdict.Header), ShouldEqual, verdict.NotRun.String())
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(resp.Body.Close(), ShouldBeNil)
		So(f.totalCalls(), ShouldEqual, 1)

		f.status("GET", "/2", "")
		So(f.totalCalls(), ShouldEqual, 2)
		f.close()
	})
	Convey("A repeated attempt carries the records of the crash, and a suspect goes to the same server each time", t, func() {
		var crashes atomic.Uint64
		crashOnce := func(l *link, call *peerpb.Call, st *session.Stream) {
			if crashes.Add(1) == 1 {
				replyCrashed(1)(l, call, st)
				return
			}
			replyOK(l, call, st)
		}
		f := newFleet(t, slices.Repeat([]handler{crashOnce}, 5)...)
		So(statusOnly(f.status("GET", "/1", "")), ShouldEqual, http.StatusOK)
		carried := 0
		for _, p := range f.peers {
			if p.callCount() > 0 && len(p.firstCall().GetCrashes()) > 0 {
				carried++
			}
		}
		So(carried, ShouldEqual, 1)
		state, _ := f.ingress.Quarantine.State(quarantine.Fingerprint(crashedFingerprint(f)))
		So(state, ShouldEqual, quarantine.Suspect)
		for range 20 {
			So(statusOnly(f.status("GET", "/1", "")), ShouldEqual, http.StatusOK)
		}
		servers := 0
		for _, p := range f.peers {
			if p.callCount() >= 20 {
				servers++
			}
		}
		So(servers, ShouldEqual, 1)
		f.close()
	})
	for _, refusal := range []peerpb.Refusal{peerpb.Refusal_REFUSAL_QUARANTINED, peerpb.Refusal_REFUSAL_REPEATED} {
		Convey("A refusal of a server's node is final: "+refusal.String(), t, func() {
			refuse := func(_ *link, call *peerpb.Call, st *session.Stream) {
				_ = st.Send(&peerpb.Reply{Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_NOT_RUN, Refusal: refusal, RetryAfterMs: 2000})
			}
			f := newFleet(t, refuse, refuse, refuse)
			resp, err := f.send("POST", "/1", "")
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.Header.Get("Retry-After"), ShouldEqual, "2")
			So(resp.Body.Close(), ShouldBeNil)
			So(f.totalCalls(), ShouldEqual, 1)
			f.close()
		})
	}
}

func statusOnly(status int, _ string) int { return status }

// crashedFingerprint returns the fingerprint of the first call that a peer received.
func crashedFingerprint(f *fleet) uint64 {
	for _, p := range f.peers {
		if p.callCount() > 0 {
			return p.firstCall().GetFingerprint()
		}
	}
	return 0
}
