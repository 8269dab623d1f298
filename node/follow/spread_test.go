package follow

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// Guards against calls of the store from every node, and against nodes that keep an old release
// because the node that reads the store, or the one they take changes from, fails.
func TestOneNodeReadsTheStore(t *testing.T) {
	vms := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}
	Convey("One node watches the store; all others get each change without a call of their own", t, func() {
		f := newFleet(t, vms...)
		eventually(t, func() bool { return f.settled() && f.all(1) })
		_, others := f.root()
		before := make(map[string]int64)
		for _, n := range others {
			before[n.vm] = n.calls.Load()
		}
		for sequence := uint64(2); sequence < 6; sequence++ {
			f.store.put("config", string(rune(sequence)))
			eventually(t, func() bool { return f.all(sequence) })
		}
		for _, n := range others {
			So(n.calls.Load(), ShouldEqual, before[n.vm])
		}
		f.close()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	Convey("When the node that reads the store is killed, another one takes over", t, func() {
		f := newFleet(t, vms...)
		eventually(t, func() bool { return f.settled() && f.all(1) })
		root, _ := f.root()
		f.kill(root)
		f.store.put("config", "\x07")
		eventually(t, func() bool { return f.all(7) })
		f.close()
	})
	Convey("When that node is cut from the store, another one takes over, and it lives from the others", t, func() {
		f := newFleet(t, vms...)
		eventually(t, func() bool { return f.settled() && f.all(1) })
		root, _ := f.root()
		root.cutStore.Store(true)
		f.store.put("config", "\x08")
		eventually(t, func() bool { return f.all(8) })
		root.cutStore.Store(false)
		eventually(t, f.settled)
		f.close()
	})
}

// Guards against a copy that goes back or has a gap when a message comes late, twice or from a
// node that is behind.
func TestCopiesFromPeers(t *testing.T) {
	Convey("A peer that is behind changes nothing, and changes with a gap before them are rejected", t, func() {
		newer, older := startFollower(newFakeStore(), noPeers{}), startFollower(newFakeStore(), noPeers{})
		defer newer.stop()
		defer older.stop()
		newer.mu.Lock()
		newer.replica.Replace(time.Now(), nil, source.Position{Revision: 9})
		newer.mu.Unlock()
		err := newer.applyCopy(&peerpb.SourceCopy{Revision: 4, AgeUs: 1000}, new(messageDelays))
		So(err, ShouldBeNil)
		So(newer.position().Revision, ShouldEqual, 9)
		items, err := encodeChanges(nil, source.Item{})
		So(err, ShouldBeNil)
		err = older.applyCopy(&peerpb.SourceCopy{Revision: 20, After: 15, Items: items}, new(messageDelays))
		So(err, ShouldEqual, errGap)
		So(older.position().Revision, ShouldEqual, 0)
		err = older.applyCopy(&peerpb.SourceCopy{Revision: 20}, new(messageDelays))
		So(err, ShouldEqual, errBehind)
		err = older.applyCopy(&peerpb.SourceCopy{}, new(messageDelays))
		So(err, ShouldEqual, errEmptyPeer)
	})
}

// Guards against a copy that counts as fresh although its message was under way for long: the
// node would then not notice in time that it misses changes.
func TestMessageDelays(t *testing.T) {
	Convey("The delay of a message counts, also of the first one, whatever the sender's clock says", t, func() {
		for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
			d := messageDelays{asked: 10 * time.Second}
			sent := 10*time.Second + time.Millisecond + offset
			So(d.delay(sent, 0, 12*time.Second), ShouldEqual, 2*time.Second)
			// Three seconds later, two milliseconds under way: 1 ms of the request is not known apart.
			So(d.delay(sent+3*time.Second, 0, 13*time.Second+3*time.Millisecond), ShouldEqual, 3*time.Millisecond)
			So(d.delay(sent+4*time.Second, 0, 15*time.Second), ShouldEqual, time.Second)
		}
	})
}

// otherDecoder ignores all keys.
type otherDecoder struct{ plainDecoder }

func (otherDecoder) Kind(string) source.Kind { return source.Other }

// Guards against a copy without items that takes the items of the node that gets it.
func TestCopyThatCannotBeEncoded(t *testing.T) {
	Convey("Nothing is sent if the items cannot be encoded", t, func() {
		cmd := &command.Commander{State: state.New(state.Identity{}), Log: zerolog.Nop(), Now: time.Now}
		f := New(DefaultConfig(), newFakeStore(), otherDecoder{}, noPeers{}, cmd, bootClock(), zerolog.Nop())
		f.replica.Replace(time.Now(), []source.Item{{Key: "a", Revision: 1}, {Key: "not UTF-8: \xff", Revision: 2}}, source.Position{Revision: 2})
		_, _, err := f.copySince(source.Position{})
		So(err, ShouldNotBeNil)
	})
}

// Guards against nodes that learn late that the one they take changes from has stopped, and
// against a stop that waits for streams that never end.
func TestStoppedFollower(t *testing.T) {
	Convey("When the node that reads the store stops following, its streams end and another one takes over", t, func() {
		f := newFleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3")
		eventually(t, func() bool { return f.settled() && f.all(1) })
		root, others := f.root()
		// A stream that its reader does not end.
		ses, err := others[0].Get(context.Background(), root.vm, netip.AddrPort{})
		So(err, ShouldBeNil)
		st, err := ses.Open(copyRequest(source.Position{}, true))
		So(err, ShouldBeNil)
		st.SetDeadline(time.Now().Add(waitTimeout))
		So(st.Recv(&peerpb.SourceCopy{}), ShouldBeNil)
		root.Stop()
		for err == nil {
			err = st.Recv(&peerpb.SourceCopy{})
		}
		So(err, ShouldEqual, io.EOF)
		st.Close()
		f.store.put("config", "\x09")
		eventually(t, func() bool { return others[0].sequence() == 9 && others[1].sequence() == 9 })
		f.close()
	})
}
