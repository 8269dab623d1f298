// Package fleet asks nodes over HTTP on their admin ports.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/iter"
	"github.com/valyala/fasthttp"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
)

const (
	// maxAnswerBytes bounds an answer; the VM list of a large fleet is the most.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes bounds how much of an error answer appears in a message.
	maxErrorBytes = 200
)

// Config bounds how nodes are asked.
type Config struct {
	// Timeout bounds one question, connecting included. Default 2 s: longer reaches
	// slow nodes, shorter ends sooner when many are unreachable.
	Timeout time.Duration
	// Parallel is the number of nodes asked at once. Default 64: more ends sooner,
	// less burdens the operator's machine less.
	Parallel int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Timeout: 2 * time.Second, Parallel: 64}
}

// Client asks nodes. It is safe for concurrent use.
type Client struct {
	config Config
	http   *fasthttp.Client
	// Progress, if set, is called after each VM that Each is done with, from several
	// goroutines.
	Progress func(done, total int)
}

// NewClient returns a client with the given bounds.
func NewClient(config Config) *Client {
	return &Client{
		config: config,
		http: &fasthttp.Client{
			Name:                "auburnladder",
			MaxResponseBodySize: maxAnswerBytes,
			ReadTimeout:         config.Timeout,
			WriteTimeout:        config.Timeout,
		},
	}
}

// Get asks the node at addr and decodes its JSON answer.
func (c *Client) Get(addr netip.AddrPort, pathAndQuery string, into any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + pathAndQuery)
	if err := c.http.DoTimeout(req, resp, c.config.Timeout); err != nil {
		return fmt.Errorf("ask %s: %w", addr, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		body := resp.Body()
		return fmt.Errorf("ask %s: status %d: %s", addr, resp.StatusCode(), body[:min(len(body), maxErrorBytes)])
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("ask %s: %w", addr, err)
	}
	return nil
}

// Status asks one node for its status, the list of VMs included.
func (c *Client) Status(addr netip.AddrPort) (*statusapi.Status, error) {
	return c.status(addr, statusapi.StatusPath)
}

// BriefStatus asks one node for its status without what grows with the fleet.
func (c *Client) BriefStatus(addr netip.AddrPort) (*statusapi.Status, error) {
	return c.status(addr, statusapi.BriefStatusPath)
}

func (c *Client) status(addr netip.AddrPort, path string) (*statusapi.Status, error) {
	var s statusapi.Status
	if err := c.Get(addr, path, &s); err != nil {
		return nil, err
	}
	if s.APIVersion != statusapi.APIVersion {
		return nil, fmt.Errorf("ask %s: API version %q, expected %q", addr, s.APIVersion, statusapi.APIVersion)
	}
	return &s, nil
}

// Each calls ask for every VM, several at once, and returns the results in order.
func Each[T any](c *Client, vms []vmlist.VM, ask func(vm vmlist.VM) T) []T {
	var done atomic.Int64
	mapper := iter.Mapper[vmlist.VM, T]{MaxGoroutines: c.config.Parallel}
	return mapper.Map(vms, func(vm *vmlist.VM) T {
		result := ask(*vm)
		if n := done.Add(1); c.Progress != nil {
			c.Progress(int(n), len(vms))
		}
		return result
	})
}

// ReadVMs reads a VM list from a file in the form that the platform publishes.
func ReadVMs(path string) ([]vmlist.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	list, err := vmlist.Parse(data, 0)
	if err != nil {
		return nil, err
	}
	return list.VMs, nil
}
