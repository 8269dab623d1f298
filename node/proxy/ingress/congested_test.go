package ingress

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// oneSession gives the same session for every VM.
type oneSession struct{ session *session.Session }

func (o oneSession) Get(context.Context, string, netip.AddrPort) (*session.Session, error) {
	return o.session, nil
}

func (oneSession) Retire(string, *session.Session) {}

// Guards against a request that waits beyond its deadline to be sent on a session that takes no bytes.
func TestRequestAtACongestedSessionIsRefusedAtOnce(t *testing.T) {
	Convey("A request whose server's node reads nothing, so that its session's queue is full, is refused before its deadline", t, func() {
		near, far := net.Pipe()
		defer far.Close()
		ses, err := session.Client(near, session.DefaultConfig())
		So(err, ShouldBeNil)
		var sender conc.WaitGroup
		sender.Go(func() {
			for {
				st, err := ses.OpenStream()
				if err != nil || st.Send(&peerpb.Body{Data: make([]byte, 32<<10)}) != nil {
					return
				}
			}
		})
		for end := time.Now().Add(waitTimeout); !ses.Congested() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		f := newPublishedFleet(t, replyOK)
		f.ingress.Sessions = oneSession{ses}
		const deadline = 2 * time.Second
		sent := time.Now()
		status, _ := f.status(http.MethodPost, "/book/1", "", "X-Left: 2000")
		took := time.Since(sent)
		f.close()
		ses.Close()
		sender.Wait()
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(took, ShouldBeLessThan, deadline)
	})
}

// Guards against requests that wait for 6 s to send their bodies to a node that reads nothing.
func TestUploadToASilentNodeEndsWithItsRequest(t *testing.T) {
	Convey("Requests whose bodies another node does not read get 504 in time, and the next one is refused at once", t, func() {
		near, far := net.Pipe()
		defer far.Close()
		ses, err := session.Client(near, session.DefaultConfig())
		So(err, ShouldBeNil)
		f := newPublishedFleet(t, replyOK)
		f.ingress.Sessions = oneSession{ses}
		body := strings.Repeat("b", 1<<20)
		var callers conc.WaitGroup
		const uploads = 6 // more than the queue of the session holds
		type result struct {
			status int
			late   time.Duration
		}
		results := make(chan result, uploads)
		for range uploads {
			callers.Go(func() {
				watch := lifetimetest.Start()
				status, _ := f.status(http.MethodPost, "/book/1", body, "X-Left: 300")
				results <- result{status, watch.Late(shortTimeout)}
			})
		}
		callers.Wait()
		waited := 0
		for range uploads {
			r := <-results
			So(r.late, ShouldEqual, 0)
			if r.status == http.StatusGatewayTimeout {
				waited++
			}
		}
		So(waited, ShouldBeGreaterThan, 0)
		f.close()
		ses.Close()
	})
}
