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

// LatencyConfig is the configuration of RunLatency.
type LatencyConfig struct {
	// Rates are in calls per second. Hops are the numbers of servers that a call passes
	// through. Each combination is measured.
	Rates, Hops []int
	// Rounds is the number of rounds per combination. Each measures direct calls and then
	// calls through the mesh.
	Rounds int
	// Duration is the length of each half of a round.
	Duration time.Duration
	// MaxHopsPerSecond is the highest rate x hops that is run. Combinations above it are
	// skipped, because the test machine cannot sustain them.
	MaxHopsPerSecond int
	// Seed seeds the arrival times.
	Seed uint64
	// Profile is the path for a CPU profile of all runs. If it is empty, none is written.
	Profile string
}

// DefaultLatencyConfig returns the combinations of rates and hops that users requested.
func DefaultLatencyConfig() LatencyConfig {
	return LatencyConfig{
		Rates: []int{1000, 5000, 10000}, Hops: []int{1, 4, 8}, Rounds: 3,
		Duration: 4 * time.Second, MaxHopsPerSecond: 20000, Seed: 1,
	}
}

// pathStats holds the measurements of one path: direct calls or calls through the mesh.
type pathStats struct {
	latency    *hdrhistogram.Histogram
	sent, good int64
	allocs     uint64
	cpu        time.Duration
	lag        *hdrhistogram.Histogram
}

// RunLatency writes a Markdown table of the latency, CPU time and allocations that the mesh
// adds to direct calls. Direct calls and calls through the mesh alternate within one run of
// the process, so that both meet the same conditions.
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
			direct, viaMesh := c.measureBothPaths(ctx, cfg, rate, hops)
			writeLatency(out, rate, hops, direct, viaMesh)
		}
	}
	return c.close()
}

// measureBothPaths measures both paths alternately. One second of each runs first as a
// warm-up and is not counted.
func (c *cluster) measureBothPaths(ctx context.Context, cfg LatencyConfig, rate, hops int) (direct, viaMesh *pathStats) {
	direct, viaMesh = &pathStats{}, &pathStats{}
	c.measure(ctx, &pathStats{}, load{rate: rate, duration: time.Second, seed: cfg.Seed, hops: hops, direct: true})
	c.measure(ctx, &pathStats{}, load{rate: rate, duration: time.Second, seed: cfg.Seed, hops: hops})
	for round := range cfg.Rounds {
		l := load{rate: rate, duration: cfg.Duration, seed: cfg.Seed + uint64(round), hops: hops, direct: true}
		c.measure(ctx, direct, l)
		l.direct = false
		c.measure(ctx, viaMesh, l)
	}
	return direct, viaMesh
}

func (c *cluster) measure(ctx context.Context, s *pathStats, l load) {
	l.pick = func(i int) *fasthttp.HostClient {
		v := c.vms[i%len(c.vms)]
		if l.direct {
			return v.directClient
		}
		return v.client
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	r := l.run(ctx)
	s.cpu += cpuTime() - cpu
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

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var quantiles = []float64{50, 99, 99.9}

func (s *pathStats) latencyMillis() [3]float64 {
	var ms [3]float64
	for i, q := range quantiles {
		ms[i] = float64(s.latency.ValueAtQuantile(q)) / 1000
	}
	return ms
}

func writeLatency(out io.Writer, rate, hops int, direct, viaMesh *pathStats) {
	d, m := direct.latencyMillis(), viaMesh.latencyMillis()
	allocs := float64(viaMesh.allocs)/float64(viaMesh.sent) - float64(direct.allocs)/float64(direct.sent)
	cpu := 1000 * (cpuMillisPerCall(viaMesh) - cpuMillisPerCall(direct))
	fmt.Fprintf(out, "| %d | %d | %.2f/%.2f/%.2f | %.2f/%.2f/%.2f | %.2f/%.2f/%.2f | %.0f | %.1f | %d/%d | %.1f/%.1f |\n",
		rate, hops, d[0], d[1], d[2], m[0], m[1], m[2], m[0]-d[0], m[1]-d[1], m[2]-d[2], allocs, cpu,
		direct.sent-direct.good, viaMesh.sent-viaMesh.good,
		float64(direct.lag.ValueAtQuantile(99))/1000, float64(viaMesh.lag.ValueAtQuantile(99))/1000)
}

// cpuMillisPerCall returns the average CPU time per call, in milliseconds.
func cpuMillisPerCall(s *pathStats) float64 {
	return float64(s.cpu.Microseconds()) / 1000 / float64(s.sent)
}
