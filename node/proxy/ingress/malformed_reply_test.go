package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/core/verdict"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a status that no server may give, or a text of a server, that arrives at the caller
// because the node of the server is of an earlier version.
func TestMalformedReplies(t *testing.T) {
	for name, reply := range map[string]*peerpb.Reply{
		"status 0":                 {Verdict: peerpb.Verdict_VERDICT_RAN, Body: []byte("seal")},
		"status 101":               {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 101, Body: []byte("seal")},
		"status 600":               {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 600, Body: []byte("seal")},
		"blank in a name":          {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Headers: []*peerpb.Header{{Name: "X Bad", Value: "y"}}},
		"blank behind a name":      {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 404, Headers: []*peerpb.Header{{Name: "X-Bad ", Value: "y"}}},
		"control byte in a name":   {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Headers: []*peerpb.Header{{Name: "X\x01Bad", Value: "y"}}},
		"colon in a name":          {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Headers: []*peerpb.Header{{Name: "X:Bad", Value: "y"}}},
		"no name":                  {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Headers: []*peerpb.Header{{Value: "y"}}},
		"line ending in a value":   {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Headers: []*peerpb.Header{{Name: "X-Bad", Value: "y\r\nX: y"}}},
		"control byte in a value":  {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, Headers: []*peerpb.Header{{Name: "X-Bad", Value: "\x00"}}},
		"blank in a streamed head": {Verdict: peerpb.Verdict_VERDICT_RAN, Status: 200, More: true, Headers: []*peerpb.Header{{Name: "X Bad", Value: "y"}}},
		"text quoted":              {Verdict: peerpb.Verdict_VERDICT_MAY_HAVE_RUN, Detail: `cannot parse "X-Seal: seal"`},
	} {
		bad := func(_ *link, call *peerpb.Call, st *session.Stream) {
			_ = st.Send(&peerpb.Reply{
				Id: call.GetId(), Verdict: reply.GetVerdict(), Status: reply.GetStatus(), Body: reply.GetBody(), Detail: reply.GetDetail(),
				Headers: append([]*peerpb.Header{{Name: "X-Seal", Value: "seal"}}, reply.GetHeaders()...), More: reply.GetMore(),
			})
			if reply.GetMore() {
				_ = st.Send(&peerpb.Body{Data: []byte("seal"), Last: true, Total: 4})
			}
		}
		Convey("A malformed reply is may-have-run and a failure of the server: "+name, t, func() {
			f := newPublishedFleet(t, bad, bad)
			for path, attempts := range map[string]int{"/book/1": 1, "/read/1": 2} {
				method := map[int]string{1: http.MethodPost, 2: http.MethodGet}[attempts]
				before := f.totalCalls()
				resp, err := f.send(method, path, "", "X-Id: a")
				So(err, ShouldBeNil)
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
				So(resp.Header.Get(verdict.Header), ShouldEqual, verdict.MayHaveRun.String())
				So(resp.Header.Get("X-Seal"), ShouldBeEmpty)
				So(string(body), ShouldNotContainSubstring, "seal")
				So(f.totalCalls()-before, ShouldEqual, attempts)
			}
			f.close()
		})
	}
}

// Guards against an attempt that begins after the deadline of its call: it is sent in vain, and a server
// counts as unreachable because no time was left to reach it.
func TestNoAttemptAfterTheDeadline(t *testing.T) {
	Convey("An attempt that begins after the deadline is not sent and doesn't count against the server", t, func() {
		a := &attempt{deadline: time.Now().Add(-time.Millisecond)}
		a.run()
		So(a.verdict(), ShouldEqual, verdict.NotRun)
		So(a.outcome.Kind, ShouldEqual, routing.Cancelled)
	})
}
