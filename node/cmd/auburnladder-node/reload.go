package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"auburnladder.example/node"
	"auburnladder.example/node/settings"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// settingsInterval is the polling interval of the settings file, which may change without
// a signal.
const settingsInterval = time.Second

// watchSettings starts a goroutine that reads the settings file on SIGHUP and every
// settingsInterval, and passes changed settings to the node. Invalid settings are logged
// and ignored. stop ends the goroutine.
func watchSettings(file string, n *node.Node, log zerolog.Logger) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	r := &reloader{file: file, node: n, log: log}
	r.last, _ = r.read()
	var tasks conc.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				log.Info().Str("event", "reload").Msg("reading the settings file on SIGHUP")
			case <-ticker.C:
			}
			r.reload()
		}
	})
	return func() {
		signal.Stop(signals)
		cancel()
		tasks.Wait()
	}
}

// reloader passes a changed settings file to the node. It is not safe for concurrent use.
type reloader struct {
	file string
	node *node.Node
	log  zerolog.Logger
	// last is the content that was read last, valid or not.
	last []byte
	// unreadable is set while the file can't be read, so that this is logged once.
	unreadable bool
}

func (r *reloader) read() ([]byte, bool) {
	data, err := os.ReadFile(r.file)
	if err != nil && !r.unreadable {
		r.log.Warn().Err(err).Str("event", "settings-unreadable").Msg("settings file can't be read; previous settings stay in use")
	}
	r.unreadable = err != nil
	return data, err == nil
}

func (r *reloader) reload() {
	data, read := r.read()
	if !read || bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	next, err := settings.Parse(r.file, data)
	if err != nil {
		r.log.Warn().Err(err).Str("event", "settings-refused").Msg("changed settings are invalid; previous settings stay in use")
		return
	}
	r.node.Reload(next)
}
