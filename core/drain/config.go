package drain

import "time"

// MaxRefuseDelay is the promise towards a leaving server: it gets no new work later
// than this after any signal. The machine refuses in the step that sees the signal;
// the delay is left to whoever carries the signal.
const MaxRefuseDelay = 3 * time.Second

// Config holds the waiting times of a drain.
type Config struct {
	// AnnounceWait is how long a node that drains stays up at least, so that peers
	// learn of it and late calls get an explicit refusal. A long wait delays a planned
	// stop, a short one costs calls that meet a closed port.
	AnnounceWait time.Duration
	// StopWait bounds the server's answer to the stop request and the end of the
	// requests that outlived the grace. A long wait delays the exit behind a hung
	// server, a short one may cut answers.
	StopWait time.Duration
}

// DefaultConfig returns the waiting times of the node.
func DefaultConfig() Config {
	return Config{AnnounceWait: time.Second, StopWait: 10 * time.Second}
}
