package distribution

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
)

// peakReadsPerSecond returns the largest number of source calls within any second.
func (n *network) peakReadsPerSecond() int {
	reads := slices.Clone(n.source.reads)
	slices.SortFunc(reads, time.Time.Compare)
	peak, from := 0, 0
	for i, at := range reads {
		for at.Sub(reads[from]) >= time.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

// If all nodes start at the same time and do not spread their source reads, they exceed the
// rate limit of the platform. The test counts the calls for a first start and for a restart of
// the whole fleet.
func TestHerd(t *testing.T) {
	Convey("A fleet whose nodes all start at the same time stays within the read limit of the platform", t, func() {
		cfg := testConfig()
		cfg.FleetSize = 200
		cfg.SourceReadsPerSecond = 128
		const limit = 160 // calls per second: the platform's limit of 2000 for 2500 nodes, scaled to 200 nodes
		n := newNetwork(t, cfg, newFleet(200, 9), 1)
		b := n.fixture.build(1, release.Digest{}, 1)
		n.publish(b)
		So(n.waitConverged(b.version), ShouldBeTrue)
		So(n.peakReadsPerSecond(), ShouldBeLessThan, limit)

		Convey("also after a restart of all nodes", func() {
			n.source.reads = nil
			for _, vm := range n.vms {
				n.kill(vm.ID)
			}
			for _, vm := range n.vms {
				n.start(vm.ID)
			}
			So(n.waitConverged(b.version), ShouldBeTrue)
			So(n.peakReadsPerSecond(), ShouldBeLessThan, limit)
			t.Logf("peak %d reads/s, %d reads in total", n.peakReadsPerSecond(), len(n.source.reads))
		})
	})
}
