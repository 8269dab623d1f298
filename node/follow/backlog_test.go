package follow

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"auburnladder.example/core/source"
	. "github.com/smartystreets/goconvey/convey"
)

var errSlow = errors.New("the response took too long")

// slowStore is a store whose responses take time in proportion to their size. Like the client of
// the platform's store, a call fails once it has taken callTimeout, beyond its wait for a change.
type slowStore struct {
	*fakeStore
	bytesPerSecond float64
}

// callTimeout is the timeout of the client of the store in deploy/node.yaml.
const callTimeout = 700 * time.Millisecond

func (s *slowStore) List(after string) (source.Page, error) {
	started := time.Now()
	p, err := s.fakeStore.List(after)
	if err != nil {
		return p, err
	}
	size := 0
	for _, item := range p.Items {
		size += len(item.Value)
	}
	return p, s.transfer(size, started.Add(callTimeout))
}

func (s *slowStore) Watch(after uint64, wait time.Duration) (source.Changes, error) {
	started := time.Now()
	c, err := s.fakeStore.Watch(after, wait)
	if err != nil {
		return c, err
	}
	size := 0
	for _, ch := range c.Changes {
		size += len(ch.Value)
	}
	return c, s.transfer(size, started.Add(wait+callTimeout))
}

// transfer waits until a response of size bytes has arrived, or until end.
func (s *slowStore) transfer(size int, end time.Time) error {
	took := time.Duration(float64(size) * 4 / 3 / s.bytesPerSecond * float64(time.Second))
	if left := time.Until(end); took > left {
		time.Sleep(left)
		return errSlow
	}
	time.Sleep(took)
	return nil
}

// Guards against a node that never catches up after a series of large configurations, because
// each attempt reads every version that it missed.
func TestSeriesOfLargeConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A series of configurations of 300 KB over a link of 9 Mbit/s is in force within the bound", t, func() {
			store := &slowStore{fakeStore: newFakeStore(), bytesPerSecond: 9e6 / 8}
			padding := strings.Repeat("x", 300_000)
			store.put("config", "\x01"+padding)
			cfg := DefaultConfig()
			cfg.ApplyWithin = 2500 * time.Millisecond
			r := startFollowerWith(cfg, store, noPeers{})
			defer r.stop()
			time.Sleep(5 * time.Second)
			So(r.sequence(), ShouldEqual, 1)
			const versions = 25
			for version := 2; version <= versions; version++ {
				store.put("config", string(rune(version))+padding)
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(cfg.ApplyWithin)
			So(r.sequence(), ShouldEqual, versions)
		})
	})
}
