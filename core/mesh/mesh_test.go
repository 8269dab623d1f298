package mesh

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
)

func testService(name, target string) *Service {
	return &Service{
		Name: name, Hosts: []string{name + ".example"}, Callers: []string{PublicCaller}, Priority: PriorityNormal,
		Server:    Server{Slots: 2, Connections: 4},
		Stop:      Stop{Method: StopNone, Grace: 100},
		Resources: []Resource{{Name: "main", MaxRequestBytes: 10, MaxResponseBytes: 10}},
		Routes: []*Route{
			{Name: "all", Methods: []string{"GET"}, Prefix: "/", Service: target, Resource: "main", Idempotent: true, Retry: Retry{Attempts: 2}, Deadline: 100},
			{Name: "deep", Methods: []string{"GET"}, Prefix: "/deep/er", Service: target, Resource: "main", Retry: Retry{Attempts: 1}, Deadline: 100},
		},
	}
}

// encodeRelease encodes services as a release without checking references between them,
// so that a test can build an inconsistent release.
func encodeRelease(services ...*Service) (*release.Verified, map[release.Digest][]byte) {
	chunks := make(map[release.Digest][]byte)
	m := &release.Manifest{Format: release.FormatVersion, Sequence: 1}
	for _, s := range services {
		data, err := s.Encode()
		So(err, ShouldBeNil)
		d := release.DigestOf(data)
		chunks[d] = data
		m.Chunks = append(m.Chunks, release.ChunkRef{Name: s.Name, Digest: d, Size: len(data)})
	}
	return &release.Verified{Version: release.Version{Sequence: 1}, Manifest: m}, chunks
}

func chunkSource(chunks map[release.Digest][]byte) ChunkSource {
	return func(d release.Digest) ([]byte, bool) {
		data, found := chunks[d]
		return data, found
	}
}

// Guards against a request that is routed by the host of another IPv6 address.
func TestRouteOfIPv6Host(t *testing.T) {
	Convey("An IPv6 address is a host like any other, with and without a port", t, func() {
		one, two := testService("a", "a"), testService("b", "b")
		one.Hosts, two.Hosts = nil, nil
		for i := range one.Routes {
			one.Routes[i].Host, two.Routes[i].Host = "[2001:DB8::1]", "[2001:db8::2]:80"
		}
		v, chunks := encodeRelease(one, two)
		s, err := Build(v, chunkSource(chunks))
		So(err, ShouldBeNil)
		So(s.MatchRoute("[2001:db8::1]:8080", "GET", "/").Owner.Name, ShouldEqual, "a")
		So(s.MatchRoute("[2001:db8::2]", "GET", "/").Owner.Name, ShouldEqual, "b")
		So(s.MatchRoute("[2001:db8::3]", "GET", "/"), ShouldBeNil)
	})
}

// TestBuild guards against a snapshot that is built from an incomplete, altered or
// inconsistent release.
func TestBuild(t *testing.T) {
	Convey("Build resolves the routes of a complete release", t, func() {
		v, chunks := encodeRelease(testService("a", "b"), testService("b", "b"))
		s, err := Build(v, chunkSource(chunks))
		So(err, ShouldBeNil)
		So(s.Services(), ShouldHaveLength, 2)
		So(s.MatchRoute("a.example", "GET", "/deep/er/x").Route.Name, ShouldEqual, "deep")
		So(s.MatchRoute("a.example", "GET", "/deep/error").Route.Name, ShouldEqual, "all")
		So(s.MatchRoute("A.example:8080", "GET", "/").Route.Name, ShouldEqual, "all")
		So(s.MatchRoute("a.example", "POST", "/"), ShouldBeNil)
		So(s.MatchRoute("c.example", "GET", "/"), ShouldBeNil)

		Convey("and returns an error when a chunk is missing or altered", func() {
			d := v.Manifest.Chunks[1].Digest
			chunks[d] = append([]byte(" "), chunks[d][1:]...)
			_, err := Build(v, chunkSource(chunks))
			So(err, ShouldNotBeNil)
			delete(chunks, d)
			_, err = Build(v, chunkSource(chunks))
			var missing *MissingChunkError
			So(errors.As(err, &missing), ShouldBeTrue)
			So(missing.Ref.Name, ShouldEqual, "b")
		})
	})
	cases := []struct {
		name, field string
		change      func(a, b *Service)
	}{
		{"a route to a missing service", "routes[0].service", func(a, _ *Service) { a.Routes[0].Service = "gone" }},
		{"a route to a missing resource", "routes[1].resource", func(a, _ *Service) { a.Routes[1].Resource = "gone" }},
		{"a caller that is not in the release", "callers[0]", func(a, _ *Service) { a.Callers[0] = "gone" }},
		{"a host that two services use", "hosts", func(a, b *Service) { b.Hosts = a.Hosts }},
	}
	for _, c := range cases {
		Convey("Build refuses a release and names the field for "+c.name, t, func() {
			a, b := testService("a", "b"), testService("b", "b")
			c.change(a, b)
			v, chunks := encodeRelease(a, b)
			s, err := Build(v, chunkSource(chunks))
			So(s, ShouldBeNil)
			var field *FieldError
			So(errors.As(err, &field), ShouldBeTrue)
			So(field.Field, ShouldEqual, c.field)
		})
	}
}

// TestRebuild guards against routes of a reused service that still refer to a service
// of the previous snapshot.
func TestRebuild(t *testing.T) {
	Convey("Rebuild reuses unchanged services and resolves all references again", t, func() {
		v, chunks := encodeRelease(testService("a", "b"), testService("b", "b"))
		first, err := Build(v, chunkSource(chunks))
		So(err, ShouldBeNil)
		changed := testService("b", "b")
		changed.Server.Slots = 1
		v, chunks = encodeRelease(testService("a", "b"), changed)
		second, err := Rebuild(first, v, chunkSource(chunks))
		So(err, ShouldBeNil)
		So(second.Service("a"), ShouldEqual, first.Service("a"))
		So(second.Service("b").Server.Slots, ShouldEqual, 1)
		So(second.MatchRoute("a.example", "GET", "/").Target, ShouldEqual, second.Service("b"))
		So(first.MatchRoute("a.example", "GET", "/").Target, ShouldEqual, first.Service("b"))

		v, chunks = encodeRelease(testService("a", "b"))
		_, err = Rebuild(second, v, chunkSource(chunks))
		So(err, ShouldNotBeNil)
	})
}

// TestRetryOfNonIdempotentRouteIsRefused guards against a request that runs twice: a
// response status shows that the server executed the request.
func TestRetryOfNonIdempotentRouteIsRefused(t *testing.T) {
	Convey("Validate refuses retry statuses on a route that is not idempotent", t, func() {
		s := testService("a", "a")
		s.Routes[1].Retry.Statuses = []int{503}
		So(s.Validate(), ShouldNotBeNil)
	})
}

// Guards against weights whose sum is infinite, with which all requests go to the first service.
func TestWeightsWithAnInfiniteSum(t *testing.T) {
	Convey("Validate refuses weights whose sum is infinite", t, func() {
		s := testService("a", "a")
		s.Routes[0].Split = []SplitPart{{Service: "a", Weight: 1e308}, {Service: "a", Weight: 1e308}}
		So(s.Validate(), ShouldNotBeNil)
	})
}

// FuzzParseService checks that ParseService accepts only services that are valid.
func FuzzParseService(f *testing.F) {
	data, err := testService("a", "a").Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("{}"))
	f.Add(append(data, data...))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseService(data)
		if err == nil && s.Validate() != nil {
			t.Fatal("ParseService accepted an invalid service")
		}
	})
}
