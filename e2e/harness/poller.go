package harness

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/sourcegraph/conc"

	"auburnladder.example/core/release"
)

// HeldVersion is the release that a node reported to hold at one time. It is one record of
// holdings.jsonl.
type HeldVersion struct {
	At   time.Time       `json:"at"`
	VM   string          `json:"vm"`
	Held release.Version `json:"held"`
}

// Poller repeatedly queries all nodes for the release that they hold.
type Poller struct {
	HeldVersions *Journal[HeldVersion]
	stop         context.CancelFunc
	workers      conc.WaitGroup
}

// StartPoller starts one worker for each node. A query that fails is not recorded.
func (c *Cluster) StartPoller() (*Poller, error) {
	holdings, err := NewJournal[HeldVersion](filepath.Join(c.Dir, "holdings.jsonl"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Poller{HeldVersions: holdings, stop: stop}
	for _, vm := range c.VMs {
		p.workers.Go(func() { p.poll(ctx, c, vm) })
	}
	return p, nil
}

func (p *Poller) poll(ctx context.Context, c *Cluster, vm *VM) {
	for ctx.Err() == nil {
		if s, err := c.Status(vm); err == nil {
			if err := p.HeldVersions.Append(HeldVersion{At: time.Now(), VM: vm.ID, Held: s.Held}); err != nil {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// Stop ends the polling and waits for the workers.
func (p *Poller) Stop() {
	p.stop()
	p.workers.Wait()
}

// CheckHeldVersions checks that no node ever held an older release than before, including
// across restarts. A node may hold no release, because it holds none while it starts.
func CheckHeldVersions(holdings []HeldVersion) error {
	newest := make(map[string]release.Version)
	var violations []error
	for _, h := range holdings {
		if h.Held.IsZero() {
			continue
		}
		before := newest[h.VM]
		if before.Newer(h.Held) {
			violations = append(violations, fmt.Errorf("%s at %s: held release %s after the newer %s", h.VM, h.At.Format(time.TimeOnly), h.Held, before))
			continue
		}
		newest[h.VM] = h.Held
	}
	return errors.Join(violations...)
}
