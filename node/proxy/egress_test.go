package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

// testWait bounds waiting for something that must happen; it asserts no speed.
const testWait = 20 * time.Second

// rawServer is a backend server whose every byte a test controls.
type rawServer struct {
	listener net.Listener
	handle   func(conn net.Conn, r *bufio.Reader, req *http.Request) (more bool)
	requests atomic.Int64
	conns    atomic.Int64
	tasks    conc.WaitGroup

	mu   sync.Mutex
	open []net.Conn
}

func newRawServer(handle func(net.Conn, *bufio.Reader, *http.Request) bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &rawServer{listener: l, handle: handle}
	s.tasks.Go(s.accept)
	return s
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		s.mu.Lock()
		s.open = append(s.open, conn)
		s.mu.Unlock()
		s.tasks.Go(func() { s.serve(conn) })
	}
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !s.handle(conn, r, req) {
			return
		}
		// The rest of a body must not be read as the next request.
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

func (s *rawServer) addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *rawServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Close()
	}
}

func (s *rawServer) close() {
	s.listener.Close()
	s.closeConns()
	s.tasks.Wait()
}

// serveOK reads the body and answers with its size.
func serveOK(conn net.Conn, _ *bufio.Reader, req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	text := fmt.Sprintf("%s %d", req.URL.Path, len(body))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Kind: test\r\n\r\n%s", len(text), text)
	return true
}

// answerRaw sends the text and closes the connection.
func answerRaw(text string) func(net.Conn, *bufio.Reader, *http.Request) bool {
	return func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return false
	}
}

// egressRig is an egress with one peer session and one server.
type egressRig struct {
	egress *Egress
	server *rawServer
	peer   *session.Session
	local  *session.Session
	from   peers.Peer
	nextID uint64
	offset atomic.Int64
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

func (r *egressRig) now() time.Time { return time.Now().Add(time.Duration(r.offset.Load())) }

func newEgressRig(server *rawServer, change ...func(*EgressConfig)) *egressRig {
	st := state.New(state.Identity{VM: "tickets-1", Service: "tickets", Domain: "a", Region: "r"})
	st.Install(egressSnapshot(), time.Now())
	st.ReplaceVMs(&vmlist.List{Revision: 1, VMs: []vmlist.VM{
		{ID: "shop-1", Service: "shop"},
		{ID: "bank-1", Service: "bank"},
	}})
	cfg := DefaultEgressConfig()
	cfg.SeenCalls = 16
	for _, f := range change {
		f(&cfg)
	}
	r := &egressRig{server: server, from: peers.Peer{VM: "shop-1", Service: "shop"}}
	r.egress = newEgress(st, server.addr(), zerolog.Nop(), cfg, r.now)
	a, b := loopback()
	r.peer, _ = session.Client(a, session.DefaultConfig())
	r.local, _ = session.Server(b, session.DefaultConfig())
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.tasks.Go(func() { r.accept(ctx) })
	return r
}

func (r *egressRig) accept(ctx context.Context) {
	for {
		st, err := r.local.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() {
			defer st.Close()
			var req peerpb.Request
			if st.Recv(&req) == nil {
				r.egress.ServeCall(ctx, r.from, req.GetCall(), st)
			}
		})
	}
}

// close ends everything and checks that no slot is held.
func (r *egressRig) close() {
	r.cancel()
	r.peer.Close()
	r.local.Close()
	r.tasks.Wait()
	So(r.egress.limiter.Load().InFlight, ShouldEqual, 0)
	r.egress.pool.close()
	r.server.close()
	So(r.egress.pool.open, ShouldEqual, 0)
}

func loopback() (net.Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		panic(err)
	}
	b, err := l.Accept()
	if err != nil {
		panic(err)
	}
	return a, b
}

func egressSnapshot() *mesh.Snapshot {
	resource := mesh.Resource{Name: "seats", MaxRequestBytes: 1 << 20, MaxResponseBytes: 1 << 20}
	tickets := &mesh.Service{
		Name: "tickets", Hosts: []string{"tickets.test"}, Callers: []string{mesh.PublicCaller, "shop"},
		Priority: mesh.PriorityNormal,
		Server:   mesh.Server{Slots: 2, Connections: 8, DrainPath: "/_drain"},
		Stop:     mesh.Stop{Method: mesh.StopHTTP, Path: "/_stop", Grace: 60000}, Resources: []mesh.Resource{resource},
		Routes: []mesh.Route{{
			Name: "book", Methods: []string{"GET", "POST", "HEAD"}, Prefix: "/seats", Service: "tickets", Resource: "seats",
			Retry: mesh.Retry{Attempts: 1}, Deadline: 5000,
		}},
	}
	shop := &mesh.Service{
		Name: "shop", Hosts: []string{"shop.test"}, Callers: []string{"tickets"}, Server: mesh.Server{Slots: 1, Connections: 1},
		Stop: mesh.Stop{Method: mesh.StopNone, Grace: 1000}, Resources: []mesh.Resource{resource},
		Routes: []mesh.Route{{
			Name: "internal", Methods: []string{"GET"}, Prefix: "/", Service: "tickets", Resource: "seats",
			Retry: mesh.Retry{Attempts: 1}, Deadline: 5000,
		}},
	}
	chunks := make(map[release.Digest][]byte)
	m := &release.Manifest{Sequence: 7}
	for _, svc := range []*mesh.Service{shop, tickets} {
		data, err := svc.Encode()
		if err != nil {
			panic(err)
		}
		digest := release.DigestOf(data)
		chunks[digest] = data
		m.Chunks = append(m.Chunks, release.ChunkRef{Name: svc.Name, Digest: digest, Size: len(data)})
	}
	snap, err := mesh.Build(&release.Verified{Version: release.Version{Sequence: 7}, Manifest: m}, func(d release.Digest) ([]byte, bool) {
		data, found := chunks[d]
		return data, found
	})
	if err != nil {
		panic(err)
	}
	return snap
}

// call returns a valid call of its own id.
func (r *egressRig) call() *peerpb.Call {
	r.nextID++
	return &peerpb.Call{
		Id: r.nextID, Service: "tickets", Route: "book", Method: "POST", Uri: "/seats/1", Host: "tickets.test",
		Body: []byte("four"), RemainingUs: uint64(testWait.Microseconds()), Caller: mesh.PublicCaller, Attempt: 1,
		Release: &peerpb.Version{Sequence: 7}, MaxResponseBytes: 1 << 20,
	}
}

// egressAnswer is everything that the caller's node gets back.
type egressAnswer struct {
	*peerpb.Reply
	body    []byte
	aborted bool
}

func (r *egressRig) open(call *peerpb.Call) *session.Stream {
	st, err := r.peer.Open(&peerpb.Request{Kind: &peerpb.Request_Call{Call: call}})
	So(err, ShouldBeNil)
	st.SetDeadline(time.Now().Add(testWait))
	return st
}

func (r *egressRig) do(call *peerpb.Call) egressAnswer {
	st := r.open(call)
	defer st.Close()
	return readAnswer(st, call)
}

func readAnswer(st *session.Stream, call *peerpb.Call) egressAnswer {
	a := egressAnswer{Reply: &peerpb.Reply{}}
	So(st.Recv(a.Reply), ShouldBeNil)
	So(a.GetId(), ShouldEqual, call.GetId())
	a.body = a.GetBody()
	for more := a.GetMore(); more; {
		var part peerpb.Body
		So(st.Recv(&part), ShouldBeNil)
		a.body = append(a.body, part.GetData()...)
		a.aborted = part.GetAborted()
		more = !part.GetLast()
		if !more && !a.aborted {
			So(part.GetTotal(), ShouldEqual, len(a.body))
		}
	}
	return a
}

func waitUntil(what func() bool) {
	for end := time.Now().Add(testWait); !what() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	So(what(), ShouldBeTrue)
}

func TestEgressRefusesBeforeTheServer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	cases := map[string]struct {
		change func(*egressRig, *peerpb.Call)
		want   peerpb.Refusal
	}{
		"another service":  {func(_ *egressRig, c *peerpb.Call) { c.Service = "shop" }, peerpb.Refusal_REFUSAL_WRONG_SERVICE},
		"leaving":          {func(r *egressRig, _ *peerpb.Call) { r.egress.State.SetLeaving(true) }, peerpb.Refusal_REFUSAL_LEAVING},
		"resynchronising":  {func(r *egressRig, _ *peerpb.Call) { r.egress.State.SetResyncing(true) }, peerpb.Refusal_REFUSAL_STARTING},
		"no such route":    {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/other" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"newer release":    {func(_ *egressRig, c *peerpb.Call) { c.Uri, c.Release.Sequence = "/other", 8 }, peerpb.Refusal_REFUSAL_STARTING},
		"forged caller":    {func(r *egressRig, c *peerpb.Call) { r.from.VM, c.Caller = "bank-1", "shop" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"unlisted caller":  {func(_ *egressRig, c *peerpb.Call) { c.Host = "shop.test" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"peer's service":   {func(r *egressRig, c *peerpb.Call) { r.from.Service, c.Caller = "bank", "bank" }, peerpb.Refusal_REFUSAL_FORBIDDEN},
		"unlisted peer":    {func(r *egressRig, c *peerpb.Call) { r.from.VM, c.Caller = "shop-2", "shop" }, peerpb.Refusal_REFUSAL_STARTING},
		"no time left":     {func(_ *egressRig, c *peerpb.Call) { c.RemainingUs = 0 }, peerpb.Refusal_REFUSAL_DEADLINE},
		"split header":     {func(_ *egressRig, c *peerpb.Call) { c.Headers = []*peerpb.Header{{Name: "A", Value: "b\r\nC: d"}} }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"split uri":        {func(_ *egressRig, c *peerpb.Call) { c.Uri = "/seats HTTP/1.1\r\nA: b" }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"method not token": {func(_ *egressRig, c *peerpb.Call) { c.Method = "PO ST" }, peerpb.Refusal_REFUSAL_BAD_REQUEST},
		"woken after 60 s": {func(r *egressRig, _ *peerpb.Call) { r.offset.Store(int64(time.Minute)) }, peerpb.Refusal_REFUSAL_STARTING},
	}
	Convey("A call that must not reach the server is refused as not run", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				r := newEgressRig(newRawServer(serveOK))
				call := r.call()
				c.change(r, call)
				a := r.do(call)
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
				So(a.GetRefusal(), ShouldEqual, c.want)
				So(a.GetLoad(), ShouldNotBeNil)
				r.close()
				So(r.server.requests.Load(), ShouldEqual, 0)
			})
		}
	})
}

func TestEgressAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const size = 900 << 10
	big := strings.Repeat("x", size)
	handle := func(conn net.Conn, r *bufio.Reader, req *http.Request) bool {
		switch req.URL.Path {
		case "/seats/big":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, big)
		case "/seats/chunked":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
		case "/seats/shed":
			fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n")
		case "/seats/none":
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		default:
			if req.Method == "HEAD" {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
				return true
			}
			return serveOK(conn, r, req)
		}
		return true
	}
	Convey("Given a server that keeps its connections", t, func() {
		r := newEgressRig(newRawServer(handle))
		ran := func(method, uri string, status int, body string) {
			call := r.call()
			call.Method, call.Uri = method, uri
			a := r.do(call)
			So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(a.GetStatus(), ShouldEqual, status)
			So(string(a.body) == body, ShouldBeTrue)
			So(a.aborted, ShouldBeFalse)
			So(a.GetLoad().GetLimit(), ShouldBeGreaterThan, 0)
		}
		Convey("answers of every form come whole over one connection", func() {
			ran("POST", "/seats/1", 200, "/seats/1 4")
			ran("GET", "/seats/big", 200, big)
			ran("GET", "/seats/chunked", 200, "hello world")
			ran("GET", "/seats/none", 204, "")
			ran("HEAD", "/seats/1", 200, "")
			ran("GET", "/seats/shed", 503, "")
			ran("POST", "/seats/2", 200, "/seats/2 4")
			r.close()
			So(r.server.conns.Load(), ShouldEqual, 1)
		})
		Convey("a body in parts reaches the server whole", func() {
			call := r.call()
			call.More = true
			st := r.open(call)
			part := bytes.Repeat([]byte("y"), 100<<10)
			for range 3 {
				So(st.Send(&peerpb.Body{Data: part}), ShouldBeNil)
			}
			So(st.Send(&peerpb.Body{Last: true, Total: uint64(4 + 3*len(part))}), ShouldBeNil)
			So(string(readAnswer(st, call).body), ShouldEqual, fmt.Sprintf("/seats/1 %d", 4+3*len(part)))
			st.Close()
			r.close()
		})
		Convey("a repeated id is refused, a retry of an idempotent call is not", func() {
			call := r.call()
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			call.Attempt = 2
			So(r.do(call).GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_DUPLICATE)
			call = r.call()
			call.Idempotent = true
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(r.do(call).GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_DUPLICATE)
			call.Attempt = 2
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			r.close()
			So(r.server.requests.Load(), ShouldEqual, 3)
		})
		Convey("a listed peer speaks for its own service", func() {
			call := r.call()
			call.Caller = "shop"
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			r.close()
		})
		Convey("headers that only nodes may set and those of the connection don't pass", func() {
			var got http.Header
			r.server.handle = func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
				got = req.Header.Clone()
				return serveOK(conn, b, req)
			}
			call := r.call()
			call.Headers = []*peerpb.Header{
				{Name: "x-auburnladder-caller", Value: "shop"},
				{Name: "transfer-encoding", Value: "chunked"},
				{Name: "connection", Value: "close"},
				{Name: "x-own", Value: "1"},
			}
			So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
			So(got.Get("X-Own"), ShouldEqual, "1")
			So(got.Get("X-Auburnladder-Caller"), ShouldEqual, "")
			So(got.Get("Connection"), ShouldEqual, "")
			r.close()
		})
	})
}

func TestEgressBrokenAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	big := strings.Repeat("x", 200<<10)
	noHead := map[string]string{
		"nothing":              "",
		"half a head":          "HTTP/1.1 200 OK\r\nContent-Le",
		"no HTTP":              "garbage\r\n\r\n",
		"a short small body":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
		"an oversized head":    "HTTP/1.1 200 OK\r\nA: " + big + "\r\nContent-Length: 0\r\n\r\n",
		"a malformed length":   "HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nhello",
		"only an intermediate": "HTTP/1.1 100 Continue\r\n\r\n",
	}
	Convey("Without a whole head or small body the verdict is may have run", t, func() {
		for name, text := range noHead {
			Convey(name, func() {
				r := newEgressRig(newRawServer(answerRaw(text)))
				a := r.do(r.call())
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
				So(a.GetStatus(), ShouldEqual, 0)
				So(a.GetDetail(), ShouldNotBeEmpty)
				r.close()
				So(r.server.requests.Load(), ShouldEqual, 1)
			})
		}
	})
	aborted := map[string]string{
		"a long body cut short":      "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + big,
		"chunks that end in a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"chunks without the last":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"chunks that are garbage":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"chunks above the limit":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n0\r\n\r\n",
	}
	Convey("An answer that breaks after its head is marked as broken, never short", t, func() {
		for name, text := range aborted {
			Convey(name, func() {
				r := newEgressRig(newRawServer(answerRaw(text)))
				a := r.do(r.call())
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
				So(a.aborted, ShouldBeTrue)
				r.close()
			})
		}
	})
	rejected := map[string]string{
		"no length":       "HTTP/1.1 200 OK\r\n\r\nhello",
		"above the limit": "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n",
	}
	Convey("An answer that can't be passed on whole becomes a 502 that ran", t, func() {
		for name, text := range rejected {
			Convey(name, func() {
				r := newEgressRig(newRawServer(answerRaw(text)))
				a := r.do(r.call())
				So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
				So(a.GetStatus(), ShouldEqual, 502)
				r.close()
			})
		}
	})
}

func TestEgressConnections(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A server that refuses connections gives not run", t, func() {
		s := newRawServer(serveOK)
		r := newEgressRig(s)
		s.listener.Close()
		a := r.do(r.call())
		So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
		So(a.GetRefusal(), ShouldEqual, peerpb.Refusal_REFUSAL_SERVER_DOWN)
		r.close()
	})
	Convey("A connection that the server closed while idle isn't used", t, func() {
		s := newRawServer(serveOK)
		r := newEgressRig(s)
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		s.closeConns()
		waitUntil(func() bool { return !r.egress.pool.idle[0].usable() })
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		r.close()
		So(s.conns.Load(), ShouldEqual, 2)
	})
	Convey("Data that no request asked for isn't taken for the next answer", t, func() {
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			serveOK(conn, b, req)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		})
		r := newEgressRig(s)
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		waitUntil(func() bool { return r.egress.pool.idle == nil || !r.egress.pool.idle[0].usable() })
		So(string(r.do(r.call()).body), ShouldEqual, "/seats/1 4")
		r.close()
	})
	Convey("A request is written once, also when its connection breaks without an answer", t, func() {
		var broken atomic.Bool
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			return !broken.Load() && serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		broken.Store(true)
		call := r.call()
		call.Idempotent, call.Method = true, "GET"
		So(r.do(call).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
		r.close()
		So(s.requests.Load(), ShouldEqual, 2)
	})
	Convey("A hung server ends at the deadline as may have run; silent connections are replaced", t, func() {
		release := make(chan struct{})
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			if req.URL.Path == "/seats/hang" {
				<-release
				return false
			}
			return serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		// Both idle connections went silent together.
		r.egress.adoptServer()
		one, _ := r.egress.pool.get(context.Background(), true)
		two, _ := r.egress.pool.get(context.Background(), true)
		r.egress.pool.put(one)
		r.egress.pool.put(two)
		call := r.call()
		call.Uri, call.RemainingUs = "/seats/hang", 100_000
		a := r.do(call)
		So(a.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
		So(a.GetDetail(), ShouldContainSubstring, "deadline")
		waitUntil(func() bool { return s.conns.Load() == 3 })
		waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		close(release)
		r.close()
		So(s.conns.Load(), ShouldEqual, 3)
	})
	Convey("A connection idle for too long is closed", t, func() {
		r := newEgressRig(newRawServer(serveOK))
		So(r.do(r.call()).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		r.egress.pool.sweep()
		So(r.egress.pool.open, ShouldEqual, 1)
		r.offset.Store(int64(time.Hour))
		r.egress.pool.sweep()
		So(r.egress.pool.open, ShouldEqual, 0)
		r.close()
	})
}

func TestEgressCancellation(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Given a server that works until its connection is closed", t, func() {
		started := make(chan struct{}, 8)
		ended := make(chan struct{}, 8)
		var whole atomic.Bool
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			if req.URL.Path != "/seats/hang" {
				return serveOK(conn, b, req)
			}
			started <- struct{}{}
			_, err := io.ReadAll(req.Body)
			whole.Store(err == nil)
			_, _ = b.ReadByte()
			ended <- struct{}{}
			return false
		})
		r := newEgressRig(s)
		hang := r.call()
		hang.Uri, hang.RemainingUs = "/seats/hang", uint64(time.Hour.Microseconds())
		Convey("the end of the caller's stream closes the connection and frees the slot", func() {
			st := r.open(hang)
			<-started
			So(r.egress.limiter.Load().InFlight, ShouldEqual, 1)
			So(ended, ShouldBeEmpty)
			st.Close()
			So(arrives(ended), ShouldBeTrue)
			So(whole.Load(), ShouldBeTrue)
			waitUntil(func() bool { return r.egress.limiter.Load().InFlight == 0 })
			r.close()
		})
		Convey("a body that breaks off never ends at the server", func() {
			hang.More = true
			st := r.open(hang)
			<-started
			So(st.Send(&peerpb.Body{Aborted: true, Last: true, Total: 4}), ShouldBeNil)
			So(readAnswer(st, hang).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
			So(arrives(ended), ShouldBeTrue)
			So(whole.Load(), ShouldBeFalse)
			st.Close()
			r.close()
		})
		Convey("a waiting call that is cancelled never reaches the server", func() {
			first, second := r.open(hang), r.open(withURI(r.call(), "/seats/hang"))
			<-started
			<-started
			waiting := r.open(r.call())
			waitUntil(func() bool { return r.egress.limiter.Load().Queued == 1 })
			waiting.Close()
			waitUntil(func() bool { return r.egress.limiter.Load().Queued == 0 })
			first.Close()
			second.Close()
			r.close()
			So(s.requests.Load(), ShouldEqual, 2)
		})
	})
}

func arrives(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(testWait):
		return false
	}
}

func withURI(call *peerpb.Call, uri string) *peerpb.Call {
	call.Uri = uri
	return call
}

func TestEgressBoundsConcurrency(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Under a burst the server gets its slots' worth and every call an answer", t, func() {
		var working, peak atomic.Int64
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			n := working.Add(1)
			for p := peak.Load(); n > p && !peak.CompareAndSwap(p, n); p = peak.Load() {
			}
			time.Sleep(time.Millisecond)
			working.Add(-1)
			return serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		var ran, overload atomic.Int64
		var callers conc.WaitGroup
		for range 60 {
			call := r.call()
			callers.Go(func() {
				var reply peerpb.Reply
				err := r.peer.Exchange(context.Background(), &peerpb.Request{Kind: &peerpb.Request_Call{Call: call}}, &reply)
				switch {
				case err != nil:
				case reply.GetVerdict() == peerpb.Verdict_VERDICT_RAN:
					ran.Add(1)
				case reply.GetRefusal() == peerpb.Refusal_REFUSAL_OVERLOAD && reply.GetRetryAfterMs() > 0:
					overload.Add(1)
				}
			})
		}
		callers.Wait()
		So(ran.Load()+overload.Load(), ShouldEqual, 60)
		So(s.requests.Load(), ShouldEqual, ran.Load())
		So(peak.Load(), ShouldBeLessThanOrEqualTo, 2)
		r.close()
	})
}

func TestEgressDoesNotSendAfterAPause(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A call that waited in a stopped process isn't sent when it wakes", t, func() {
		release := make(chan struct{})
		s := newRawServer(func(conn net.Conn, b *bufio.Reader, req *http.Request) bool {
			<-release
			return serveOK(conn, b, req)
		})
		r := newEgressRig(s)
		first, second := r.call(), r.call()
		a, b := r.open(first), r.open(second)
		waitUntil(func() bool { return s.requests.Load() == 2 })
		late := r.call()
		late.RemainingUs = uint64(time.Hour.Microseconds())
		waiting := r.open(late)
		waitUntil(func() bool { return r.egress.limiter.Load().Queued == 1 })
		r.offset.Store(int64(time.Minute))
		close(release)
		reply := readAnswer(waiting, late)
		So(reply.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_NOT_RUN)
		So(readAnswer(a, first).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		So(readAnswer(b, second).GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_RAN)
		r.close()
		So(s.requests.Load(), ShouldEqual, 2)
	})
}

func TestCountedWrites(t *testing.T) {
	Convey("Only a write of which the kernel took nothing proves that a request was not sent", t, func() {
		c := newServerConn(failingConn{after: 0}, time.Now())
		c.begin(time.Now())
		_, _ = c.bw.Write(make([]byte, 10))
		So(c.bw.Flush(), ShouldNotBeNil)
		So(c.written, ShouldEqual, 0)
		c = newServerConn(failingConn{after: 3}, time.Now())
		c.begin(time.Now())
		_, _ = c.bw.Write(make([]byte, 10))
		So(c.bw.Flush(), ShouldNotBeNil)
		So(c.written, ShouldEqual, 3)
	})
}

// failingConn takes some bytes of a write and fails.
type failingConn struct {
	net.Conn
	after int
}

func (c failingConn) Write([]byte) (int, error) { return c.after, errors.New("broken") }
