package calls

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// GoodputConfig is the configuration of RunGoodput.
type GoodputConfig struct {
	// Policies are load-balancing policies, by their names in the node's settings.
	Policies []string
	// Scenarios holds names from ScenarioNames; others are ignored.
	Scenarios []string
	// Duration is the length of one scenario.
	Duration time.Duration
	// Seed seeds the arrival times.
	Seed uint64
}

// DefaultGoodputConfig returns a configuration with all policies and scenarios.
func DefaultGoodputConfig() GoodputConfig {
	return GoodputConfig{
		Policies: []string{"p2c", "random", "round-robin"}, Scenarios: ScenarioNames(),
		Duration: 8 * time.Second, Seed: 1,
	}
}

// Servers of the goodput measurements. capacity, in calls per second, is servers x slots /
// service time.
const (
	goodputServers     = 6
	goodputSlots       = 10
	goodputServiceTime = 40 * time.Millisecond
	goodputDeadline    = 500 * time.Millisecond
	capacity           = int(goodputServers * goodputSlots * time.Second / goodputServiceTime)
)

// scenario is an offered load together with the faults that occur while it runs.
type scenario struct {
	name string
	// offeredLoad is a share of capacity.
	offeredLoad float64
	// injectFaults runs concurrently with the load, whose duration is d. It returns before
	// the load ends or at about the same time. It is nil in scenarios without faults.
	injectFaults func(c *cluster, d time.Duration)
}

var scenarios = []scenario{
	{name: "0.8x", offeredLoad: 0.8},
	{name: "1x", offeredLoad: 1},
	{name: "2x", offeredLoad: 2},
	{name: "5x", offeredLoad: 5},
	{name: "third-restarts", offeredLoad: 0.5, injectFaults: restartThird},
	{name: "slow-and-lying", offeredLoad: 0.5, injectFaults: slowAndFailing},
	{name: "half-nodes-die", offeredLoad: 0.4, injectFaults: restartHalfNodes},
}

// ScenarioNames returns the valid names for GoodputConfig.Scenarios.
func ScenarioNames() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	return names
}

// restartThird stops a third of the backend servers, without draining their nodes, after a
// quarter of the run, and starts them again after another quarter.
func restartThird(c *cluster, d time.Duration) {
	third := c.vms[:len(c.vms)/3]
	time.Sleep(d / 4)
	for _, v := range third {
		v.backend.stop()
	}
	time.Sleep(d / 4)
	for _, v := range third {
		_ = v.backend.start()
	}
}

// slowAndFailing makes one server ten times slower and makes another one respond to each
// request immediately with status 500.
func slowAndFailing(c *cluster, d time.Duration) {
	c.vms[0].backend.slowdown.Store(10)
	c.vms[1].backend.failing.Store(true)
	time.Sleep(d)
}

// restartHalfNodes stops the nodes of half of the VMs after a quarter of the run, and
// starts them again after another quarter.
func restartHalfNodes(c *cluster, d time.Duration) {
	half := c.vms[:len(c.vms)/2]
	time.Sleep(d / 4)
	for _, v := range half {
		v.stopNode()
	}
	time.Sleep(d / 4)
	for _, v := range half {
		_ = c.startNode(v)
	}
}

// RunGoodput writes a Markdown table of goodput and errors, one row for each scenario and
// policy. Calls are sent only to nodes that keep running in all scenarios.
func RunGoodput(ctx context.Context, cfg GoodputConfig, out io.Writer) error {
	fmt.Fprintf(out, "Capacity: %d calls/s (%d servers, %d slots, %s of work; deadline %s).\n\n",
		capacity, goodputServers, goodputSlots, goodputServiceTime, goodputDeadline)
	fmt.Fprintln(out, "| scenario | policy | offered/s | good/s | good/min(offered, capacity) | not good | p50/p99 ms of good | attempts per call | retries per call |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, s := range scenarios {
		for _, p := range cfg.Policies {
			if !slices.Contains(cfg.Scenarios, s.name) || ctx.Err() != nil {
				continue
			}
			if err := runScenario(ctx, cfg, s, p, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func runScenario(ctx context.Context, cfg GoodputConfig, s scenario, policy string, out io.Writer) error {
	c, err := newCluster(clusterConfig{
		servers: goodputServers, slots: goodputSlots, serviceTime: goodputServiceTime, deadline: goodputDeadline,
		policy: policy, shedAboveSlots: true,
	})
	if err != nil {
		return err
	}
	entryVMs := c.vms[len(c.vms)/2:]
	pick := func(i int) *fasthttp.HostClient { return entryVMs[i%len(entryVMs)].client }
	load{rate: int(0.3 * float64(capacity)), duration: 2 * time.Second, seed: cfg.Seed, hops: 1, pick: pick}.run(ctx)
	attempts, retries := counter("attempts"), counter("retries")
	var faults conc.WaitGroup
	if s.injectFaults != nil {
		faults.Go(func() { s.injectFaults(c, cfg.Duration) })
	}
	rate := int(s.offeredLoad * float64(capacity))
	r := load{rate: rate, duration: cfg.Duration, seed: cfg.Seed, hops: 1, pick: pick}.run(ctx)
	faults.Wait()
	attempts, retries = counter("attempts")-attempts, counter("retries")-retries
	offered := float64(r.sent) / cfg.Duration.Seconds()
	good := float64(r.good) / cfg.Duration.Seconds()
	fmt.Fprintf(out, "| %s | %s | %.0f | %.0f | %.1f%% | %.2f%% | %.1f/%.1f | %.2f | %.3f |\n",
		s.name, policy, offered, good, 100*good/min(offered, float64(capacity)),
		100*float64(r.sent-r.good)/float64(r.sent),
		float64(r.latency.ValueAtQuantile(50))/1000, float64(r.latency.ValueAtQuantile(99))/1000,
		float64(attempts)/float64(r.sent), float64(retries)/float64(r.sent))
	return c.close()
}

// counter returns the value of a request-path counter of this process, summed over all
// nodes, or 0 if there is no such counter.
func counter(name string) int64 {
	calls, ok := expvar.Get("calls").(*expvar.Map)
	if !ok {
		return 0
	}
	value, ok := calls.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}
