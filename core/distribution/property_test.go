package distribution

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnladder.example/core/release"
)

// history drives a network through random faults and releases.
type history struct {
	*network
	sequence uint64
	salt     int
	// parent is the digest of the last release.
	parent release.Digest
	// old holds values that were current at the source before.
	old [][]byte
}

// next makes the following release. Now and then two have the same sequence number.
func (h *history) next(t *rapid.T) *built {
	if h.sequence == 0 || rapid.IntRange(0, 4).Draw(t, "same sequence") > 0 {
		h.sequence++
	}
	h.salt++
	b := h.fixture.build(h.sequence, h.parent, h.salt)
	h.parent = b.version.Digest
	return b
}

func (h *history) publishNext(t *rapid.T) {
	if h.source.value != nil {
		h.old = append(h.old, h.source.value)
	}
	h.publish(h.next(t))
}

func (h *history) anyNode(t *rapid.T) *node {
	return h.nodes[h.vms[rapid.IntRange(0, len(h.vms)-1).Draw(t, "vm")].ID]
}

// actions are the things that may happen, each at any moment.
func (h *history) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			h.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			if len(h.failures) > 0 {
				t.Fatalf("%v", h.failures)
			}
		},
		"publish": h.publishNext,
		"publish without chunks": func(t *rapid.T) {
			b := h.next(t)
			h.releases[b.version] = b
			h.setSource(b.value)
		},
		"publish dangling": func(*rapid.T) {
			h.salt++
			b := h.fixture.buildDangling(h.sequence+1, h.salt)
			for d, data := range b.chunks {
				h.source.chunks[d] = data
			}
			h.setSource(b.value)
		},
		"publish forged": func(*rapid.T) {
			h.salt++
			h.setSource(encode(h.fixture.build(h.sequence+1000, h.parent, h.salt).forge()))
		},
		"source goes back": func(t *rapid.T) {
			if len(h.old) > 0 {
				h.setSource(rapid.SampledFrom(h.old).Draw(t, "old"))
			}
		},
		"withdraw":    func(*rapid.T) { h.setSource(nil) },
		"source down": func(*rapid.T) { h.source.down = true },
		"source up":   func(*rapid.T) { h.source.down = false },
		"cut":         func(t *rapid.T) { h.setCut(h.anyNode(t).vm.Domain, true) },
		"heal":        func(t *rapid.T) { h.setCut(h.anyNode(t).vm.Domain, false) },
		"restart": func(t *rapid.T) {
			if x := h.anyNode(t); x.alive {
				h.kill(x.vm.ID)
			} else {
				h.start(x.vm.ID)
			}
		},
		"loss": func(t *rapid.T) {
			h.loss = rapid.SampledFrom([]float64{0, 0.01, maxLoss, 0.9}).Draw(t, "loss")
			h.disturbed = h.now
		},
		"pause": func(t *rapid.T) { h.pause(h.anyNode(t).vm.ID) },
		"resume": func(t *rapid.T) {
			if x := h.anyNode(t); x.paused {
				h.resume(x.vm.ID)
			}
		},
	}
}

// heal ends all faults.
func (h *history) heal() {
	h.source.down = false
	h.loss = min(h.loss, maxLoss)
	h.disturbed = h.now
	for _, vm := range h.vms {
		x := h.nodes[vm.ID]
		h.setCut(vm.Domain, false)
		if x.paused {
			h.resume(vm.ID)
		}
		if !x.alive {
			h.start(vm.ID)
		}
	}
}

func TestAnyInterleavingKeepsReleasesWholeAndMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := fleet(rapid.IntRange(2, 10).Draw(rt, "nodes"), rapid.IntRange(1, 4).Draw(rt, "domains"))
		h := &history{network: newNetwork(t, testConfig(), vms, rapid.Uint64().Draw(rt, "seed"))}
		h.duplicates = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "duplicates")
		h.publishNext(rt)
		for round := range 2 {
			rt.Repeat(h.actions())
			h.heal()
			if round == 1 || h.newest().IsZero() {
				h.publishNext(rt)
			}
			for i := 0; i < 120 && !h.converged(h.newest()); i++ {
				h.run(500 * time.Millisecond)
			}
			if len(h.failures) > 0 {
				rt.Fatalf("%v", h.failures)
			}
			if !h.converged(h.newest()) {
				rt.Fatalf("round %d: not converged to %s:\n%s", round, h.newest(), h.describe())
			}
		}
	})
}

func (n *network) describe() string {
	text := ""
	for _, vm := range n.vms {
		text += fmt.Sprintf("%s %+v\n", vm.ID, n.nodes[vm.ID].machine.Status())
	}
	return text
}
