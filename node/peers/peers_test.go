package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// blackholeConn is a connection that can be made to drop data: writes succeed and are
// discarded.
type blackholeConn struct {
	net.Conn
	mu        sync.Mutex
	blackhole bool
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	blackhole := c.blackhole
	c.mu.Unlock()
	if blackhole {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *blackholeConn) dropWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackhole = true
}

// fakeTransport dials the set target over in-memory pipes. Dial fails with err if it is set.
type fakeTransport struct {
	TCP
	target *Set
	conns  []*blackholeConn
	err    error
}

func (f *fakeTransport) Dial(context.Context, string, netip.AddrPort) (net.Conn, error) {
	if f.err != nil {
		return nil, f.err
	}
	near, far := net.Pipe()
	conn := &blackholeConn{Conn: near}
	f.conns = append(f.conns, conn)
	f.target.spawn(func() { f.target.accept(far) })
	return conn, nil
}

type noHandler struct{}

func (noHandler) ServeStream(context.Context, Peer, *peerpb.Request, *session.Stream) {}

// noTimeouts returns a config whose timeouts are too long to close a session within a test.
func noTimeouts() Config {
	cfg := DefaultConfig()
	cfg.Session.ProbeInterval = time.Hour
	cfg.Session.ProbeTimeout = time.Hour
	cfg.MaxIdle = time.Hour
	return cfg
}

func newSet(vm string, tr Transport, cfg Config) *Set {
	cfg.Transport = tr
	hello := func() *peerpb.Hello { return &peerpb.Hello{Vm: vm} }
	return New(context.Background(), cfg, hello, noHandler{}, zerolog.Nop())
}

func ping(ses *session.Session) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req := &peerpb.Request{Kind: &peerpb.Request_Ping{Ping: &peerpb.Ping{Nonce: 1}}}
	return ses.Exchange(ctx, req, &peerpb.Ping{})
}

// A session that no longer carries data must be replaced, and an idle one closed. A session
// must never lead to another VM than the requested one, and a failed dial must not prevent a
// later one.
func TestSessions(t *testing.T) {
	var addr netip.AddrPort
	get := func(s *Set, vm string) (*session.Session, error) {
		return s.Get(context.Background(), vm, addr)
	}
	run := func(name string, cfg Config, check func(near *Set, tr *fakeTransport)) {
		Convey(name, t, func() {
			far := newSet("b", TCP{}, noTimeouts())
			tr := &fakeTransport{target: far}
			near := newSet("a", tr, cfg)
			check(near, tr)
			near.Close()
			far.Close()
		})
	}
	fastProbes := noTimeouts()
	fastProbes.Session.ProbeInterval = 50 * time.Millisecond
	fastProbes.Session.ProbeTimeout = 500 * time.Millisecond
	run("A session whose connection drops all data is closed and replaced", fastProbes, func(near *Set, tr *fakeTransport) {
		first, err := get(near, "b")
		So(err, ShouldBeNil)
		tr.conns[0].dropWrites()
		So(ping(first), ShouldNotBeNil)
		<-first.Closed()
		second, err := get(near, "b")
		So(err, ShouldBeNil)
		So(second == first, ShouldBeFalse)
	})
	shortIdle := noTimeouts()
	shortIdle.MaxIdle = 50 * time.Millisecond
	run("An idle session is closed", shortIdle, func(near *Set, _ *fakeTransport) {
		ses, err := get(near, "b")
		So(err, ShouldBeNil)
		<-ses.Closed()
	})
	run("A session is rejected if another VM replies at the address", noTimeouts(), func(near *Set, _ *fakeTransport) {
		_, err := get(near, "c")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "b replied")
	})
	run("A failed dial is reported, and the next call dials again", noTimeouts(), func(near *Set, tr *fakeTransport) {
		tr.err = errors.New("refused")
		_, err := get(near, "b")
		So(err, ShouldNotBeNil)
		tr.err = nil
		_, err = get(near, "b")
		So(err, ShouldBeNil)
	})
}

// Without a shared dial, a burst of calls to one VM would open one connection per call.
func TestConcurrentGetsShareOneSession(t *testing.T) {
	Convey("Concurrent calls of Get for one VM cause one dial", t, func() {
		far := newSet("b", TCP{}, noTimeouts())
		tr := &fakeTransport{target: far}
		near := newSet("a", tr, noTimeouts())
		var wg conc.WaitGroup
		for range 50 {
			wg.Go(func() { _, _ = near.Get(context.Background(), "b", netip.AddrPort{}) })
		}
		wg.Wait()
		So(len(tr.conns), ShouldEqual, 1)
		near.Close()
		far.Close()
	})
}
