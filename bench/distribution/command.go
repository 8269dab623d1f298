// Package distribution measures how releases spread between real node drivers in one
// process, over loopback connections with delay, loss and cuts.
package distribution

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	core "auburnladder.example/core/distribution"
	"github.com/alecthomas/kingpin/v2"
)

// Spec says what to measure.
type Spec struct {
	Nodes   int
	Domains int
	Preset  string
	// Services is the number of chunks of the release.
	Services int
	// Releases is the number of releases with one changed chunk.
	Releases int
	// Idle is how long the fleet is left alone to measure its idle traffic.
	Idle time.Duration
	// Loss is the share of writes that a link delays by a retransmission.
	Loss float64
	Seed uint64
	// Cut adds a release while one domain is cut off, and heals it.
	Cut bool
	// Watch measures the baseline in which every node watches the platform.
	Watch bool
}

// Register adds the command to the command line and its function to commands.
func Register(app *kingpin.Application, commands map[string]func() error) {
	var s Spec
	c := app.Command("distribution", "Convergence time, control bytes, CPU and memory of the spread of releases.")
	c.Flag("nodes", "Number of nodes.").Default("14").IntVar(&s.Nodes)
	c.Flag("domains", "Number of failure domains, three to a region.").Default("3").IntVar(&s.Domains)
	c.Flag("preset", "Preset: convergence or bytes.").Default("convergence").EnumVar(&s.Preset, "convergence", "bytes")
	c.Flag("services", "Chunks of the release; one changes each time.").Default("3").IntVar(&s.Services)
	c.Flag("releases", "Releases to average over.").Default("10").IntVar(&s.Releases)
	c.Flag("idle", "Length of the idle measurement.").Default("10s").DurationVar(&s.Idle)
	c.Flag("loss", "Share of writes delayed by a retransmission, 0 to 1.").Default("0").Float64Var(&s.Loss)
	c.Flag("seed", "Seed of the links.").Default("1").Uint64Var(&s.Seed)
	c.Flag("cut", "Also cut one domain off during a release and heal it.").BoolVar(&s.Cut)
	c.Flag("watch", "Measure the baseline in which every node watches the platform.").BoolVar(&s.Watch)
	profile := c.Flag("profile", "Write a CPU profile to this file.").String()
	header := c.Flag("header", "Print the head of the table first.").Bool()
	commands[c.FullCommand()] = func() error {
		if *header {
			printHeader()
		}
		if *profile != "" {
			stop, err := startProfile(*profile)
			if err != nil {
				return err
			}
			defer stop()
		}
		return run(s)
	}
}

func run(s Spec) error {
	measure := measureFleet
	if s.Watch {
		measure = measureWatchers
	}
	rows, err := measure(s)
	for _, r := range rows {
		r.print(s)
	}
	return err
}

func startProfile(path string) (stop func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		// The profile is a by-product: a failed close shows when it is read.
		_ = f.Close()
	}, nil
}

func (s Spec) machine() core.Config {
	cfg := core.Convergence()
	if s.Preset == "bytes" {
		cfg = core.Bytes()
	}
	cfg.FleetSize = s.Nodes
	return cfg
}

func printHeader() {
	fmt.Printf("machine: %d processors, load %s, %s\n\n", runtime.NumCPU(), load(), time.Now().UTC().Format(time.RFC3339))
	fmt.Println("| nodes | services | preset | loss | case | p50 ms | p99 ms | max ms | bytes/node/release | chunk+delta bytes | source calls/release | idle B/s/node | CPU %/node idle | KB/node | peak reads/s | watches |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

func load() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
