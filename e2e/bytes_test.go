package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
	"auburnladder.example/platform/standin"
)

// legalValue returns a header value with each byte that RFC 9110 allows in one, obs-text included.
func legalValue() string {
	value := []byte("a\tb c")
	for b := 0x21; b <= 0xff; b++ {
		if b != 0x7f {
			value = append(value, byte(b))
		}
	}
	return string(value)
}

// Guards against requests that reach no server, and answers that are lost after they have run, for a byte above 0x7F.
func TestBytesArriveAsSent(t *testing.T) {
	Convey("Header values and targets with any legal byte pass two nodes unchanged, in a request and in its answer", t, func() {
		c := startStoreOf(t, "a", "b")
		value, target := legalValue(), "/look-up/caf\xe9?q=\xff\xfe"
		type seen struct{ value, target string }
		requests := make(chan seen, 1)
		answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- seen{r.Header.Get("X-Note"), r.RequestURI}
			w.Header().Set("X-Note", r.Header.Get("X-Note"))
			w.WriteHeader(http.StatusOK)
		})
		So(harness.Eventually("the route is in force", func() error {
			resp, err := c.Send(c.VMs[0], http.MethodGet, standin.BookHost, standin.LookUpPrefix, "first")
			if err == nil && resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
			return err
		}), ShouldBeNil)
		c.VMs[1].Server.Answer.Store(&answer)
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			conn, err := net.Dial("tcp", c.VMs[0].CallerAddress())
			So(err, ShouldBeNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(callerPatience))
			_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: r-%s\r\n%s: 4000\r\nX-Note: %s\r\nContent-Length: 0\r\n\r\n",
				method, target, standin.BookHost, standin.RequestIDHeader, method, standin.DeadlineHeader, value)
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(<-requests, ShouldResemble, seen{value, target})
			So(resp.Header.Get("X-Note"), ShouldEqual, value)
		}
	})
}
