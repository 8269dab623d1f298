package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/standin/platform"
)

func (c *Cluster) platformAddress() string {
	return fmt.Sprintf("%s0.1:%d", c.network, platformPort)
}

func (c *Cluster) platformURL() string {
	return "http://" + c.platformAddress()
}

func (c *Cluster) startPlatform() error {
	p, err := startProcess(c.Dir, "platform", filepath.Join(c.bin, "standin"), "platform", "--listen", c.platformAddress())
	if err != nil {
		return err
	}
	c.platform = p
	return Eventually("platform stand-in responds", func() error {
		_, err := c.Stats()
		return err
	})
}

// Stats queries the platform stand-in's counts of reads and watches.
func (c *Cluster) Stats() (platform.Stats, error) {
	var s platform.Stats
	err := c.get(c.platformURL()+"/admin/stats", &s)
	return s, err
}

// AwaitIdleStats waits until the platform stand-in had no read for a second, and returns
// its counts.
func (c *Cluster) AwaitIdleStats() (platform.Stats, error) {
	var idle platform.Stats
	err := Eventually("a second without reads", func() error {
		s, err := c.Stats()
		if err == nil && s.ReadsLastSecond > 0 {
			err = fmt.Errorf("%d reads in the last second", s.ReadsLastSecond)
		}
		idle = s
		return err
	})
	return idle, err
}

// SetMode sets the platform stand-in's mode, for example down or stale.
func (c *Cluster) SetMode(mode platform.Mode) error {
	return c.put("/admin/mode/"+string(mode), nil)
}

// ResetPeaks resets the peak values in the platform stand-in's counts.
func (c *Cluster) ResetPeaks() error {
	return c.send(http.MethodPost, "/admin/stats/reset", nil)
}

// MarkLeaving sets or clears a VM's leaving mark and publishes the list of VMs.
func (c *Cluster) MarkLeaving(vm *VM, leaving bool) error {
	vm.Leaving = leaving
	return c.publishVMs()
}

func (c *Cluster) publishVMs() error {
	list := &vmlist.List{}
	for _, vm := range c.VMs {
		list.VMs = append(list.VMs, vm.VM)
	}
	data, err := list.Encode()
	if err != nil {
		return err
	}
	return c.put("/admin/kv/"+release.VMListKey, data)
}

func (c *Cluster) put(path string, body []byte) error {
	return c.send(http.MethodPut, path, body)
}

func (c *Cluster) send(method, path string, body []byte) error {
	req, err := http.NewRequest(method, c.platformURL()+path, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return nil
}

func (c *Cluster) get(url string, into any) error {
	resp, err := c.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
