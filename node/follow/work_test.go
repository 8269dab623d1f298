package follow

import (
	"context"
	"testing"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/source"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// Guards against nodes with a small processor that fall behind as each changed route costs them
// work for all routes.
func TestChangedRouteCostsAllRoutes(t *testing.T) {
	Convey("Taking, passing on and applying one changed route costs about the same among 200 routes and 2,000", t, func() {
		allocations := func(routes int) float64 {
			return versionAllocations(t, func(version int) []byte { return configOf(routes, version) })
		}
		So(allocations(2000), ShouldBeLessThan, 2*allocations(200))
	})
}

// Guards against a node that decodes all routes again because a column that is empty for most of
// them comes or goes.
func TestColumnThatComesCostsAllRoutes(t *testing.T) {
	Convey("One changed route with an empty column that comes or goes costs about the same among 200 routes and 2,000", t, func() {
		allocations := func(routes int) float64 {
			return versionAllocations(t, func(version int) []byte {
				if version%2 == 0 {
					return configWith(routes, version, "", "")
				}
				return configOf(routes, version)
			})
		}
		So(allocations(2000), ShouldBeLessThan, 2*allocations(200))
	})
}

// versionAllocations returns the allocations of a node for one version of a configuration.
func versionAllocations(t *testing.T, config func(version int) []byte) float64 {
	const rounds = 8
	copies := copiesOf(t, rounds+2, config)
	node, delays, next := newPlatformFollower(), new(messageDelays), 0
	take := func() {
		held := node.position()
		err := node.applyCopy(copies[next], delays)
		So(err, ShouldBeNil)
		_, _, err = node.copySince(held)
		So(err, ShouldBeNil)
		node.buildNewest()
		next++
	}
	take()
	allocations := testing.AllocsPerRun(rounds, take)
	So(node.command.State.Snapshot().Version.Sequence, ShouldEqual, rounds+2)
	return allocations
}

// Guards against links that fill up as each node that asks gets the whole configuration, although
// it says which one it holds.
func TestAskingNodeGetsWholeConfiguration(t *testing.T) {
	Convey("A node that holds the configuration but for one changed route gets that route only", t, func() {
		const routes = 2000
		holder, asking := newPlatformFollower(), newPlatformFollower()
		write(holder, 1, configOf(routes, 1))
		write(asking, 1, configOf(routes, 1))
		write(holder, 2, configOf(routes, 2))
		size := 0
		ask := func() error {
			c, _, err := holder.copySince(asking.position())
			So(err, ShouldBeNil)
			size = len(c.GetItems())
			err = asking.applyCopy(c, new(messageDelays))
			asking.buildNewest()
			return err
		}
		So(ask(), ShouldBeNil)
		So(asking.command.State.Snapshot().Version.Sequence, ShouldEqual, 2)
		So(size, ShouldBeLessThan, len(configOf(routes, 2))/50)
	})
}

// steppedDecoder blocks on release 2 until gate is closed, and closes reached before.
type steppedDecoder struct {
	plainDecoder
	reached, gate chan struct{}
}

func (d steppedDecoder) Release(value []byte) (*mesh.Published, error) {
	if value[0] == 2 {
		close(d.reached)
		<-d.gate
	}
	return d.plainDecoder.Release(value)
}

// Guards against changes that come late to the nodes below, because each node takes one only after
// it has applied the one before.
func TestChangeWaitsForApplyingTheOneBefore(t *testing.T) {
	Convey("While a node applies a release, it takes the next one and passes it on", t, func() {
		store, decoder := newFakeStore(), steppedDecoder{reached: make(chan struct{}), gate: make(chan struct{})}
		store.put("config", "\x01")
		cmd := &command.Commander{State: state.New(state.Identity{VM: "10.0.0.1"}), Log: zerolog.Nop(), Now: time.Now}
		f := New(DefaultConfig(), store, decoder, noPeers{}, cmd, bootClock(), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		var tasks conc.WaitGroup
		tasks.Go(func() { f.Run(ctx) })
		defer f.calls.Wait()
		defer tasks.Wait()
		defer cancel()
		defer close(decoder.gate)
		eventually(t, func() bool { return f.position().Revision == 1 })
		store.put("config", "\x02")
		<-decoder.reached
		store.put("config", "\x03")
		eventually(t, func() bool {
			copied, _, err := f.copySince(source.Position{})
			return err == nil && copied.GetRevision() == 3
		})
	})
}
