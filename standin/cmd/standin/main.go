// Command standin runs a stand-in for the platform's configuration service or for a
// backend server. Tests and the demo use it. It is not shipped.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"auburnladder.example/standin/backend"
	"auburnladder.example/standin/platform"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	app := kingpin.New("standin", "Stand-ins for the platform's configuration service and for a backend server.")
	listen := app.Flag("listen", "Listen address, ip:port; port 0 selects a free port.").Default("127.0.0.1:0").String()
	runPlatform := platformCommand(app)
	runBackend := backendCommand(app)

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		log.Fatal().Err(err).Str("listen", *listen).Msg("cannot listen")
	}
	if err := writeReadyLine(listener); err != nil {
		log.Fatal().Err(err).Msg("cannot write the listen address to standard output")
	}
	run := runPlatform
	if command == "backend" {
		run = runBackend
	}
	if err := run(ctx, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Fatal().Err(err).Str("command", command).Msg("server failed")
	}
}

// runner serves on a listener until ctx ends or the server stops.
type runner func(ctx context.Context, listener net.Listener) error

// readyLine is the only line on standard output. It is written once the listener is open.
type readyLine struct {
	Listening string `json:"listening"`
}

func writeReadyLine(listener net.Listener) error {
	return json.NewEncoder(os.Stdout).Encode(readyLine{Listening: listener.Addr().String()})
}

func platformCommand(app *kingpin.Application) runner {
	config := platform.DefaultConfig()
	command := app.Command("platform", "Run a stand-in for the platform's configuration service.")
	command.Flag("read-limit", "Maximum number of reads per second over all readers.").Default("2000").Uint64Var(&config.ReadLimit)
	command.Flag("slow-delay", "Delay of each response in mode slow.").Default(config.SlowDelay.String()).DurationVar(&config.SlowDelay)
	return func(ctx context.Context, listener net.Listener) error {
		server := &http.Server{Handler: platform.New(config).Handler()}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return server.Serve(listener)
	}
}

func backendCommand(app *kingpin.Application) runner {
	config := backend.DefaultConfig()
	var historyFile string
	command := app.Command("backend", "Run a stand-in for a backend server.")
	command.Flag("service", "Name of the server's service.").Required().StringVar(&config.Service)
	command.Flag("vm", "ID of the server's VM.").Required().StringVar(&config.VM)
	command.Flag("slots", "Maximum number of concurrent requests.").Default("10").IntVar(&config.Slots)
	command.Flag("connections", "Maximum number of open connections.").Default("110").IntVar(&config.Connections)
	command.Flag("work", "Processing time of a request.").Default(config.Work.String()).DurationVar(&config.Work)
	command.Flag("cold-start", "Duration of the slow start.").Default("0s").DurationVar(&config.ColdStart)
	command.Flag("cold-factor", "Factor on the processing time at the start of the slow start.").Default("3").Float64Var(&config.ColdFactor)
	command.Flag("faults", "Inject the faults that the header X-Fault selects.").BoolVar(&config.Faults)
	command.Flag("misleading-health", "Make /_health report the opposite of the server's health.").BoolVar(&config.MisleadingHealth)
	command.Flag("stop-path", "Path where a POST starts the graceful shutdown.").Default(config.StopPath).StringVar(&config.StopPath)
	command.Flag("load-lag", "Minimum interval between updates of the load that /_load reports.").Default(config.LoadLag.String()).DurationVar(&config.LoadLag)
	command.Flag("history", "File to which a JSON line is appended at the start and at the end of each request.").StringVar(&historyFile)
	return func(ctx context.Context, listener net.Listener) error {
		if historyFile == "" {
			return backend.New(config, nil).Serve(ctx, listener)
		}
		file, err := os.OpenFile(historyFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("cannot open history file: %w", err)
		}
		defer file.Close()
		return backend.New(config, file).Serve(ctx, listener)
	}
}
