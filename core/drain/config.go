package drain

import "time"

// MaxRefuseDelay is the maximum time between a drain signal and the point after which a
// leaving server gets no new work. The machine refuses new work in the step that receives
// the signal, so the whole delay is available for detecting and delivering the signal.
const MaxRefuseDelay = 3 * time.Second

// Config holds the wait times of a drain.
type Config struct {
	// AnnounceWait is the minimum time that a draining node keeps running, so that peers
	// are notified and calls already under way get an explicit refusal. A longer wait
	// delays a planned stop; a shorter one makes calls fail at a closed port. Default: 1 s.
	AnnounceWait time.Duration
	// StopWait is the maximum time to wait for the server's response to the stop request
	// and for the requests still in flight after the grace period. A longer wait delays the
	// exit if the server hangs; a shorter one may abort responses. Default: 10 s.
	StopWait time.Duration
}

// DefaultConfig returns the default wait times.
func DefaultConfig() Config {
	return Config{AnnounceWait: time.Second, StopWait: 10 * time.Second}
}
