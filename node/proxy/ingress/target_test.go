package ingress

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/mesh"
)

// Guards against a request that is routed by one host or path and that a server may read as one for another.
func TestRequestWithTwoReadingsIsRefused(t *testing.T) {
	Convey("A head that is no valid HTTP gets 400 and the connection closes", t, func() {
		f := newFleet(t, replyOK)
		defer f.close()
		for _, c := range []struct{ line, host string }{
			{"GET /a#b?c", "programma.example"},
			{"GET http://programma.example/", "other.example"},
			{"GET http://user@programma.example/", "programma.example"},
			{"GET ftp://programma.example/", "programma.example"},
			{"GET /", "user@programma.example"},
			{"GET /", "programma.example:80x"},
			{"GET /", "programma.example/a"},
			{"CONNECT programma.example:80", "programma.example:80"},
		} {
			status, closes := f.rawStatus(fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\n\r\n", c.line, c.host))
			SoMsg(c.line+" at "+c.host, status, ShouldEqual, http.StatusBadRequest)
			So(closes, ShouldBeTrue)
		}
		So(f.totalCalls(), ShouldEqual, 0)
	})
}

// readRoute may be repeated, unlike other requests with POST.
var readRoute = mesh.Route{
	Name: "look-up", Methods: []string{"POST"}, Prefix: "/read/", Service: "programma", Resource: "sessions",
	Idempotent: true, Retry: mesh.Retry{Attempts: 3}, Deadline: 20_000,
}

// Guards against a request that is repeated by the route of a cleaned path, which its own path does not name.
func TestRawPathDecidesOnRepeats(t *testing.T) {
	Convey("Only a path that the prefix begins byte for byte is repeated after a lost answer", t, func() {
		for _, c := range []struct {
			target   string
			attempts int
		}{
			{"/read/1", 3},
			{"/read/../book", 3},
			{"/read%2F1", 1},
			{"//read/1", 1},
			{"/book/../read/1", 1},
			{"/./read/1", 1},
			{"/%72ead/1", 1},
			{"/book?/read/1", 1},
		} {
			f := newFleet(t, dropSession, dropSession, dropSession)
			f.ingress.State.Install(testSnapshot(t, readRoute), time.Now())
			f.status("POST", c.target, "")
			SoMsg(c.target, f.totalCalls(), ShouldEqual, c.attempts)
			f.close()
		}
	})
}
