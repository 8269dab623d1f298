package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// respondRaw serves responses that begin with head and returns the base URL.
func respondRaw(t *testing.T, head string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, head+"X-Revision: 7\r\nContent-Length: 5\r\n\r\nvalue")
			}
			conn.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a value that is taken from a malformed response.
func TestClientRejectsMalformedResponses(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.0 200 OK\r\nX-Good: y\r\n": true, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n": true,
		"HTTP/1.1 000 OK\r\n": false, "HTTP/2.7 200 OK\r\n": false, "HTTP/1.1 600 X\r\n": false,
		"HTTP/1.1 200 OK\r\nX Bad: y\r\n": false, "HTTP/1.1 200 OK\r\nX-Bad : y\r\n": false, "HTTP/1.1 200 OK\r\nX\x01Bad: y\r\n": false,
		"HTTP/1.1 200 OK\r\nX-Bad: y\x01\r\n": false, "HTTP/1.1 200 OK\r\n X-Bad: y\r\n": false, "HTTP/1.1 200 OK\r\n: y\r\n": false,
	} {
		Convey(fmt.Sprintf("A value is taken from well-formed responses only: %q", head), t, func() {
			c := NewClient(Config{BaseURLs: []string{respondRaw(t, head)}, Timeout: time.Second})
			defer c.Close()
			v, err := c.Get(context.Background(), "key")
			So(err == nil, ShouldEqual, valid)
			So(string(v.Data) == "value", ShouldEqual, valid)
		})
	}
}
