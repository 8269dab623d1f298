package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type testServer struct {
	url    string
	served chan error
}

func start(config Config) (*testServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &testServer{url: "http://" + listener.Addr().String(), served: make(chan error, 1)}
	server := New(config, nil)
	go func() { r.served <- server.Serve(context.Background(), listener) }()
	return r, nil
}

func (r *testServer) send(ctx context.Context, method, path, id, fault string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set(RequestIDHeader, id)
	req.Header.Set(FaultHeader, fault)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// records polls the history until enough(records) returns true.
func (r *testServer) records(enough func([]Record) bool) []Record {
	for {
		_, text, err := r.send(context.Background(), "GET", "/_log", "", "")
		So(err, ShouldBeNil)
		var all []Record
		lines := bufio.NewScanner(strings.NewReader(text))
		for lines.Scan() {
			var rec Record
			So(json.Unmarshal(lines.Bytes(), &rec), ShouldBeNil)
			all = append(all, rec)
		}
		if enough(all) {
			return all
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a stand-in whose faults, load shedding, history or shutdown differ from what
// the tests of the nodes rely on.
func TestBackend(t *testing.T) {
	Convey("Given a backend server with one slot", t, func() {
		config := DefaultConfig()
		config.Service, config.VM, config.Slots, config.Faults = "programma", "programma-1", 1, true
		r, err := start(config)
		So(err, ShouldBeNil)
		stop := func() {
			_, _, err := r.send(context.Background(), "POST", "/_stop", "", "")
			So(err, ShouldBeNil)
			So(<-r.served, ShouldBeNil)
		}
		send := func(path, id, fault string) (int, string, error) {
			return r.send(context.Background(), "POST", path, id, fault)
		}

		Convey("a response contains the request ID and the digest of the request body", func() {
			status, body, err := send("/x", "r1", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, `{"service":"programma","vm":"programma-1","method":"POST","path":"/x","request_id":"r1",`+
				`"body_bytes":4,"body_sha256":"230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5"}`)
			_, big, err := send("/big?bytes=100000", "r2", "")
			So(err, ShouldBeNil)
			So(len(big), ShouldEqual, 100000)
			stop()
		})
		Convey("faults are injected by request header", func() {
			status, _, err := send("/x", "r1", "status=503")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			for _, fault := range []string{"truncate", "close"} {
				_, _, err = send("/x", "r2", fault)
				So(err, ShouldNotBeNil)
			}
			stop()
		})
		Convey("a request is shed when all slots are busy, a cancelled request is recorded, and a stop waits for requests in flight", func() {
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _, _, _ = r.send(ctx, "POST", "/x", "hung", "hang") }()
			r.records(func(all []Record) bool { return len(all) == 1 })
			status, _, err := send("/x", "shed", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			cancel()
			all := r.records(func(all []Record) bool { return !all[0].End.IsZero() && !all[1].End.IsZero() })
			So(all[0].Cancelled, ShouldBeTrue)
			So(all[1].Shed, ShouldBeTrue)

			last := make(chan int, 1)
			go func() {
				status, _, _ := send("/x", "last", "slow=100ms")
				last <- status
			}()
			r.records(func(all []Record) bool { return len(all) == 3 })
			stop()
			So(<-last, ShouldEqual, 200)
		})
	})
}

// Guards against a slow start that does not end, or that does not fall linearly.
func TestColdStart(t *testing.T) {
	Convey("Processing time falls linearly from ColdFactor times Work to Work over ColdStart", t, func() {
		config := DefaultConfig()
		config.Work, config.ColdStart, config.ColdFactor = 10*time.Millisecond, 10*time.Second, 3
		s := New(config, nil)
		So(s.workTime(s.started), ShouldEqual, 30*time.Millisecond)
		So(s.workTime(s.started.Add(5*time.Second)), ShouldEqual, 20*time.Millisecond)
		So(s.workTime(s.started.Add(10*time.Second)), ShouldEqual, 10*time.Millisecond)
	})
}
