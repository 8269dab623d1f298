package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type response struct {
	status   int
	revision string
	body     string
}

func call(url, method, path, body string) (response, error) {
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header.Get(RevisionHeader), strings.TrimSpace(string(data))}, err
}

// Guards against a stand-in whose reads, watches or failure modes differ from what the tests
// of the nodes rely on.
func TestPlatform(t *testing.T) {
	Convey("Given a platform with two writes to one key", t, func() {
		server := New(DefaultConfig())
		http := httptest.NewServer(server.Handler())
		defer http.Close()
		do := func(method, path, body string) response {
			a, err := call(http.URL, method, path, body)
			So(err, ShouldBeNil)
			return a
		}
		do("PUT", "/admin/kv/a/b", "one")
		do("PUT", "/admin/kv/a/b", "two")

		Convey("a read returns the newest value and the key's revision", func() {
			So(do("GET", "/v1/kv/a/b", ""), ShouldResemble, response{200, "2", "two"})
			So(do("GET", "/v1/kv/absent", "").status, ShouldEqual, 404)
		})
		Convey("a watch returns a newer revision immediately, and 304 after its wait", func() {
			So(do("GET", "/v1/kv/a/b?watch=1&wait=1m", "").body, ShouldEqual, "two")
			So(do("GET", "/v1/kv/a/b?watch=2&wait=1ms", "").status, ShouldEqual, 304)
			So(do("GET", "/v1/kv/a/b?watch=x&wait=1ms", "").status, ShouldEqual, 400)
		})
		Convey("a write wakes a waiting watch", func() {
			got := make(chan response, 1)
			go func() {
				a, _ := call(http.URL, "GET", "/v1/kv/a/b?watch=2&wait=1m", "")
				got <- a
			}()
			for server.meter.snapshot(time.Now()).WaitingWatches == 0 {
				time.Sleep(time.Millisecond)
			}
			do("PUT", "/admin/kv/a/b", "three")
			So(<-got, ShouldResemble, response{200, "3", "three"})
		})
		Convey("stale responses contain the content as of the moment the mode was set", func() {
			do("PUT", "/admin/mode/stale", "")
			do("PUT", "/admin/kv/a/b", "three")
			So(do("GET", "/v1/kv/a/b", "").body, ShouldEqual, "two")
			So(do("GET", "/v1/kv/a/b?watch=2&wait=1ms", "").status, ShouldEqual, 304)
			do("PUT", "/admin/mode/normal", "")
			So(do("GET", "/v1/kv/a/b", "").body, ShouldEqual, "three")
		})
		Convey("crossed responses include an earlier revision", func() {
			do("PUT", "/admin/mode/crossed", "")
			seen := map[string]bool{}
			for range 200 {
				seen[do("GET", "/v1/kv/a/b", "").body] = true
			}
			So(seen, ShouldResemble, map[string]bool{"one": true, "two": true})
		})
		Convey("no read succeeds while the service is down", func() {
			do("PUT", "/admin/mode/down", "")
			for range 20 {
				a, err := call(http.URL, "GET", "/v1/kv/a/b", "")
				So(err != nil || a.status == 503, ShouldBeTrue)
			}
		})
		Convey("a removed key is absent, and a value above 1 MiB is refused", func() {
			do("DELETE", "/admin/kv/a/b", "")
			So(do("GET", "/v1/kv/a/b", "").status, ShouldEqual, 404)
			So(do("PUT", "/admin/kv/c", strings.Repeat("x", MaxValueBytes)).status, ShouldEqual, 204)
			So(do("PUT", "/admin/kv/c", strings.Repeat("x", MaxValueBytes+1)).status, ShouldEqual, 413)
		})
	})
}

// Guards against a limit that admits more reads per second than configured, which would hide
// reconnect storms.
func TestReadLimit(t *testing.T) {
	Convey("Reads over the limit within a second get 429 and are counted", t, func() {
		now := time.Unix(1000, 0)
		m := meter{limit: 3}
		for range 3 {
			So(m.admit(now), ShouldBeTrue)
		}
		So(m.admit(now.Add(900*time.Millisecond)), ShouldBeFalse)
		So(m.admit(now.Add(1900*time.Millisecond)), ShouldBeTrue)
		s := m.snapshot(now.Add(1900 * time.Millisecond))
		So(s, ShouldResemble, Stats{ReadsTotal: 4, ReadsLastSecond: 1, PeakReadsPerSecond: 4, OverLimit: 1})
		encoded, err := json.Marshal(s)
		So(err, ShouldBeNil)
		So(string(encoded), ShouldContainSubstring, `"peak_reads_per_second":4`)
	})
}
