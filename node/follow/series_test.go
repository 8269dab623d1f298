package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a node that never catches up with a series of releases whose changes the store
// returns one by one.
func TestSeriesOfReleasesIsTooLargeForAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The newest release and all changes of servers are in force soon after, without reading all items", t, func() {
			store, r := startWithOneRelease()
			defer r.stop()
			time.Sleep(time.Second)
			store.maxReleases.Store(2)
			lists := store.lists.Load()
			sequence := byte(1)
			for range 40 {
				for range 5 {
					sequence++
					store.put("config", string([]byte{sequence}))
				}
				store.put("10.0.0.2", string([]byte{sequence}))
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(r.cfg.ApplyWithin / 2)
			So(r.sequence(), ShouldEqual, sequence)
			So(r.vms(), ShouldResemble, []string{"10.0.0.2"})
			So(store.lists.Load(), ShouldEqual, lists)
			store.remove("10.0.0.2")
			time.Sleep(r.cfg.ApplyWithin / 2)
			So(r.vms(), ShouldBeEmpty)
		})
	})
}

// Guards against a 404 for a route that the node may have missed.
func TestOldCopyIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A node that has not heard of the store for the bound does not count as current until it does", t, func() {
			store, r := startWithOneRelease()
			defer r.stop()
			time.Sleep(time.Minute)
			So(r.Current(), ShouldBeTrue)
			store.change(func() { store.down = true })
			time.Sleep(2 * r.cfg.ApplyWithin)
			So(r.Current(), ShouldBeFalse)
			store.change(func() { store.down = false })
			time.Sleep(2 * r.cfg.ApplyWithin)
			So(r.Current(), ShouldBeTrue)
		})
	})
}

// Guards against a node that waits out the backoff of an old decision after it became the one that
// must read the store.
func TestBackOffEndsWhenTheNodeMustRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The backoff of a node with a parent is cut to that of one without", t, func() {
			f := New(DefaultConfig(), newFakeStore(), plainDecoder{}, noPeers{}, &command.Commander{State: state.New(state.Identity{}), Log: zerolog.Nop(), Now: time.Now}, bootClock(), zerolog.Nop())
			f.decision.Parent = &vmlist.VM{ID: "10.0.0.2"}
			began, done := time.Now(), make(chan struct{})
			go func() {
				f.backOff(context.Background(), f.retryMax())
				close(done)
			}()
			time.Sleep(time.Millisecond)
			f.mu.Lock()
			f.decision.Parent = nil
			close(f.decided)
			f.decided = make(chan struct{})
			f.mu.Unlock()
			<-done
			So(time.Since(began), ShouldEqual, f.cfg.RetryMax)
		})
	})
}
