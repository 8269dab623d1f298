package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/lifetime/lifetimetest"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
)

// shortTimeout is the time of the calls whose end is tested.
const shortTimeout = 300 * time.Millisecond

// serverStage is what a server in trouble sends before it goes silent, or goes on without end.
var serverStages = map[string]string{
	"in the head":                        "HTTP/1.1 200 OK\r\nX-Seal: s\r\n",
	"in a short body":                    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nhalf",
	"in a long body":                     "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: 900000\r\n\r\nhalf",
	"in a body in chunks":                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	"in a body that ends the connection": "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\n\r\nhalf",
}

// troubledServer returns a server that sends text and then either nothing or pieces without end. ended
// receives a value when its connection has ended.
func troubledServer(text, piece string, ended chan<- struct{}) *rawServer {
	return newRawServer(func(conn net.Conn, r *bufio.Reader, _ *http.Request) bool {
		_, err := conn.Write([]byte(text))
		for err == nil && piece != "" {
			_, err = conn.Write([]byte(piece))
			time.Sleep(time.Millisecond)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, r)
		}
		ended <- struct{}{}
		return false
	})
}

// callInTrouble sends a call to a server in trouble and returns how late it ended at its latest end:
// at the caller's node or at the server.
func callInTrouble(text, piece string) time.Duration {
	ended := make(chan struct{}, 1)
	r := newVMListRig(troubledServer(text, piece, ended), func(vm *vmlist.VM) { vm.Slots = 8 })
	defer r.close()
	call := r.callWithID("1")
	call.RemainingUs = uint64(shortTimeout.Microseconds())
	watch := lifetimetest.Start()
	a := r.do(call)
	<-ended
	So(a.aborted || a.GetVerdict() == peerpb.Verdict_VERDICT_MAY_HAVE_RUN, ShouldBeTrue)
	waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
	return watch.Late(shortTimeout)
}

// Guards against requests, and connections to servers, that are held for 2 s past their timeout by a server that goes silent in its answer.
func TestSilentServerEndsWithItsCall(t *testing.T) {
	for stage, text := range serverStages {
		Convey("A call whose server goes silent "+stage+" ends in time", t, func() {
			So(callInTrouble(text, ""), ShouldEqual, 0)
		})
	}
}

// Guards against requests, and connections to servers, that are held for 2 s past their timeout by an answer without end.
func TestEndlessAnswerEndsWithItsCall(t *testing.T) {
	for stage, piece := range map[string]string{
		"in the head":                        "X-More: x\r\n",
		"in a body in chunks":                "4\r\nmore\r\n",
		"in a body that ends the connection": "more",
	} {
		Convey("A call whose server sends bytes without end "+stage+" ends in time", t, func() {
			So(callInTrouble(serverStages[stage], piece), ShouldEqual, 0)
		})
	}
}

// Guards against a server that is kept at work by a caller's node that is suspended in the midst of an answer.
func TestServerIsFreedFromASilentNode(t *testing.T) {
	Convey("The connection to a server whose long answer the caller's node does not read is closed in time", t, func() {
		ended := make(chan struct{}, 1)
		piece := strings.Repeat("x", 16<<10)
		text := "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: 1000000000\r\n\r\n"
		r := newVMListRig(troubledServer(text, piece, ended), func(vm *vmlist.VM) { vm.Slots = 8 })
		defer r.close()
		call := r.callWithID("1")
		call.MaxResponseBytes = 0
		call.RemainingUs = uint64(shortTimeout.Microseconds())
		watch := lifetimetest.Start()
		st := r.open(call)
		defer st.Close()
		<-ended
		waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
		So(watch.Late(shortTimeout), ShouldEqual, 0)
	})
}

// Guards against an answer that is cut early because its attempt was given only a part of the request's time.
func TestAnswerHasTheTimeOfItsRequest(t *testing.T) {
	Convey("A server that has begun its answer may go on until the end that the caller's node names", t, func() {
		const rest = shortTimeout + 2*lifetime.DeliveryTime
		server := newRawServer(func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: 600000\r\n\r\nhalf"))
			time.Sleep(rest)
			_, _ = conn.Write([]byte(strings.Repeat("x", 600000-len("half"))))
			return true
		})
		r := newVMListRig(server, func(vm *vmlist.VM) { vm.Slots = 8 })
		defer r.close()
		call := r.callWithID("1")
		call.RemainingUs = uint64(shortTimeout.Microseconds())
		call.DeliveryUs = uint64(testTimeout.Microseconds())
		So(len(r.do(call).body), ShouldEqual, 600000)
	})
}
