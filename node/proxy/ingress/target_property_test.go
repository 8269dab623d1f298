package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnladder.example/core/mesh"
	"pgregory.net/rapid"
)

// propertyPrefixes are the prefixes of routes for PUT; those with an odd index may be repeated.
var propertyPrefixes = []string{"/a/", "/a/b/", "/b/", "/a//", "/a%2F/", "/a/../", "/A/", "/b/a/"}

// drawTarget returns a path, of pieces that programs read differently, and a query or "". Most paths
// have a route, or one that looks like theirs.
func drawTarget(rt *rapid.T) (path, query string) {
	start := rapid.SampledFrom(append([]string{"/", "/a", "//a/", "/%61/", "/a%2fb/", "/a/./b/", "/.././a/", "/b/%2e./a/", "/a\\b/"}, propertyPrefixes...))
	piece := rapid.SampledFrom([]string{
		"/", "/", "/", "a", "b", "A", "%2F", "%2f", "..", ".", "%2e", "%61", "\\", "%5C", "%", "%zz", "%00", ";", "*", "+", "(", "é", "://", "@", ":",
	})
	draw := func(name string) string { return strings.Join(rapid.SliceOfN(piece, 0, 8).Draw(rt, name), "") }
	path = start.Draw(rt, "start") + draw("path")
	if rapid.Bool().Draw(rt, "has query") {
		query = "?" + draw("query")
	}
	return path, query
}

// Guards against any difference between the target that was sent, the one that chooses the route and the one that is passed on.
func TestOneReadingOfTargets(t *testing.T) {
	f := newFleet(t, replyOK)
	defer f.close()
	var routes []*mesh.Route
	for i, prefix := range propertyPrefixes {
		routes = append(routes, &mesh.Route{
			Name: prefix, Methods: []string{http.MethodPut}, Prefix: prefix, Service: "programma", Resource: "sessions",
			Idempotent: i%2 == 1, Retry: mesh.Retry{Attempts: 2}, Deadline: 20_000,
		})
	}
	f.ingress.State.Install(testSnapshot(t, routes...), time.Now())
	rapid.Check(t, func(rt *rapid.T) {
		path, query := drawTarget(rt)
		sent := rapid.SampledFrom([]string{"", "http://programma.example"}).Draw(rt, "form") + path + query
		want := -1
		for i, prefix := range propertyPrefixes {
			if strings.HasPrefix(path, prefix) && (want < 0 || len(prefix) > len(propertyPrefixes[want])) {
				want = i
			}
		}
		before := f.totalCalls()
		status, _ := f.rawStatus(fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: programma.example\r\nContent-Length: 0\r\n\r\n", sent))
		if want < 0 {
			if status != http.StatusNotFound || f.totalCalls() != before {
				rt.Fatalf("%q, which has no route, got status %d", sent, status)
			}
			return
		}
		if status != http.StatusOK || f.totalCalls() != before+1 {
			rt.Fatalf("%q got status %d", sent, status)
		}
		call := f.peers["vm0"].lastCall()
		if call.GetUri() != sent {
			rt.Fatalf("%q was passed on as %q", sent, call.GetUri())
		}
		if call.GetRoute() != propertyPrefixes[want] || call.GetIdempotent() != (want%2 == 1) {
			rt.Fatalf("%q got the route %q, want %q", sent, call.GetRoute(), propertyPrefixes[want])
		}
	})
}
