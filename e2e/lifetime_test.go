package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/lifetime/lifetimetest"
	"auburnladder.example/e2e/harness"
	"auburnladder.example/platform/standin"
)

const (
	// shortTimeout is the time-out of the routes whose requests meet a silent or endless party.
	shortTimeout = time.Second
	// callerPatience is how long the callers wait, well beyond the time-out.
	callerPatience = 4 * time.Second
	// longBody is more bytes than the sockets and sessions between two parties hold.
	longBody = 3 << 20
	// answerPiece is what a server sends at a time.
	answerPiece = 64 << 10
)

// shortRoutes is a configuration with a safe and an unsafe route of shortTimeout to the service b.
const shortRoutes = `{"version":9,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","maxAttempts"],
"rows":[["files","files.example","/","download","1000ms","500ms",2,"b",2],["uploads","uploads.example","/","unsafe","1000ms","500ms",1,"b",2]]},
"services":{"columns":["name","maxConns"],"rows":[["a",20],["b",20]]},
"limits":{"headerBytes":16384,"bodyBytes":4194304,"header":"3000ms","idle":"15000ms"}}`

// startShortRoutes starts a caller's VM of service a and a server's VM of service b, in this order, and waits until
// shortRoutes are in force.
func startShortRoutes(t *testing.T) *harness.StoreCluster {
	c := startStoreOf(t, "a", "b")
	c.Store.Put("op/config", []byte(shortRoutes))
	So(harness.Eventually("the routes are in force", func() error {
		resp, err := c.Send(c.VMs[0], http.MethodGet, "files.example", "/", "first")
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		return err
	}), ShouldBeNil)
	return c
}

// party is one of those through whose hands a request goes.
type party int

const (
	nobody party = iota
	callersNode
	serversNode
)

// silentCase is a request in which one party goes silent, or sends without end.
type silentCase struct {
	name string
	// suspended is the node that is suspended when the stage is reached.
	suspended party
	// answer is the server's; it calls reached when the request is in the stage.
	answer func(w http.ResponseWriter, r *http.Request, reached func())
	// upload is the size of the request's body, and withheld the part of it that the caller never sends.
	upload, withheld int
	// unread is set if the caller reads nothing until the end of its request.
	unread bool
}

// silentInTheHead reads the request and answers nothing.
func silentInTheHead(_ http.ResponseWriter, r *http.Request, reached func()) {
	_, _ = io.Copy(io.Discard, r.Body)
	reached()
	<-r.Context().Done()
}

// silentInTheBodyUp reads a part of the request and nothing more.
func silentInTheBodyUp(w http.ResponseWriter, r *http.Request, reached func()) {
	_, _ = io.ReadFull(r.Body, make([]byte, answerPiece))
	conn, _, err := http.NewResponseController(w).Hijack()
	reached()
	if err == nil {
		awaitHangUp(conn)
		_ = conn.Close()
	}
}

// awaitHangUp waits until the other end closes conn, of which unread bytes may lie before the end, for
// at most twice callerPatience.
func awaitHangUp(conn net.Conn) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	latest := time.Now().Add(2 * callerPatience)
	for hungUp := err != nil; !hungUp && time.Now().Before(latest); time.Sleep(5 * time.Millisecond) {
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			hungUp = err == nil && n > 0
		})
		hungUp = hungUp || err != nil
	}
}

// silentInTheBody sends a part of its answer and nothing more.
func silentInTheBody(w http.ResponseWriter, r *http.Request, reached func()) {
	_, _ = w.Write(make([]byte, answerPiece))
	_ = http.NewResponseController(w).Flush()
	reached()
	<-r.Context().Done()
}

// endlessBody sends pieces until its connection ends.
func endlessBody(w http.ResponseWriter, r *http.Request, reached func()) {
	piece := make([]byte, answerPiece)
	for r.Context().Err() == nil {
		if _, err := w.Write(piece); err != nil {
			return
		}
		reached()
		time.Sleep(5 * time.Millisecond)
	}
}

var silentCases = []silentCase{
	{name: "the server is silent in the head", answer: silentInTheHead},
	{name: "the server is silent in the body up", answer: silentInTheBodyUp, upload: longBody},
	{name: "the server is silent in the body down", answer: silentInTheBody},
	{name: "the server's body down has no end", answer: endlessBody},
	{name: "the server's node is suspended in the head", suspended: serversNode, answer: silentInTheHead},
	{name: "the server's node is suspended in the body up", suspended: serversNode, answer: silentInTheBodyUp, upload: longBody},
	{name: "the server's node is suspended in the body down", suspended: serversNode, answer: endlessBody},
	{name: "the caller's node is suspended in the head", suspended: callersNode, answer: silentInTheHead},
	{name: "the caller's node is suspended in the body up", suspended: callersNode, answer: silentInTheBodyUp, upload: longBody},
	{name: "the caller's node is suspended in the body down", suspended: callersNode, answer: endlessBody},
	{name: "the caller is silent in the body up", answer: silentInTheHead, upload: longBody, withheld: longBody / 2},
	{name: "the caller does not read the body down", answer: endlessBody, unread: true},
}

// silentRig is a caller's node and a server's node.
type silentRig struct {
	*harness.StoreCluster
	caller, server *harness.StoreVM
}

// play plays a case and returns how late the caller's request and the server's work ended.
func (g *silentRig) play(c *silentCase) (late time.Duration, ran bool, serverLate time.Duration) {
	var once sync.Once
	reached := make(chan struct{})
	worked := make(chan time.Time, 4)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.answer(w, r, func() { once.Do(func() { close(reached) }) })
		worked <- time.Now()
	})
	g.server.Server.Answer.Store(&answer)
	runs := g.server.Server.Runs.Load()
	watch := lifetimetest.Start()
	conn := g.send(c)
	defer conn.Close()
	done := make(chan struct{})
	if c.suspended != nobody {
		node := map[party]*harness.StoreVM{callersNode: g.caller, serversNode: g.server}[c.suspended].Node
		<-reached
		_ = node.Signal(syscall.SIGSTOP)
		defer func() { _ = node.Signal(syscall.SIGCONT) }()
	}
	go func() {
		defer close(done)
		if c.unread {
			time.Sleep(shortTimeout + lifetime.DeliveryTime)
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	if c.suspended != callersNode {
		<-done
		late = watch.Late(shortTimeout)
	}
	// A suspended node can't end what its server does; that one is no part of the rule.
	if ran = g.server.Server.Runs.Load() > runs; ran && c.suspended != serversNode {
		serverLate = watch.LateAt(<-worked, shortTimeout)
	}
	return late, ran, serverLate
}

// send sends the request of a case, as far as its caller does.
func (g *silentRig) send(c *silentCase) net.Conn {
	conn, err := net.Dial("tcp", g.caller.CallerAddress())
	So(err, ShouldBeNil)
	_ = conn.SetDeadline(time.Now().Add(callerPatience))
	method, host := http.MethodGet, "files.example"
	if c.upload > 0 {
		method, host = http.MethodPost, "uploads.example"
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "%s /1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			method, host, standin.RequestIDHeader, strings.ReplaceAll(c.name, " ", "-"), standin.DeadlineHeader,
			callerPatience.Milliseconds(), c.upload, strings.Repeat("x", c.upload-c.withheld))
	}()
	return conn
}

// Guards against requests, and work at servers, that outlast their time-out because a party goes silent or sends without end.
func TestNoPartyOutlastsARequest(t *testing.T) {
	Convey("Whichever party goes silent or sends without end, the caller gets its answer or cut in time and the server's work ends", t, func() {
		cluster := startShortRoutes(t)
		g := &silentRig{StoreCluster: cluster, caller: cluster.VMs[0], server: cluster.VMs[1]}
		for i := range silentCases {
			c := &silentCases[i]
			late, ran, serverLate := g.play(c)
			t.Logf("%s: caller %s late, ran %t, server %s late", c.name, late, ran, serverLate)
			// A request that is refused at once would be in time as well.
			SoMsg(c.name+": the server ran it", ran, ShouldEqual, c.withheld == 0)
			SoMsg(c.name+": lateness at the caller", late, ShouldEqual, 0)
			SoMsg(c.name+": lateness at the server", serverLate, ShouldEqual, 0)
			So(g.AwaitReady(g.caller), ShouldBeNil)
			So(g.AwaitReady(g.server), ShouldBeNil)
		}
	})
}
