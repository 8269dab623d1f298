package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/core/lifetime/lifetimetest"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// shortTimeout is the time of the requests whose end is tested.
const shortTimeout = 300 * time.Millisecond

// partThenSilence sends the first part of an answer and then nothing, as a node that is suspended.
func partThenSilence(_ *link, call *peerpb.Call, st *session.Stream) {
	sendParts(call, st, nil, bodyPart)
	awaitEnd(st)
}

// endlessParts sends parts of an answer until the stream ends.
func endlessParts(_ *link, call *peerpb.Call, st *session.Stream) {
	sendParts(call, st, nil, bodyPart)
	var sender conc.WaitGroup
	defer sender.Wait()
	defer func() { st.SetDeadline(time.Unix(1, 0)) }()
	var ended atomic.Bool
	defer ended.Store(true)
	sender.Go(func() {
		for !ended.Load() && st.Send(&peerpb.Body{Data: []byte("more")}) == nil {
			time.Sleep(time.Millisecond)
		}
	})
	awaitEnd(st)
}

// awaitEnd waits until the ingress closes the stream.
func awaitEnd(st *session.Stream) {
	for st.Recv(&peerpb.Progress{}) == nil {
	}
}

// Guards against requests that are held for 15 s and more by a node that goes silent in the midst of a body.
func TestBodyEndsWithItsRequest(t *testing.T) {
	for name, h := range map[string]handler{"goes silent": partThenSilence, "never ends": endlessParts} {
		Convey("An answer whose body "+name+" is cut at the end of its request, and its stream with it", t, func() {
			ended := make(chan struct{})
			f := newPublishedFleet(t, func(l *link, call *peerpb.Call, st *session.Stream) {
				h(l, call, st)
				close(ended)
			})
			defer f.close()
			watch := lifetimetest.Start()
			resp, err := f.send(http.MethodGet, "/read/1", "", "X-Left: 300")
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			received, err := io.Copy(io.Discard, resp.Body)
			So(err, ShouldNotBeNil)
			<-ended
			So(watch.Late(shortTimeout), ShouldEqual, 0)
			So(received, ShouldBeGreaterThanOrEqualTo, len(bodyPart))
		})
	}
}
