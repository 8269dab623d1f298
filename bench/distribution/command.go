// Package distribution measures how releases propagate between real node drivers. All
// drivers run in one process, over loopback connections with simulated delay, loss and
// partitions. The package also measures the memory of a node's state and of its sessions.
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

// Spec is the configuration of one run of the distribution command.
type Spec struct {
	// Nodes and Domains are the numbers of nodes and of failure domains.
	Nodes   int
	Domains int
	// Preset is the preset of core/distribution, "convergence" or "bytes".
	Preset string
	// Services is the number of services and so of chunks in a release.
	Services int
	// Releases is the number of releases with one changed chunk to average over.
	Releases int
	// Idle is the length of the measurement of idle traffic, during which nothing is
	// published.
	Idle time.Duration
	// Loss is the share of writes, 0 to 1, that a link delays as for a retransmission.
	Loss float64
	// Seed seeds the choice of delayed writes.
	Seed uint64
	// Cut adds a measurement in which a release is published while one failure domain is
	// partitioned, and the partition is then healed.
	Cut bool
	// Watch measures, instead of the drivers, the baseline in which every node watches the
	// platform itself.
	Watch bool
}

// Register adds the command "distribution" to app and its function to commands, under the
// command's full name.
func Register(app *kingpin.Application, commands map[string]func() error) {
	var s Spec
	c := app.Command("distribution", "Convergence time, control bytes, CPU and memory of the distribution of releases.")
	c.Flag("nodes", "Number of nodes.").Default("14").IntVar(&s.Nodes)
	c.Flag("domains", "Number of failure domains, three to a region.").Default("3").IntVar(&s.Domains)
	c.Flag("preset", "Preset: convergence or bytes.").Default("convergence").EnumVar(&s.Preset, "convergence", "bytes")
	c.Flag("services", "Number of chunks in a release; one changes with each release.").Default("3").IntVar(&s.Services)
	c.Flag("releases", "Number of releases to average over.").Default("10").IntVar(&s.Releases)
	c.Flag("idle", "Length of the idle measurement.").Default("10s").DurationVar(&s.Idle)
	c.Flag("loss", "Share of writes delayed as for a retransmission, 0 to 1.").Default("0").Float64Var(&s.Loss)
	c.Flag("seed", "Seed of the links' random losses.").Default("1").Uint64Var(&s.Seed)
	c.Flag("cut", "Also publish a release while one failure domain is partitioned, then heal the partition.").BoolVar(&s.Cut)
	c.Flag("watch", "Measure the baseline in which every node watches the platform.").BoolVar(&s.Watch)
	profile := c.Flag("profile", "Write a CPU profile to this file.").String()
	header := c.Flag("header", "Print the header of the table first.").Bool()
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
		// The error is ignored because a profile that was not written completely fails to
		// parse when it is read.
		_ = f.Close()
	}, nil
}

func (s Spec) machineConfig() core.Config {
	cfg := core.Convergence()
	if s.Preset == "bytes" {
		cfg = core.Bytes()
	}
	cfg.FleetSize = s.Nodes
	return cfg
}

func printHeader() {
	fmt.Printf("machine: %d processors, load %s, %s\n\n", runtime.NumCPU(), loadAverage(), time.Now().UTC().Format(time.RFC3339))
	fmt.Println("| nodes | services | preset | loss | case | p50 ms | p99 ms | max ms | bytes/node/release | chunk+delta bytes | source calls/release | idle B/s/node | CPU %/node idle | KB/node | peak reads/s | watches |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
