// Package decisions writes one log line for each decision about a request, within a
// budget of lines a second. What exceeds the budget is counted and said.
package decisions

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// routineLines and routineBurst bound the lines a second about requests that went as
	// they should. They show the usual course; the histograms count all.
	routineLines = 20
	routineBurst = 40
	// notableLines and notableBurst bound the lines about refusals, failures and retries:
	// enough for every failed request of a node in an outage of one service.
	notableLines = 200
	notableBurst = 400
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// droppedLines counts the lines beyond the budgets.
var droppedLines = expvar.NewInt("log_lines_dropped")

// Log writes decisions. Its methods are safe for concurrent use; a nil Log writes none.
type Log struct {
	log     zerolog.Logger
	routine bucket
	notable bucket
	dropped atomic.Int64
}

// New returns a log that writes to l.
func New(l zerolog.Logger, now time.Time) *Log {
	return &Log{
		log:     l,
		routine: newBucket(routineLines, routineBurst, now),
		notable: newBucket(notableLines, notableBurst, now),
	}
}

// Routine begins a line about a request that went as it should. It returns nil, which
// zerolog takes for a line that isn't written, when the budget is spent.
func (l *Log) Routine(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	return l.begin(&l.routine, event, zerolog.InfoLevel)
}

// Notable begins a line about a refusal, a failure or a retry, or returns nil.
func (l *Log) Notable(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	return l.begin(&l.notable, event, zerolog.WarnLevel)
}

func (l *Log) begin(b *bucket, event string, level zerolog.Level) *zerolog.Event {
	if !b.take(time.Now()) {
		l.dropped.Add(1)
		droppedLines.Add(1)
		return nil
	}
	return l.log.WithLevel(level).Str("event", event)
}

// Run reports dropped lines until ctx ends.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.report()
		}
	}
}

func (l *Log) report() {
	if n := l.dropped.Swap(0); n > 0 {
		l.log.Warn().Str("event", "lines-dropped").Int64("lines", n).Dur("within", reportInterval).
			Msg("decisions were made that have no line")
	}
}

// bucket is a token bucket with a nanosecond clock in one word: the time up to which
// its tokens are spent.
type bucket struct {
	interval time.Duration
	depth    time.Duration
	start    time.Time
	spent    *atomic.Int64
}

func newBucket(perSecond, burst int, now time.Time) bucket {
	interval := time.Second / time.Duration(perSecond)
	return bucket{interval: interval, depth: interval * time.Duration(burst), start: now, spent: new(atomic.Int64)}
}

// take reports whether a token was left.
func (b *bucket) take(now time.Time) bool {
	at := int64(now.Sub(b.start) + b.depth)
	for {
		spent := b.spent.Load()
		next := max(spent, at-int64(b.depth)) + int64(b.interval)
		if next > at {
			return false
		}
		if b.spent.CompareAndSwap(spent, next) {
			return true
		}
	}
}
