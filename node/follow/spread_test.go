package follow

import (
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
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
		newer.replica.Replace(time.Now(), nil, 9)
		newer.mu.Unlock()
		_, err := newer.applyCopy(&peerpb.SourceCopy{Revision: 4, AgeUs: 1000}, nil)
		So(err, ShouldBeNil)
		So(newer.revision(), ShouldEqual, 9)
		items := encodeChanges(nil, newer.releases.at(0))
		_, err = older.applyCopy(&peerpb.SourceCopy{Revision: 20, After: 15, Items: items}, nil)
		So(err, ShouldEqual, errGap)
		So(older.revision(), ShouldEqual, 0)
		_, err = older.applyCopy(&peerpb.SourceCopy{Revision: 20}, nil)
		So(err, ShouldEqual, errBehind)
		_, err = older.applyCopy(&peerpb.SourceCopy{}, nil)
		So(err, ShouldEqual, errEmptyPeer)
	})
}
