// Package decisions writes one log line for each decision about a request, with rate limits
// on the lines per second. Lines beyond a limit are dropped, counted and reported in the log.
package decisions

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// routinePerSecond is the limit of lines per second about successful requests, routineBurst
	// their burst. The lines are a sample; the histograms count all requests.
	routinePerSecond = 20
	routineBurst     = 40
	// notablePerSecond is the limit of lines per second about refusals, failures and retries,
	// notableBurst their burst: enough for every failed request of a node during an outage of
	// one service.
	notablePerSecond = 200
	notableBurst     = 400
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// droppedLines counts the lines dropped by the rate limits.
var droppedLines = expvar.NewInt("log_lines_dropped")

// Log writes a rate-limited line for each decision. Its methods are safe for concurrent use; a nil Log writes none.
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
		routine: newBucket(routinePerSecond, routineBurst, now),
		notable: newBucket(notablePerSecond, notableBurst, now),
	}
}

// Info starts a line about a successful request. If the rate limit is exceeded, it returns
// nil, and zerolog writes no line for a nil event.
func (l *Log) Info(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	return l.start(&l.routine, event, zerolog.InfoLevel)
}

// Warn starts a line about a refusal, a failure or a retry. Like Info, it returns nil if
// its rate limit is exceeded.
func (l *Log) Warn(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	return l.start(&l.notable, event, zerolog.WarnLevel)
}

func (l *Log) start(b *bucket, event string, level zerolog.Level) *zerolog.Event {
	if !b.allow(time.Now()) {
		l.dropped.Add(1)
		droppedLines.Add(1)
		return nil
	}
	return l.log.WithLevel(level).Str("event", event)
}

// Run logs the number of dropped lines once per reportInterval until ctx ends.
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
			Msg("log lines about decisions were dropped by the rate limit")
	}
}

// bucket is a token bucket whose state is one atomic number of nanoseconds since start: the
// time up to which its tokens are spent. Each token is worth one interval.
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

// allow takes a token and reports whether one was available.
func (b *bucket) allow(now time.Time) bool {
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
