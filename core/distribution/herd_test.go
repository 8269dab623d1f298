package distribution

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
)

// peakReads returns the largest number of source calls within one second.
func (n *network) peakReads() int {
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

func TestHerd(t *testing.T) {
	Convey("A fleet that starts at once stays within the budget of the source", t, func() {
		cfg := testConfig()
		cfg.FleetSize = 200
		cfg.SourceReadsPerSecond = 128
		const limit = 160 // calls per second: the platform's 2000 for 2500 nodes, in proportion
		n := newNetwork(t, cfg, fleet(200, 9), 1)
		b := n.fixture.build(1, release.Digest{}, 1)
		n.publish(b)
		So(n.settle(b.version), ShouldBeTrue)
		So(n.peakReads(), ShouldBeLessThan, limit)

		Convey("and after a restart as well", func() {
			n.source.reads = nil
			for _, vm := range n.vms {
				n.kill(vm.ID)
			}
			for _, vm := range n.vms {
				n.start(vm.ID)
			}
			So(n.settle(b.version), ShouldBeTrue)
			So(n.peakReads(), ShouldBeLessThan, limit)
			t.Logf("peak %d reads/s, %d in all", n.peakReads(), len(n.source.reads))
		})
	})
}
