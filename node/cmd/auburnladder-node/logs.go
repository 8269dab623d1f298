package main

import (
	"bufio"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logLines is the capacity, in lines, of the buffer between loggers and the writer.
	// Lines that exceed it are dropped.
	logLines = 4096
	// logInterval is the time between two flushes. Lines of one interval share a system
	// call.
	logInterval = 50 * time.Millisecond
	// logBytes is the size of the write buffer. A full buffer is written before the
	// interval ends.
	logBytes = 64 << 10
)

// lostLines counts the lines that were dropped because the writer was too slow.
var lostLines = expvar.NewInt("log_lines_lost")

// newLogWriter returns a writer that never blocks on w: lines are queued in a bounded
// buffer, and lines that exceed it are dropped and counted. closeLogs flushes the queued
// lines.
func newLogWriter(w io.Writer) (logs io.Writer, closeLogs func()) {
	buffered := &flushWriter{buf: bufio.NewWriterSize(w, logBytes)}
	buffered.timer = time.AfterFunc(logInterval, buffered.flush)
	lines := diode.NewWriter(buffered, logLines, logInterval, func(missed int) { lostLines.Add(int64(missed)) })
	return lines, func() {
		// Close discards lines that the poller of the buffer has not read yet.
		time.Sleep(2 * logInterval)
		_ = lines.Close()
		buffered.flush()
	}
}

// flushWriter buffers lines and writes them logInterval after the first one, or earlier if
// the buffer is full. Its methods are safe for concurrent use.
type flushWriter struct {
	timer *time.Timer
	mu    sync.Mutex
	buf   *bufio.Writer
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.buf.Buffered() == 0 {
		f.timer.Reset(logInterval)
	}
	return f.buf.Write(p)
}

func (f *flushWriter) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The error is dropped: the log itself is the only place to report it.
	_ = f.buf.Flush()
}
