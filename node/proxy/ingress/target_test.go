package ingress

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
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
