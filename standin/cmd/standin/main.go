// Command standin runs small stand-ins for the platform's configuration service
// and for a backend server. It serves tests and the demo and is not shipped.
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
	app := kingpin.New("standin", "Stand-ins for the platform's service and for a backend server.")
	listen := app.Flag("listen", "Address to listen on, ip:port; port 0 takes a free one.").Default("127.0.0.1:0").String()
	runPlatform := platformCommand(app)
	runBackend := backendCommand(app)

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		log.Fatal().Err(err).Str("listen", *listen).Msg("cannot listen")
	}
	if err := announce(listener); err != nil {
		log.Fatal().Err(err).Msg("cannot write the ready line")
	}
	run := runPlatform
	if command == "backend" {
		run = runBackend
	}
	if err := run(ctx, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Fatal().Err(err).Str("command", command).Msg("server ended")
	}
}

// runner serves on a listener until ctx ends.
type runner func(ctx context.Context, listener net.Listener) error

// readyLine is the one line on standard output.
type readyLine struct {
	Listening string `json:"listening"`
}

func announce(listener net.Listener) error {
	return json.NewEncoder(os.Stdout).Encode(readyLine{Listening: listener.Addr().String()})
}

func platformCommand(app *kingpin.Application) runner {
	config := platform.DefaultConfig()
	command := app.Command("platform", "Run the platform's configuration service.")
	command.Flag("read-limit", "Reads per second over all readers.").Default("2000").Uint64Var(&config.ReadLimit)
	command.Flag("slow-delay", "Delay of each answer in the mode slow.").Default(config.SlowDelay.String()).DurationVar(&config.SlowDelay)
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
	command := app.Command("backend", "Run a backend server.")
	command.Flag("service", "Service of the server.").Required().StringVar(&config.Service)
	command.Flag("vm", "VM of the server.").Required().StringVar(&config.VM)
	command.Flag("slots", "Requests worked on at once.").Default("10").IntVar(&config.Slots)
	command.Flag("connections", "Open connections allowed.").Default("110").IntVar(&config.Connections)
	command.Flag("work", "Time spent on a request.").Default(config.Work.String()).DurationVar(&config.Work)
	command.Flag("cold-start", "Time to reach full speed.").Default("0s").DurationVar(&config.ColdStart)
	command.Flag("cold-factor", "Factor on work at the start.").Default("3").Float64Var(&config.ColdFactor)
	command.Flag("faults", "Obey the header X-Fault.").BoolVar(&config.Faults)
	command.Flag("misleading-health", "Let /_health say the opposite.").BoolVar(&config.MisleadingHealth)
	command.Flag("stop-path", "Path where a POST begins the graceful shutdown.").Default(config.StopPath).StringVar(&config.StopPath)
	command.Flag("load-lag", "Age that the answer of /_load may reach.").Default(config.LoadLag.String()).DurationVar(&config.LoadLag)
	command.Flag("history", "File for a JSON line at the start and end of each request.").StringVar(&historyFile)
	return func(ctx context.Context, listener net.Listener) error {
		if historyFile == "" {
			return backend.New(config, nil).Serve(ctx, listener)
		}
		file, err := os.OpenFile(historyFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("history: %w", err)
		}
		defer file.Close()
		return backend.New(config, file).Serve(ctx, listener)
	}
}
