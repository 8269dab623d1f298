package distribution

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnladder.example/core/release"
)

// faultRun applies random faults and releases to a network.
type faultRun struct {
	*network
	sequence uint64
	salt     int
	// parent is the digest of the most recently built release.
	parent release.Digest
	// previousValues holds the values that the source held before the current one.
	previousValues [][]byte
}

// nextRelease builds the next release. Sometimes it has the same sequence number as the
// one before.
func (h *faultRun) nextRelease(t *rapid.T) *testRelease {
	if h.sequence == 0 || rapid.IntRange(0, 4).Draw(t, "same sequence") > 0 {
		h.sequence++
	}
	h.salt++
	b := h.fixture.build(h.sequence, h.parent, h.salt)
	h.parent = b.version.Digest
	return b
}

// publishNext publishes the next release and keeps the value that it replaces.
func (h *faultRun) publishNext(t *rapid.T) {
	if h.source.value != nil {
		h.previousValues = append(h.previousValues, h.source.value)
	}
	h.publish(h.nextRelease(t))
}

func (h *faultRun) drawNode(t *rapid.T) *node {
	return h.nodes[h.vms[rapid.IntRange(0, len(h.vms)-1).Draw(t, "vm")].ID]
}

// actions returns the faults and operator actions that can occur at any time. The stored
// fail files depend on the names and on the order of the draws.
func (h *faultRun) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			h.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			if len(h.failures) > 0 {
				t.Fatalf("%v", h.failures)
			}
		},
		"publish": h.publishNext,
		"publish without chunks": func(t *rapid.T) {
			b := h.nextRelease(t)
			h.releases[b.version] = b
			h.setSourceValue(b.value)
		},
		"publish dangling": func(*rapid.T) {
			h.salt++
			b := h.fixture.buildDangling(h.sequence+1, h.salt)
			for d, data := range b.chunks {
				h.source.chunks[d] = data
			}
			h.setSourceValue(b.value)
		},
		"publish forged": func(*rapid.T) {
			h.salt++
			h.setSourceValue(encode(h.fixture.build(h.sequence+1000, h.parent, h.salt).withInvalidSignature()))
		},
		"source goes back": func(t *rapid.T) {
			if len(h.previousValues) > 0 {
				h.setSourceValue(rapid.SampledFrom(h.previousValues).Draw(t, "old"))
			}
		},
		"withdraw":    func(*rapid.T) { h.setSourceValue(nil) },
		"source down": func(*rapid.T) { h.source.down = true },
		"source up":   func(*rapid.T) { h.source.down = false },
		"cut":         func(t *rapid.T) { h.setPartitioned(h.drawNode(t).vm.Domain, true) },
		"heal":        func(t *rapid.T) { h.setPartitioned(h.drawNode(t).vm.Domain, false) },
		"restart": func(t *rapid.T) {
			if x := h.drawNode(t); x.alive {
				h.kill(x.vm.ID)
			} else {
				h.start(x.vm.ID)
			}
		},
		"loss": func(t *rapid.T) {
			h.loss = rapid.SampledFrom([]float64{0, 0.01, maxToleratedLoss, 0.9}).Draw(t, "loss")
			h.disturbedAt = h.Now
		},
		"pause": func(t *rapid.T) { h.pause(h.drawNode(t).vm.ID) },
		"resume": func(t *rapid.T) {
			if x := h.drawNode(t); x.paused {
				h.resume(x.vm.ID)
			}
		},
	}
}

// clearFaults ends all faults and starts all nodes. Message loss stays up to
// maxToleratedLoss.
func (h *faultRun) clearFaults() {
	h.source.down = false
	h.loss = min(h.loss, maxToleratedLoss)
	h.disturbedAt = h.Now
	for _, vm := range h.vms {
		x := h.nodes[vm.ID]
		h.setPartitioned(vm.Domain, false)
		if x.paused {
			h.resume(vm.ID)
		}
		if !x.alive {
			h.start(vm.ID)
		}
	}
}

// Under any interleaving of faults and releases, no node may activate an incomplete or
// invalid release or go back to an older one, and after the faults end all nodes must
// converge to the newest release.
func TestAnyInterleavingKeepsReleasesWholeAndMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := newFleet(rapid.IntRange(2, 10).Draw(rt, "nodes"), rapid.IntRange(1, 4).Draw(rt, "domains"))
		h := &faultRun{network: newNetwork(t, testConfig(), vms, rapid.Uint64().Draw(rt, "seed"))}
		h.duplicates = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "duplicates")
		h.publishNext(rt)
		for round := range 2 {
			rt.Repeat(h.actions())
			h.clearFaults()
			if round == 1 || h.newestHeld().IsZero() {
				h.publishNext(rt)
			}
			for i := 0; i < 120 && !h.converged(h.newestHeld()); i++ {
				h.Advance(500 * time.Millisecond)
			}
			if len(h.failures) > 0 {
				rt.Fatalf("%v", h.failures)
			}
			if !h.converged(h.newestHeld()) {
				rt.Fatalf("round %d: nodes did not converge to release %s:\n%s", round, h.newestHeld(), h.statusText())
			}
		}
	})
}

// statusText returns the status of all nodes, for failure messages.
func (n *network) statusText() string {
	text := ""
	for _, vm := range n.vms {
		text += fmt.Sprintf("%s %+v\n", vm.ID, n.nodes[vm.ID].machine.Status())
	}
	return text
}
