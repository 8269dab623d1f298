package main

import (
	"context"
	"os"
	"os/signal"

	"auburnladder.example/bench/calls"
	"github.com/alecthomas/kingpin/v2"
)

// addCalls adds the measurements of the request path.
func addCalls(app *kingpin.Application, commands map[string]func() error) {
	parent := app.Command("calls", "Measure the request path.")
	latency := calls.DefaultLatencyConfig()
	latency.Rates, latency.Hops = nil, nil // the flags bring the defaults
	c := parent.Command("latency", "Added latency, processor time and allocations against direct calls.")
	c.Flag("rate", "Calls a second; repeatable.").Default("1000", "5000", "10000").IntsVar(&latency.Rates)
	c.Flag("hops", "Depth of the calls; repeatable.").Default("1", "4", "8").IntsVar(&latency.Hops)
	c.Flag("rounds", "Rounds, each direct and then through the mesh.").Default("3").IntVar(&latency.Rounds)
	c.Flag("duration", "Length of one part of a round.").Default("4s").DurationVar(&latency.Duration)
	c.Flag("max-hops-per-second", "Combinations above this many hops a second aren't run.").Default("20000").IntVar(&latency.MaxHopsPerSecond)
	c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&latency.Seed)
	c.Flag("cpuprofile", "File for a processor profile.").StringVar(&latency.Profile)
	commands[c.FullCommand()] = func() error {
		return run(func(ctx context.Context) error { return calls.RunLatency(ctx, latency, os.Stdout) })
	}

	goodput := calls.DefaultGoodputConfig()
	goodput.Policies, goodput.Scenarios = nil, nil
	c = parent.Command("goodput", "Goodput and errors under overload and faults, for each policy.")
	c.Flag("policy", "Policy; repeatable.").Default("p2c", "random", "round-robin").StringsVar(&goodput.Policies)
	c.Flag("scenario", "Scenario; repeatable.").Default(calls.ScenarioNames()...).StringsVar(&goodput.Scenarios)
	c.Flag("duration", "Length of one scenario.").Default("8s").DurationVar(&goodput.Duration)
	c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&goodput.Seed)
	commands[c.FullCommand()] = func() error {
		return run(func(ctx context.Context) error { return calls.RunGoodput(ctx, goodput, os.Stdout) })
	}
}

// run calls f until it ends or the process is interrupted.
func run(f func(context.Context) error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	return f(ctx)
}
