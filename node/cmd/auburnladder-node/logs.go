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
	// logLines is the number of lines that wait for the writer; more are dropped.
	logLines = 4096
	// logInterval is the time between two writes. Lines of one interval share a system
	// call.
	logInterval = 50 * time.Millisecond
	// logBytes is the size from which a write doesn't wait for the interval.
	logBytes = 64 << 10
)

// lostLines counts the lines that the writer was too slow for.
var lostLines = expvar.NewInt("log_lines_lost")

// newLogWriter returns a writer that never blocks on w: lines wait in a bounded buffer,
// and what exceeds it is dropped and counted. close writes what is left.
func newLogWriter(w io.Writer) (logs io.Writer, closeLogs func()) {
	buffered := &flushWriter{buf: bufio.NewWriterSize(w, logBytes)}
	buffered.timer = time.AfterFunc(logInterval, buffered.flush)
	lines := diode.NewWriter(buffered, logLines, logInterval, func(missed int) { lostLines.Add(int64(missed)) })
	return lines, func() {
		// The buffer drops what its poller has not taken by the time it is closed.
		time.Sleep(2 * logInterval)
		_ = lines.Close()
		buffered.flush()
	}
}

// flushWriter collects lines and writes them soon after the first one. Its methods are
// safe for concurrent use.
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
	// A log that can't be written has nowhere else to be reported.
	_ = f.buf.Flush()
}
