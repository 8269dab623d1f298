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

// settingsInterval is the time between two looks at the settings file, which may change
// without a signal.
const settingsInterval = time.Second

// followSettings reads the settings file on SIGHUP, and now and then, and hands changed
// settings to the node. Settings that are not valid change nothing.
func followSettings(file string, n *node.Node, log zerolog.Logger) (stop func()) {
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
				log.Info().Str("event", "reload").Msg("settings file is read on SIGHUP")
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

// reloader belongs to one goroutine.
type reloader struct {
	file string
	node *node.Node
	log  zerolog.Logger
	last []byte
	// unreadable is set while the file can't be read, so that this is logged once.
	unreadable bool
}

func (r *reloader) read() ([]byte, bool) {
	data, err := os.ReadFile(r.file)
	if err != nil && !r.unreadable {
		r.log.Warn().Err(err).Str("event", "settings-unreadable").Msg("settings file can't be read; the settings stay")
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
		r.log.Warn().Err(err).Str("event", "settings-refused").Msg("changed settings are not valid; the settings stay")
		return
	}
	r.node.Reload(next)
}
