package calls

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// LatencyConfig says what RunLatency measures.
type LatencyConfig struct {
	// Rates are calls a second; Hops the number of servers that a call passes.
	Rates, Hops []int
	Rounds      int
	// Duration is the length of each half of a round.
	Duration time.Duration
	// MaxHopsPerSecond skips what the machine can't carry.
	MaxHopsPerSecond int
	Seed             uint64
	// Profile is a file for a processor profile of all runs, "" for none.
	Profile string
}

// DefaultLatencyConfig returns the combinations that the users ask for.
func DefaultLatencyConfig() LatencyConfig {
	return LatencyConfig{
		Rates: []int{1000, 5000, 10000}, Hops: []int{1, 4, 8}, Rounds: 3,
		Duration: 4 * time.Second, MaxHopsPerSecond: 20000, Seed: 1,
	}
}

// side is what was measured of one of the two ways.
type side struct {
	latency    *hdrhistogram.Histogram
	sent, good int64
	allocs     uint64
	cpu        time.Duration
	lag        *hdrhistogram.Histogram
}

// RunLatency writes a table of the latency added to direct calls. Direct calls and
// calls through the mesh take turns within one run of the process.
func RunLatency(ctx context.Context, cfg LatencyConfig, out io.Writer) error {
	c, err := newCluster(clusterConfig{servers: 6, slots: 200, deadline: callTimeout, policy: "p2c"})
	if err != nil {
		return err
	}
	if cfg.Profile != "" {
		f, err := os.Create(cfg.Profile)
		if err != nil {
			return errors.Join(err, c.close())
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return errors.Join(err, c.close())
		}
		defer pprof.StopCPUProfile()
	}
	fmt.Fprintln(out, "| calls/s | hops | direct p50/p99/p99.9 ms | mesh p50/p99/p99.9 ms | added p50/p99/p99.9 ms | added allocs/call | added CPU ms/1,000 calls | not 200 direct/mesh | generator lag p99 direct/mesh ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, hops := range cfg.Hops {
		for _, rate := range cfg.Rates {
			if rate*hops > cfg.MaxHopsPerSecond {
				fmt.Fprintf(out, "| %d | %d | not run: above %d hops/s | | | | | | |\n", rate, hops, cfg.MaxHopsPerSecond)
				continue
			}
			direct, through := c.compare(ctx, cfg, rate, hops)
			writeLatency(out, rate, hops, direct, through)
		}
	}
	return c.close()
}

// compare measures both ways in turn; the first round warms up and isn't counted.
func (c *cluster) compare(ctx context.Context, cfg LatencyConfig, rate, hops int) (direct, through *side) {
	direct, through = &side{}, &side{}
	c.measure(ctx, &side{}, load{rate: rate, duration: time.Second, seed: cfg.Seed, hops: hops, direct: true})
	c.measure(ctx, &side{}, load{rate: rate, duration: time.Second, seed: cfg.Seed, hops: hops})
	for round := range cfg.Rounds {
		l := load{rate: rate, duration: cfg.Duration, seed: cfg.Seed + uint64(round), hops: hops, direct: true}
		c.measure(ctx, direct, l)
		l.direct = false
		c.measure(ctx, through, l)
	}
	return direct, through
}

func (c *cluster) measure(ctx context.Context, s *side, l load) {
	l.pick = func(i int) *fasthttp.HostClient {
		v := c.vms[i%len(c.vms)]
		if l.direct {
			return v.direct
		}
		return v.client
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	r := l.run(ctx)
	s.cpu += processorTime() - cpu
	runtime.ReadMemStats(&after)
	s.allocs += after.Mallocs - before.Mallocs
	s.sent += r.sent
	s.good += r.good
	if s.latency == nil {
		s.latency, s.lag = r.latency, r.lag
		return
	}
	s.latency.Merge(r.latency)
	s.lag.Merge(r.lag)
}

// processorTime returns what this process has used, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var quantiles = []float64{50, 99, 99.9}

func (s *side) milliseconds() [3]float64 {
	var ms [3]float64
	for i, q := range quantiles {
		ms[i] = float64(s.latency.ValueAtQuantile(q)) / 1000
	}
	return ms
}

func writeLatency(out io.Writer, rate, hops int, direct, through *side) {
	d, m := direct.milliseconds(), through.milliseconds()
	allocs := float64(through.allocs)/float64(through.sent) - float64(direct.allocs)/float64(direct.sent)
	cpu := 1000 * (perCall(through) - perCall(direct))
	fmt.Fprintf(out, "| %d | %d | %.2f/%.2f/%.2f | %.2f/%.2f/%.2f | %.2f/%.2f/%.2f | %.0f | %.1f | %d/%d | %.1f/%.1f |\n",
		rate, hops, d[0], d[1], d[2], m[0], m[1], m[2], m[0]-d[0], m[1]-d[1], m[2]-d[2], allocs, cpu,
		direct.sent-direct.good, through.sent-through.good,
		float64(direct.lag.ValueAtQuantile(99))/1000, float64(through.lag.ValueAtQuantile(99))/1000)
}

// perCall returns processor milliseconds of one call.
func perCall(s *side) float64 {
	return float64(s.cpu.Microseconds()) / 1000 / float64(s.sent)
}
