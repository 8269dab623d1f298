package follow

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"auburnladder.example/core/source"
	. "github.com/smartystreets/goconvey/convey"
)

// backup returns a function that puts the store back into its present state, as a new era.
func (s *fakeStore) backup() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, events, revision := maps.Clone(s.items), slices.Clone(s.events), s.revision
	return func() {
		s.change(func() {
			s.items, s.events, s.revision = maps.Clone(items), slices.Clone(events), revision
			s.era++
		})
	}
}

// remove removes a key.
func (s *fakeStore) remove(key string) {
	s.change(func() {
		s.revision++
		delete(s.items, key)
		s.events = append(s.events, source.Change{Item: source.Item{Key: key, Revision: s.revision}, Removed: true})
	})
}

// Guards against nodes that compare revisions from before and after the store was restored.
func TestConfigurationMissedAfterTheStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Changes that are written after the store came back are applied, whatever their revisions", t, func() {
			for written := range 4 {
				checkRestoredStore(written)
			}
		})
	})
}

// checkRestoredStore restores a store to before its latest releases. Then it is written to the
// given number of times before the next release.
func checkRestoredStore(written int) {
	store, r := startWithOneRelease()
	defer r.stop()
	restore := store.backup()
	store.put("config", "\x02")
	store.put("config", "\x03")
	time.Sleep(time.Second)
	So(r.sequence(), ShouldEqual, 3)
	restore()
	time.Sleep(time.Second)
	So(r.sequence(), ShouldEqual, 3)
	for range written {
		store.put("10.0.0.9", "")
	}
	store.put("config", "\x04")
	time.Sleep(2 * time.Second)
	So(r.sequence(), ShouldEqual, 4)
}

// Guards against a server that left being used again because its entry is in the restored store.
func TestRemovedServerReturnsWithTheRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("It is not used, unless the store keeps its entry for longer than that of a silent server", t, func() {
			store, r := startWithOneRelease()
			defer r.stop()
			store.put("10.0.0.2", "")
			restore := store.backup()
			time.Sleep(time.Second)
			So(r.vms(), ShouldResemble, []string{"10.0.0.2"})
			store.remove("10.0.0.2")
			time.Sleep(time.Second)
			So(r.vms(), ShouldBeEmpty)
			restore()
			time.Sleep(DefaultConfig().Replica.WithholdFor - time.Second)
			So(r.vms(), ShouldBeEmpty)
			time.Sleep(2 * time.Second)
			So(r.vms(), ShouldResemble, []string{"10.0.0.2"})
		})
	})
}

// Guards against nodes that take copies from others and mix revisions of a restored store.
func TestPeersMissConfigurationAfterTheStoreIsRestored(t *testing.T) {
	Convey("All nodes apply the changes that are written after the store came back", t, func() {
		f := newFleet(t, "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4")
		defer f.close()
		eventually(t, func() bool { return f.settled() && f.all(1) })
		restore := f.store.backup()
		f.store.put("config", "\x02")
		f.store.put("config", "\x03")
		eventually(t, func() bool { return f.all(3) })
		restore()
		f.store.put("config", "\x03")
		f.store.put("config", "\x05")
		eventually(t, func() bool { return f.all(5) })
		f.store.put("config", "\x06")
		eventually(t, func() bool { return f.all(6) })
	})
}
