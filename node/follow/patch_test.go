package follow

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// largeRelease returns a release item that plainDecoder reads as the given sequence number. Only
// its first bytes depend on the number.
func largeRelease(sequence byte, revision uint64) source.Item {
	var value bytes.Buffer
	value.WriteByte(sequence)
	for i := range 2000 {
		fmt.Fprintf(&value, "%x", xxhash.Sum64String(fmt.Sprint(i)))
	}
	return source.Item{Key: "config", Value: value.Bytes(), Revision: revision}
}

// idleFollower returns a follower that does not run and holds a release as of its revision.
func idleFollower(release source.Item) *Follower {
	cmd := &command.Commander{State: state.New(state.Identity{}), Log: zerolog.Nop(), Now: time.Now}
	f := New(DefaultConfig(), newFakeStore(), plainDecoder{}, noPeers{}, cmd, bootClock(), zerolog.Nop())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Replace(time.Now(), []source.Item{release}, release.Position())
	f.renewLocked()
	return f
}

// advance applies a release at its revision.
func (f *Follower) advance(release source.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Apply(time.Now(), source.Changes{Changes: []source.Change{{Item: release}}, Revision: release.Revision})
	f.renewLocked()
}

// Guards against whole copies of a large release for nodes that change their parent: many do so
// at the same moment when copies come late, and whole copies make them later.
func TestFirstMessageOfStreamIsPatch(t *testing.T) {
	Convey("A node that holds an earlier release gets a patch with the first message of a stream", t, func() {
		f := idleFollower(largeRelease(1, 5))
		f.advance(largeRelease(2, 9))
		near, far := connPair(t)
		client, err := session.Client(near, session.DefaultConfig())
		So(err, ShouldBeNil)
		defer client.Close()
		server, err := session.Server(far, session.DefaultConfig())
		So(err, ShouldBeNil)
		defer server.Close()
		st, err := client.Open(copyRequest(source.Position{Revision: 5}, false))
		So(err, ShouldBeNil)
		accepted, err := server.Accept()
		So(err, ShouldBeNil)
		var req peerpb.Request
		So(accepted.Recv(&req), ShouldBeNil)
		So(f.ServeStream(&req, accepted), ShouldBeTrue)
		var c peerpb.SourceCopy
		So(st.Recv(&c), ShouldBeNil)
		So(c.GetRevision(), ShouldEqual, 9)
		So(len(c.GetItems()), ShouldBeLessThan, len(largeRelease(2, 9).Value)/10)
	})
}

// Guards against a whole copy of a large release because the node already has a newer release
// than the one to which its parent's patch applies.
func TestPatchOfAnEarlierRelease(t *testing.T) {
	Convey("A patch of the release before the one that the node holds is applied", t, func() {
		parent, child := idleFollower(largeRelease(1, 5)), idleFollower(largeRelease(1, 5))
		child.advance(largeRelease(2, 9))
		parent.advance(largeRelease(3, 12))
		c, _, err := parent.copySince(source.Position{Revision: 5})
		So(err, ShouldBeNil)
		err = child.applyCopy(c, new(messageDelays))
		So(err, ShouldBeNil)
		So(child.position().Revision, ShouldEqual, 12)
	})
}

// Guards against whole copies between nodes that did not receive the same releases of a series:
// each of them reads only the newest one.
func TestPatchOfACommonRelease(t *testing.T) {
	Convey("A node gets a patch of a release that both nodes hold, not of one that it never held", t, func() {
		parent, child := idleFollower(largeRelease(1, 5)), idleFollower(largeRelease(1, 5))
		parent.advance(largeRelease(2, 9))
		child.advance(largeRelease(3, 12))
		parent.advance(largeRelease(4, 15))
		c, _, err := parent.copySince(child.position(), child.heldReleases(child.position())...)
		So(err, ShouldBeNil)
		So(len(c.GetItems()), ShouldBeLessThan, len(largeRelease(4, 15).Value)/10)
		err = child.applyCopy(c, new(messageDelays))
		So(err, ShouldBeNil)
		So(child.position().Revision, ShouldEqual, 15)
	})
}

// Guards against whole copies because a node passes on the patch that it got as one of another
// release.
func TestPatchThatIsPassedOn(t *testing.T) {
	Convey("A node that took a patch of an older release sends one of the release that the next node holds", t, func() {
		parent, node := idleFollower(largeRelease(1, 5)), idleFollower(largeRelease(1, 5))
		parent.advance(largeRelease(2, 9))
		node.advance(largeRelease(3, 12))
		parent.advance(largeRelease(4, 15))
		next := idleFollower(largeRelease(3, 12))
		c, _, err := parent.copySince(node.position(), node.heldReleases(node.position())...)
		So(err, ShouldBeNil)
		err = node.applyCopy(c, new(messageDelays))
		So(err, ShouldBeNil)
		c, _, err = node.copySince(next.position(), next.heldReleases(next.position())...)
		So(err, ShouldBeNil)
		err = next.applyCopy(c, new(messageDelays))
		So(err, ShouldBeNil)
		So(next.position().Revision, ShouldEqual, 15)
	})
}
