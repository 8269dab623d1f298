// Package decisions writes one log line for each decision about a request, such as an answered,
// retried or refused request. The lines per second are limited; lines beyond a limit are
// dropped, and a log line per second reports their number.
package decisions

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// infoPerSecond is the limit of lines per second that Info starts, infoBurst their burst.
	// The lines are a sample of the successful requests; the histograms count all requests.
	infoPerSecond = 20
	infoBurst     = 40
	// warnPerSecond is the limit of lines per second that Warn starts, warnBurst their burst:
	// enough for every failed request of a node during an outage of one service.
	warnPerSecond = 200
	warnBurst     = 400
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// droppedLines counts the lines that the rate limits dropped since the process started.
var droppedLines = expvar.NewInt("log_lines_dropped")

// Log writes a rate-limited line for each decision. Its methods are safe for concurrent use.
// Info and Warn of a nil Log write nothing.
type Log struct {
	log       zerolog.Logger
	infoLimit tokenBucket
	warnLimit tokenBucket
	// dropped counts the dropped lines that no report has included yet.
	dropped atomic.Int64
}

// New returns a log that writes to l. Both rate limits start with a full burst at now.
func New(l zerolog.Logger, now time.Time) *Log {
	return &Log{
		log:       l,
		infoLimit: newTokenBucket(infoPerSecond, infoBurst, now),
		warnLimit: newTokenBucket(warnPerSecond, warnBurst, now),
	}
}

// Info starts a line about a successful request, with event as its log field of that name.
// If the rate limit is exceeded, it returns nil, and zerolog writes no line for a nil event.
func (l *Log) Info(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	return l.start(&l.infoLimit, event, zerolog.InfoLevel)
}

// Warn starts a line about a refusal, a failure or a retry. It has a separate rate limit and,
// like Info, returns nil if that is exceeded.
func (l *Log) Warn(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	return l.start(&l.warnLimit, event, zerolog.WarnLevel)
}

func (l *Log) start(b *tokenBucket, event string, level zerolog.Level) *zerolog.Event {
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
			l.reportDropped()
		}
	}
}

func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.log.Warn().Str("event", "lines-dropped").Int64("lines", n).Dur("within", reportInterval).
			Msg("log lines about decisions were dropped by the rate limit")
	}
}

// tokenBucket is a token bucket without locks. Its state is one atomic number, spent: the time
// up to which tokens are spent, in nanoseconds, counted from depth before start. Each token
// takes one interval of that time.
type tokenBucket struct {
	interval time.Duration
	// depth is the burst as a time: the intervals that the bucket holds when it is full.
	depth time.Duration
	start time.Time
	spent *atomic.Int64
}

func newTokenBucket(perSecond, burst int, now time.Time) tokenBucket {
	interval := time.Second / time.Duration(perSecond)
	return tokenBucket{interval: interval, depth: interval * time.Duration(burst), start: now, spent: new(atomic.Int64)}
}

// allow spends a token and reports whether one was available.
func (b *tokenBucket) allow(now time.Time) bool {
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
