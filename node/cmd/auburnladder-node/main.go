// Command auburnladder-node runs beside one backend server. It applies the approved
// configuration and proxies calls to and from that server.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"auburnladder.example/core/drain"
	"auburnladder.example/node"
	"auburnladder.example/node/settings"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Exit codes of both binaries.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("auburnladder-node", "Holds the approved configuration and carries calls for one backend server.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	app.Terminate(nil)
	help := false
	app.HelpFlag.Short('h').PreAction(func(*kingpin.ParseContext) error { help = true; return nil })
	file := app.Flag("settings", "Settings file (YAML).").PlaceHolder("FILE").String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	defaults := app.Flag("print-defaults", "Print a commented settings file and exit.").Bool()
	format := app.Flag("log-format", "Log format: json or console; overrides the settings.").Enum("json", "console")
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(stderr, "auburnladder-node: %v\n", err)
		return exitUsage
	}
	switch {
	case help:
		return exitOK
	case *defaults:
		fmt.Fprint(stdout, settings.Template())
		return exitOK
	case *file == "":
		fmt.Fprintln(stderr, "auburnladder-node: --settings FILE is missing")
		return exitUsage
	}
	cfg, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", *file)
		return exitOK
	}
	if *format != "" {
		cfg.Log.Format = settings.LogFormat(*format)
	}
	logs, closeLogs := newLogWriter(stdout)
	defer closeLogs()
	return serve(*file, cfg, logs)
}

func serve(file string, cfg *settings.Settings, logs io.Writer) int {
	log := newLogger(cfg, logs)
	limitMemory(cfg)
	n, err := node.New(cfg, newStoreAdapter(cfg), log)
	if err != nil {
		log.Error().Err(err).Str("event", "start-failed").Msg("node could not be started")
		return exitUsage
	}
	stop := handleSignals(n)
	defer stop()
	stopReload := watchSettings(file, n, log)
	defer stopReload()
	if err := n.Run(context.Background()); err != nil {
		log.Error().Err(err).Str("event", "stopped").Msg("node stopped on an error")
		return exitFailed
	}
	log.Info().Str("event", "stopped").Msg("node stopped")
	return exitOK
}

// limitMemory makes the runtime keep to the soft memory limit of the settings, if they have one.
func limitMemory(cfg *settings.Settings) {
	if soft := cfg.VM.SoftMemoryBytes(); soft > 0 {
		debug.SetMemoryLimit(soft)
	}
}

// handleSignals starts a goroutine that drains the node on SIGTERM, which also stops the backend server, and on
// SIGINT, which restarts only the node and leaves the server running. stop ends the
// goroutine.
func handleSignals(n *node.Node) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case sig := <-signals:
				n.Drain(ctx, drainReason(sig))
			}
		}
	})
	return func() {
		signal.Stop(signals)
		cancel()
		tasks.Wait()
	}
}

func drainReason(sig os.Signal) drain.Reason {
	if sig == syscall.SIGINT {
		return drain.ReasonRestart
	}
	return drain.ReasonTerminate
}

func newLogger(cfg *settings.Settings, w io.Writer) zerolog.Logger {
	if cfg.Log.Format == settings.LogConsole {
		w = zerolog.ConsoleWriter{Out: w}
	}
	// settings.Load has validated the level.
	level, _ := zerolog.ParseLevel(cfg.Log.Level)
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", cfg.VM.ID).Logger()
}
