package ingress

import (
	"net/http"
	"testing"
	"time"

	"auburnladder.example/core/mesh"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a 404 by a release that is no longer the active one when the request runs.
func TestRouteAddedBeforeRequestRuns(t *testing.T) {
	Convey("A request that was read before its route came in force, and runs after that, gets no 404", t, func() {
		f := newPublishedFleet(t, replyOK)
		f.ingress.Current = func() bool {
			snap, err := mesh.BuildPublished(nil, &mesh.Published{Sequence: 3, Services: []*mesh.Service{{
				Name: "programma", Callers: []string{mesh.AnyCaller}, Stop: mesh.Stop{Method: mesh.StopNone, Grace: 1000},
				Resources: []mesh.Resource{{Name: "all", MaxRequestBytes: maxTestBody, MaxResponseBytes: 1 << 20}},
				Routes: []*mesh.Route{{
					Name: "added", Methods: []string{mesh.AnyMethod}, Host: "programma.example", Prefix: "/added/", Service: "programma",
					Resource: "all", Retry: mesh.Retry{Attempts: 1}, Deadline: 20_000,
				}},
			}}})
			if err != nil {
				panic(err)
			}
			f.ingress.State.Install(snap, time.Now())
			return true
		}
		status, _ := f.status("GET", "/added/1", "", "X-Id: a")
		So(status, ShouldNotEqual, http.StatusNotFound)
		f.close()
	})
}
