package egress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// A server that responds 503 because one of its own calls failed is not overloaded.
// Counting that as shedding would lower its limit during an outage of another service.
func TestPassedOnFailuresDoNotLowerTheLimit(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	limitAfter := func(dependencyFails bool) uint32 {
		var r *egressRig
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			if dependencyFails {
				r.egress.DependencyFailed()
			}
			return respondRaw(unavailable)(conn, b, req)
		})
		r = newEgressRig(s)
		r.egress.applyServerLimits()
		for range 20 {
			var reply peerpb.Reply
			req := &peerpb.Request{Kind: &peerpb.Request_Call{Call: r.call()}}
			So(r.peer.Exchange(context.Background(), req, &reply), ShouldBeNil)
		}
		limit := r.egress.Load().GetLimit()
		r.close()
		return limit
	}
	Convey("A server that sheds load gets a lower limit, one that forwards a failure does not", t, func() {
		So(limitAfter(false), ShouldEqual, 1)
		So(limitAfter(true), ShouldEqual, 2)
	})
}
