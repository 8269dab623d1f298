package source

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an item above a limit that takes the place of what is in use, or that is passed on.
func TestItemsAboveTheLimits(t *testing.T) {
	release := func(revision uint64, size int) []Item {
		return []Item{{Key: "config", Value: bytes.Repeat([]byte("1"), size), Revision: revision}}
	}
	entry := func(size int) []byte {
		return append(encode("a", 1, false), bytes.Repeat([]byte(" "), size-len(encode("a", 1, false)))...)
	}
	apply := func(r *Replica, item Item) {
		r.Apply(start, Changes{Changes: []Change{{Item: item}}, Revision: item.Revision})
	}
	limitOf := func(r *Replica) string {
		problems := r.DecodeErrors()
		var tooLarge *TooLargeError
		So(problems, ShouldHaveLength, 1)
		So(errors.As(problems[0], &tooLarge), ShouldBeTrue)
		So(tooLarge.Bytes, ShouldEqual, tooLarge.Max+1)
		return tooLarge.Limit
	}
	Convey("A release of the largest size is held, one above it leaves it, and the next one that fits is taken", t, func() {
		r := NewReplica(DefaultConfig(), textDecoder{})
		r.Replace(start, release(2, MaxReleaseBytes), Position{Revision: 2})
		So(r.DecodeErrors(), ShouldBeEmpty)
		apply(r, release(3, MaxReleaseBytes+1)[0])
		So(limitOf(r), ShouldEqual, "release")
		held, found := r.Release()
		So(found, ShouldBeTrue)
		So(held.Revision, ShouldEqual, 2)
		r.Replace(start, release(3, MaxReleaseBytes+1), Position{Revision: 4})
		held, _ = r.Release()
		So(held.Revision, ShouldEqual, 2)
		apply(r, release(5, 1)[0])
		held, _ = r.Release()
		So(held.Revision, ShouldEqual, 5)
	})
	Convey("An entry of the largest size names a server, one above it names none", t, func() {
		r := NewReplica(DefaultConfig(), textDecoder{})
		r.Replace(start, nil, Position{Revision: 1})
		apply(r, Item{Key: "s1", Value: entry(MaxServerBytes), Revision: 2})
		So(ids(r.VMs()), ShouldResemble, []string{"a"})
		apply(r, Item{Key: "s1", Value: entry(MaxServerBytes + 1), Revision: 3})
		So(limitOf(r), ShouldEqual, "server_entry")
		So(r.VMs(), ShouldBeEmpty)
		So(r.Items()[0].Value, ShouldBeEmpty)
	})
	Convey("Values that are not used are not held", t, func() {
		r := NewReplica(DefaultConfig(), textDecoder{})
		r.Replace(start, []Item{{Key: "other", Value: entry(MaxServerBytes), Revision: 1}}, Position{Revision: 1})
		So(r.Items()[0].Value, ShouldBeEmpty)
	})
}
