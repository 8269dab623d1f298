package follow

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// slowConn writes 64 KiB a second.
type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / (64 << 10))
	return c.Conn.Write(p)
}

// fixedPeers has a session to each of its candidates.
type fixedPeers struct {
	noPeers
	sessions map[netip.AddrPort]*session.Session
}

func (p *fixedPeers) Get(_ context.Context, _ string, addr netip.AddrPort) (*session.Session, error) {
	return p.sessions[addr], nil
}

func (p *fixedPeers) Candidates() []netip.AddrPort {
	var all []netip.AddrPort
	for addr := range p.sessions {
		all = append(all, addr)
	}
	return all
}

// Guards against one peer on a slow link that keeps a node from asking others for newer copies.
func TestSlowPeerDoesNotHoldUpARound(t *testing.T) {
	Convey("A round ends soon after one peer gave a newer copy, although another one is still sending", t, func() {
		fast := newPlatformFollower()
		write(fast, 5, configOf(10, 1))
		peers := &fixedPeers{sessions: make(map[netip.AddrPort]*session.Session)}
		var tasks conc.WaitGroup
		defer tasks.Wait()
		serve := func(addr string, wrap func(net.Conn) net.Conn, reply func(st *session.Stream)) {
			near, far := connPair(t)
			client, err := session.Client(near, session.DefaultConfig())
			So(err, ShouldBeNil)
			server, err := session.Server(wrap(far), session.DefaultConfig())
			So(err, ShouldBeNil)
			peers.sessions[netip.MustParseAddrPort(addr)] = client
			tasks.Go(func() {
				defer server.Close()
				if st, err := server.Accept(); err == nil {
					reply(st)
					st.AwaitEnd()
				}
			})
		}
		serve("10.0.0.2:1", func(c net.Conn) net.Conn { return c }, func(st *session.Stream) {
			var req peerpb.Request
			_ = st.Recv(&req)
			fast.ServeStream(&req, st)
		})
		serve("10.0.0.3:1", func(c net.Conn) net.Conn { return slowConn{c} }, func(st *session.Stream) {
			_ = st.SendLarge(&peerpb.SourceCopy{Items: make([]byte, 1<<20)}, maxMessageBytes, sendTimeout)
		})
		node := newPlatformFollower()
		node.peers = peers
		began := time.Now()
		node.askRound(context.Background())
		So(time.Since(began), ShouldBeLessThan, 3*peerTimeout)
		So(node.position().Revision, ShouldEqual, 5)
		for _, ses := range peers.sessions {
			ses.Close()
		}
	})
}
