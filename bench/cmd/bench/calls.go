package main

import (
	"context"
	"os"
	"os/signal"

	"auburnladder.example/bench/calls"
	"github.com/alecthomas/kingpin/v2"
)

// addCalls registers the commands that measure the request path.
func addCalls(app *kingpin.Application, commands map[string]func() error) {
	parent := app.Command("calls", "Measure the request path.")
	latency := calls.DefaultLatencyConfig()
	latency.Rates, latency.Hops = nil, nil // the flags set the defaults
	c := parent.Command("latency", "Latency, CPU time and allocations that the mesh adds to direct calls.")
	c.Flag("rate", "Calls per second; repeatable.").Default("1000", "5000", "10000").IntsVar(&latency.Rates)
	c.Flag("hops", "Number of servers that a call passes through; repeatable.").Default("1", "4", "8").IntsVar(&latency.Hops)
	c.Flag("rounds", "Number of rounds, each with direct calls and then calls through the mesh.").Default("3").IntVar(&latency.Rounds)
	c.Flag("duration", "Length of each half of a round.").Default("4s").DurationVar(&latency.Duration)
	c.Flag("max-hops-per-second", "Skip combinations above this many hops per second.").Default("20000").IntVar(&latency.MaxHopsPerSecond)
	c.Flag("seed", "Seed of the arrival times.").Default("1").Uint64Var(&latency.Seed)
	c.Flag("cpuprofile", "Write a CPU profile to this file.").StringVar(&latency.Profile)
	commands[c.FullCommand()] = func() error {
		return run(func(ctx context.Context) error { return calls.RunLatency(ctx, latency, os.Stdout) })
	}

	goodput := calls.DefaultGoodputConfig()
	goodput.Policies, goodput.Scenarios = nil, nil
	c = parent.Command("goodput", "Goodput and errors under overload and faults, for each policy.")
	c.Flag("policy", "Load-balancing policy; repeatable.").Default("p2c", "random", "round-robin").StringsVar(&goodput.Policies)
	c.Flag("scenario", "Scenario; repeatable.").Default(calls.ScenarioNames()...).StringsVar(&goodput.Scenarios)
	c.Flag("duration", "Length of one scenario.").Default("8s").DurationVar(&goodput.Duration)
	c.Flag("seed", "Seed of the arrival times.").Default("1").Uint64Var(&goodput.Seed)
	commands[c.FullCommand()] = func() error {
		return run(func(ctx context.Context) error { return calls.RunGoodput(ctx, goodput, os.Stdout) })
	}
}

// run calls f with a context that is cancelled when the process is interrupted.
func run(f func(context.Context) error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	return f(ctx)
}
