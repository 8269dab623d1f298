package ingress

import (
	"fmt"
	"net/http"
	"slices"
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
var readRoute = &mesh.Route{
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
			{"/read%2F1", 1},
			{"/read/1", 3},
			{"/read/../book", 3},
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

// Guards against a target that is decoded, cleaned or rebuilt before the backend server gets it.
func TestTargetIsPassedOnAsSent(t *testing.T) {
	Convey("The node of the server gets the bytes of the target", t, func() {
		for _, target := range []string{
			"/a%2Fb", "/a//b", "//a", "/a/../b", "/a/%2e%2E/b", "/a\\b", "/%zz", "/(1)", "/it's", "/a%2Bb", "/a+b", "/\xc3\xa9",
			"/?", "/a?b=%2F//../&c=/", "/a?b?c", "http://programma.example/a%2Fb", "http://programma.example?q=1",
		} {
			f := newFleet(t, replyOK)
			status, _ := f.status("POST", target, "")
			SoMsg(target, status, ShouldEqual, http.StatusOK)
			So(f.peers["vm0"].firstCall().GetUri(), ShouldEqual, target)
			f.close()
		}
	})
}

// Guards against a crash that quarantines requests for other targets, whose cleaned path is the same.
func TestFingerprintOfTheRawTarget(t *testing.T) {
	Convey("After /a%2Fb crashed its servers, /a/b and /a//b still reach a server", t, func() {
		f := newFleet(t, replyCrashed(3))
		defer f.close()
		for i, target := range []string{"/a%2Fb", "/a/b", "/a//b"} {
			f.status("GET", target, "")
			SoMsg(target, f.totalCalls(), ShouldEqual, i+1)
		}
	})
}

// Guards against a Host header that is changed on the way, or replaced by a host that stands in the target.
func TestHostIsPassedOnAsSent(t *testing.T) {
	Convey("The node of the server gets the bytes of the Host header", t, func() {
		for _, c := range []struct{ target, host string }{
			{"/", "Programma.EXAMPLE:8080"},
			{"//other.example/://x", "programma.example"},
			{"HTTP://programma.example/", "PROGRAMMA.example"},
		} {
			f := newFleet(t, replyOK)
			status, _ := f.rawStatus(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.target, c.host))
			SoMsg(c.target+" at "+c.host, status, ShouldEqual, http.StatusOK)
			So(f.peers["vm0"].firstCall().GetHost(), ShouldEqual, c.host)
			f.close()
		}
	})
}

// Guards against headers whose values are rebuilt, or that are left out because they are empty.
func TestHeaderValuesArePassedOnAsSent(t *testing.T) {
	Convey("The node of the server gets the values and the order of the headers", t, func() {
		f := newFleet(t, replyOK)
		defer f.close()
		sent := []string{"Cookie: a=1;b=\"2 3\"; ;c", "X-B: 1", "Cookie: a=2", "User-Agent: ", "X-A: a,b", "X-B: 2", "X-C: 1 2"}
		folded := append(slices.Clone(sent[:len(sent)-1]), "x-c: 1\r\n\t2")
		status, _ := f.status("POST", "/", "body", folded...)
		So(status, ShouldEqual, http.StatusOK)
		var got []string
		for _, h := range f.peers["vm0"].firstCall().GetHeaders() {
			got = append(got, h.GetName()+": "+h.GetValue())
		}
		So(got, ShouldResemble, sent)
	})
}

// Guards against a field behind the body that is taken for a header which the server doesn't get.
func TestTrailerFieldsAreNoHeaders(t *testing.T) {
	Convey("A trailer sets neither the deadline nor the trace of its request", t, func() {
		f := newFleet(t, replyOK)
		defer f.close()
		f.ingress.Headers.Deadline = "X-Deadline-Ms"
		status, _ := f.rawStatus("POST / HTTP/1.1\r\nHost: programma.example\r\nTrailer: X-Deadline-Ms\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"1\r\na\r\n0\r\nX-Deadline-Ms: 0\r\nTraceparent: 00-1-2-01\r\n\r\n")
		So(status, ShouldEqual, http.StatusOK)
		So(f.peers["vm0"].firstCall().GetTraceparent(), ShouldBeEmpty)
		So(f.peers["vm0"].firstCall().GetHeaders(), ShouldBeEmpty)
	})
}
