// Package fleet queries nodes over HTTP on their admin ports.
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
	// maxResponseBytes limits the body of a response. The largest one is the status
	// with the VM list of a large fleet.
	maxResponseBytes = 16 << 20
	// maxErrorBodyBytes limits how much of an error response's body is included in an
	// error text.
	maxErrorBodyBytes = 200
)

// Config limits the requests to nodes.
type Config struct {
	// Timeout limits one request, connecting included. Default 2 s: a higher value
	// reaches slow nodes, a lower one finishes sooner if many are unreachable.
	Timeout time.Duration
	// Parallel is the maximum number of nodes that Each queries at once. Default 64: a
	// higher value finishes sooner, a lower one uses less of the operator's machine.
	Parallel int
}

// DefaultConfig returns a Config with the default of each field.
func DefaultConfig() Config {
	return Config{Timeout: 2 * time.Second, Parallel: 64}
}

// Client queries nodes. It is safe for concurrent use.
type Client struct {
	config Config
	http   *fasthttp.Client
	// Progress, if set, is called by Each after each VM, from several goroutines at
	// once. It must be set before the first call of Each.
	Progress func(done, total int)
}

// NewClient returns a client with the limits of config.
func NewClient(config Config) *Client {
	return &Client{
		config: config,
		http: &fasthttp.Client{
			Name:                "auburnladder",
			MaxResponseBodySize: maxResponseBytes,
			ReadTimeout:         config.Timeout,
			WriteTimeout:        config.Timeout,
		},
	}
}

// Get sends a GET request to the node at addr and decodes the JSON body of the response
// into the value that into points to. A status other than 200 is an error with the
// start of the body.
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
		return fmt.Errorf("ask %s: status %d: %s", addr, resp.StatusCode(), body[:min(len(body), maxErrorBodyBytes)])
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("ask %s: decode response: %w", addr, err)
	}
	return nil
}

// Status returns the status of one node, with its VM list and its peers. A node with
// another API version is an error.
func (c *Client) Status(addr netip.AddrPort) (*statusapi.Status, error) {
	return c.status(addr, statusapi.StatusPath)
}

// BriefStatus is Status without the VM list and the peers, whose size grows with the
// fleet.
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

// Each calls query for every VM, at most Config.Parallel at once, and returns the
// results in the order of vms.
func Each[T any](c *Client, vms []vmlist.VM, query func(vm vmlist.VM) T) []T {
	var done atomic.Int64
	mapper := iter.Mapper[vmlist.VM, T]{MaxGoroutines: c.config.Parallel}
	return mapper.Map(vms, func(vm *vmlist.VM) T {
		result := query(*vm)
		if n := done.Add(1); c.Progress != nil {
			c.Progress(int(n), len(vms))
		}
		return result
	})
}

// ReadVMs reads a VM list from a file in the format that the platform publishes.
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
