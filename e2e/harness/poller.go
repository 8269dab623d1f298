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

// Holding is what one node said it held at one moment.
type Holding struct {
	At   time.Time       `json:"at"`
	VM   string          `json:"vm"`
	Held release.Version `json:"held"`
}

// Poller asks all nodes again and again what they hold.
type Poller struct {
	Holdings *Journal[Holding]
	stop     context.CancelFunc
	workers  conc.WaitGroup
}

// StartPoller starts one worker for each node. Nodes that do not answer are left out.
func (c *Cluster) StartPoller() (*Poller, error) {
	holdings, err := NewJournal[Holding](filepath.Join(c.Dir, "holdings.jsonl"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Poller{Holdings: holdings, stop: stop}
	for _, vm := range c.VMs {
		p.workers.Go(func() { p.poll(ctx, c, vm) })
	}
	return p, nil
}

func (p *Poller) poll(ctx context.Context, c *Cluster, vm *VM) {
	for ctx.Err() == nil {
		if s, err := c.Status(vm); err == nil {
			if err := p.Holdings.Add(Holding{At: time.Now(), VM: vm.ID, Held: s.Held}); err != nil {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// Stop ends the polling.
func (p *Poller) Stop() {
	p.stop()
	p.workers.Wait()
}

// CheckHoldings checks that no node ever held an older release than before, also
// across its restarts. Holding none is allowed: a node that starts serves nothing.
func CheckHoldings(holdings []Holding) error {
	newest := make(map[string]release.Version)
	var violations []error
	for _, h := range holdings {
		if h.Held.IsZero() {
			continue
		}
		before := newest[h.VM]
		if before.Newer(h.Held) {
			violations = append(violations, fmt.Errorf("%s at %s: held %s after %s", h.VM, h.At.Format(time.TimeOnly), h.Held, before))
			continue
		}
		newest[h.VM] = h.Held
	}
	return errors.Join(violations...)
}
