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

func TestPassedOnFailuresDoNotLowerTheLimit(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	limitAfter := func(dependencyFails bool) uint32 {
		var r *egressRig
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			if dependencyFails {
				r.egress.DependencyFailed()
			}
			return answerRaw(unavailable)(conn, b, req)
		})
		r = newEgressRig(s)
		r.egress.adoptServer()
		for range 20 {
			var reply peerpb.Reply
			req := &peerpb.Request{Kind: &peerpb.Request_Call{Call: r.call()}}
			So(r.peer.Exchange(context.Background(), req, &reply), ShouldBeNil)
		}
		limit := r.egress.Load().GetLimit()
		r.close()
		return limit
	}
	Convey("A server that sheds gets a lower limit, one that passes on a failure doesn't", t, func() {
		So(limitAfter(false), ShouldEqual, 1)
		So(limitAfter(true), ShouldEqual, 2)
	})
}
