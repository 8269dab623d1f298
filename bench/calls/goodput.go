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

// GoodputConfig says what RunGoodput measures.
type GoodputConfig struct {
	Policies  []string
	Scenarios []string
	Duration  time.Duration
	Seed      uint64
}

// DefaultGoodputConfig returns all policies and scenarios.
func DefaultGoodputConfig() GoodputConfig {
	return GoodputConfig{
		Policies: []string{"p2c", "random", "round-robin"}, Scenarios: ScenarioNames(),
		Duration: 8 * time.Second, Seed: 1,
	}
}

// Servers of the goodput measurements. Capacity is servers x slots / work.
const (
	goodputServers  = 6
	goodputSlots    = 10
	goodputWork     = 40 * time.Millisecond
	goodputDeadline = 500 * time.Millisecond
	capacity        = int(goodputServers * goodputSlots * time.Second / goodputWork)
)

// scenario is one load with what happens to the servers while it runs.
type scenario struct {
	name string
	// load is the offered load as a share of capacity.
	load float64
	// disturb runs beside the load and ends with it.
	disturb func(c *cluster, d time.Duration)
}

var scenarios = []scenario{
	{name: "0.8x", load: 0.8},
	{name: "1x", load: 1},
	{name: "2x", load: 2},
	{name: "5x", load: 5},
	{name: "third-restarts", load: 0.5, disturb: restartThird},
	{name: "slow-and-lying", load: 0.5, disturb: slowAndLying},
	{name: "half-nodes-die", load: 0.4, disturb: halfNodesDie},
}

// ScenarioNames returns the names that GoodputConfig.Scenarios may hold.
func ScenarioNames() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	return names
}

// restartThird stops a third of the backend servers without notice and starts them
// again after a quarter of the run.
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

// slowAndLying makes one server ten times slower and another one answer each
// request at once with an error.
func slowAndLying(c *cluster, d time.Duration) {
	c.vms[0].backend.slowdown.Store(10)
	c.vms[1].backend.lying.Store(true)
	time.Sleep(d)
}

// halfNodesDie stops the nodes of half of the VMs and starts them again.
func halfNodesDie(c *cluster, d time.Duration) {
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

// RunGoodput writes a table of goodput and errors, one row for each scenario and
// policy. The calls enter at the nodes that stay alive in all scenarios.
func RunGoodput(ctx context.Context, cfg GoodputConfig, out io.Writer) error {
	fmt.Fprintf(out, "Capacity: %d calls/s (%d servers, %d slots, %s of work; deadline %s).\n\n",
		capacity, goodputServers, goodputSlots, goodputWork, goodputDeadline)
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
		servers: goodputServers, slots: goodputSlots, work: goodputWork, deadline: goodputDeadline,
		policy: policy, limit: true,
	})
	if err != nil {
		return err
	}
	staying := c.vms[len(c.vms)/2:]
	pick := func(i int) *fasthttp.HostClient { return staying[i%len(staying)].client }
	load{rate: int(0.3 * float64(capacity)), duration: 2 * time.Second, seed: cfg.Seed, hops: 1, pick: pick}.run(ctx)
	attempts, retries := counter("attempts"), counter("retries")
	var disturbance conc.WaitGroup
	if s.disturb != nil {
		disturbance.Go(func() { s.disturb(c, cfg.Duration) })
	}
	rate := int(s.load * float64(capacity))
	r := load{rate: rate, duration: cfg.Duration, seed: cfg.Seed, hops: 1, pick: pick}.run(ctx)
	disturbance.Wait()
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

// counter reads one of the counters of the request path.
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
