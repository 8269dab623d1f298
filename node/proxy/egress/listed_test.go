package egress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/core/wirenames"
	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
)

var listedHeaders = wirenames.Headers{
	RequestID: "X-Id", Deadline: "X-Left", Seal: "X-Seal", Target: "X-Target",
	NotExecuted: "X-Not-Run", Caller: "X-Caller",
}

// newListedRig returns an egress whose server the VM list names, with changes to its entry.
func newListedRig(s *rawServer, change func(*vmlist.VM)) *egressRig {
	r := newEgressRig(s)
	r.egress.ByList = true
	r.egress.Headers = listedHeaders
	vm := vmlist.VM{ID: "tickets-1", Service: "tickets", Instance: "run-7", Slots: 2}
	if change != nil {
		change(&vm)
	}
	r.egress.State.ReplaceVMs(&vmlist.List{Revision: 2, VMs: []vmlist.VM{vm}})
	return r
}

// listedCall is a call with the caller's id.
func (r *egressRig) listedCall(id string) *peerpb.Call {
	c := r.call()
	c.Caller = "shop"
	c.Headers = []*peerpb.Header{{Name: "X-Id", Value: id}}
	return c
}

func TestHeadersForTheServer(t *testing.T) {
	Convey("The server gets the run it is meant for, the caller and the time left, whatever the caller sent", t, func() {
		seen := make(chan http.Header, 1)
		r := newListedRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			seen <- req.Header
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok")
			return true
		}), nil)
		defer r.close()
		call := r.listedCall("a")
		call.Headers = append(call.Headers, &peerpb.Header{Name: "X-Target", Value: "forged"}, &peerpb.Header{Name: "X-Caller", Value: "forged"})
		So(string(r.do(call).body), ShouldEqual, "ok")
		h := <-seen
		So(h["X-Target"], ShouldResemble, []string{"run-7"})
		So(h["X-Caller"], ShouldResemble, []string{"shop"})
		So(h.Get("X-Id"), ShouldEqual, "a")
		var left int
		_, err := fmt.Sscan(h.Get("X-Left"), &left)
		So(err, ShouldBeNil)
		So(left, ShouldBeBetween, 0, int(testWait.Milliseconds())+1)
	})
}

func TestRefusalsByTheList(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*vmlist.VM)
		refusal peerpb.Refusal
	}{
		{"leaving", func(vm *vmlist.VM) { vm.Leaving = true }, peerpb.Refusal_REFUSAL_LEAVING},
		{"not listed", func(vm *vmlist.VM) { vm.ID = "another" }, peerpb.Refusal_REFUSAL_LEAVING},
		{"address taken by another service", func(vm *vmlist.VM) { vm.Service = "bank" }, peerpb.Refusal_REFUSAL_WRONG_SERVICE},
	}
	Convey("A server that the list doesn't offer gets nothing", t, func() {
		for _, c := range cases {
			r := newListedRig(newRawServer(serveOK), c.change)
			a := r.do(r.listedCall("a"))
			SoMsg(c.name, a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
			SoMsg(c.name, a.GetRefusal(), ShouldEqual, c.refusal)
			SoMsg(c.name, a.GetReachedServer(), ShouldBeFalse)
			SoMsg(c.name, r.server.requests.Load(), ShouldEqual, 0)
			r.close()
		}
	})
	Convey("A call that waited while its server began to leave is refused", t, func() {
		release := make(chan struct{})
		r := newListedRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			<-release
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
			return true
		}), nil)
		first, second := r.open(r.listedCall("a")), r.open(r.listedCall("b"))
		waitUntil(func() bool { return r.server.requests.Load() == 2 })
		late := r.listedCall("c")
		waiting := r.open(late)
		waitUntil(func() bool { return r.egress.limiter.Load().Queued == 1 })
		r.egress.State.ReplaceVMs(&vmlist.List{Revision: 3, VMs: []vmlist.VM{{ID: "tickets-1", Service: "tickets", Leaving: true, Slots: 2}}})
		close(release)
		So(readAnswer(waiting, late).GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_LEAVING)
		first.Close()
		second.Close()
		r.close()
		So(r.server.requests.Load(), ShouldEqual, 2)
	})
}

func TestAnswersOfListedServers(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	foreign := strings.Replace(sealed, "X-Id: a", "X-Id: other", 1)
	cases := []struct {
		name, answer string
		verdict      peerpb.Verdict
		reached      bool
		body         string
	}{
		{"its own", sealed, peerpb.Verdict_VERDICT_RAN, false, "ok"},
		{"behind one to another request", foreign + sealed, peerpb.Verdict_VERDICT_RAN, false, "ok"},
		{"only to another request", foreign, peerpb.Verdict_VERDICT_MAY_HAVE_RUN, false, ""},
		{"success without seal", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", peerpb.Verdict_VERDICT_MAY_HAVE_RUN, false, ""},
		{"success with an encoded body", strings.Replace(sealed, "X-Seal", "Content-Encoding: gzip\r\nX-Seal", 1), peerpb.Verdict_VERDICT_MAY_HAVE_RUN, false, ""},
		{"success with the identity encoding", strings.Replace(sealed, "X-Seal", "Content-Encoding: identity\r\nX-Seal", 1), peerpb.Verdict_VERDICT_RAN, false, "ok"},
		{"failure without seal", "HTTP/1.1 500 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno", peerpb.Verdict_VERDICT_RAN, false, "no"},
		{"ends with the connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n\r\nwhole", peerpb.Verdict_VERDICT_RAN, false, "whole"},
		{"shed", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", peerpb.Verdict_VERDICT_NOT_RUN, true, ""},
		{"another run of the server", "HTTP/1.1 421 Other\r\nX-Instance: run-8\r\nContent-Length: 0\r\n\r\n", peerpb.Verdict_VERDICT_NOT_RUN, true, ""},
		{"no HTTP", "garbage\r\n\r\n", peerpb.Verdict_VERDICT_MAY_HAVE_RUN, false, ""},
	}
	Convey("Only the server's whole answer to the request is passed on", t, func() {
		for _, c := range cases {
			r := newListedRig(newRawServer(answerRaw(c.answer)), nil)
			a := r.do(r.listedCall("a"))
			SoMsg(c.name, a.GetVerdict(), ShouldEqual, c.verdict)
			SoMsg(c.name, a.GetReachedServer(), ShouldEqual, c.reached)
			SoMsg(c.name, string(a.body), ShouldEqual, c.body)
			r.close()
		}
	})
	Convey("Bytes after a whole answer are not taken for the next one", t, func() {
		r := newListedRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
			own := strings.Replace(sealed, "X-Id: a", "X-Id: "+req.Header.Get("X-Id"), 1)
			_, _ = io.WriteString(conn, own+own)
			return true
		}), nil)
		defer r.close()
		for _, id := range []string{"a", "b", "c"} {
			a := r.do(r.listedCall(id))
			So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			for _, h := range a.GetHeaders() {
				if h.GetName() == "X-Id" {
					So(h.GetValue(), ShouldEqual, id)
				}
			}
		}
	})
	Convey("A reset in the middle of an answer that ends with its connection breaks it", t, func() {
		r := newListedRig(newRawServer(func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}), nil)
		defer r.close()
		st := r.open(r.listedCall("a"))
		defer st.Close()
		var head peerpb.Reply
		So(st.Recv(&head), ShouldBeNil)
		whole := head.GetVerdict() == peerpb.Verdict_VERDICT_RAN && !head.GetMore()
		for more := head.GetMore(); more; {
			var part peerpb.Body
			So(st.Recv(&part), ShouldBeNil)
			whole = part.GetLast() && !part.GetAborted()
			more = !part.GetLast()
		}
		So(whole, ShouldBeFalse)
	})
}

func TestLongBodyOfARefusedCall(t *testing.T) {
	Convey("The caller's node can send a long body to its end and reads that the call was refused", t, func() {
		r := newListedRig(newRawServer(serveOK), func(vm *vmlist.VM) { vm.Leaving = true })
		defer r.close()
		call := r.listedCall("a")
		call.Body, call.More = nil, true
		st := r.open(call)
		defer st.Close()
		part := make([]byte, 64<<10)
		const parts = 32
		for n := range parts {
			So(st.Send(&peerpb.Body{Data: part, Last: n == parts-1, Total: parts * uint64(len(part))}), ShouldBeNil)
		}
		So(readAnswer(st, call).GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_LEAVING)
	})
}
