package follow

import (
	"errors"
	"expvar"

	"auburnladder.example/core/source"
)

// limitStats holds for each limit of size its value, how often it was exceeded, and by which size last.
var limitStats = expvar.NewMap("source_limits")

// recordTooLarge logs and counts err if it reports data above a limit, and returns whether it does.
func (f *Follower) recordTooLarge(err error) bool {
	var tooLarge *source.TooLargeError
	if !errors.As(err, &tooLarge) {
		return false
	}
	limitStats.Add(tooLarge.Limit+"_exceeded", 1)
	setGauge(tooLarge.Limit+"_bytes", tooLarge.Bytes)
	setGauge(tooLarge.Limit+"_limit_bytes", tooLarge.Max)
	event := "too-large"
	if tooLarge.Kind == source.Release {
		event = "release-refused"
		f.refused.Store(true)
		f.signalSteer()
	}
	f.log.Warn().Str("event", event).Str("limit", tooLarge.Limit).Str("key", tooLarge.Key).
		Int("bytes", tooLarge.Bytes).Int("limit_bytes", tooLarge.Max).Msg("data of the store are above a limit; what the node holds stays")
	return true
}

// lacksReleaseLocked reports whether the node holds no release because that of the store is too large.
// Its peers may hold an earlier one. The caller holds mu.
func (f *Follower) lacksReleaseLocked() bool {
	_, found := f.replica.Release()
	return !found && f.refused.Load()
}

func setGauge(name string, value int) {
	gauge := new(expvar.Int)
	gauge.Set(int64(value))
	limitStats.Set(name, gauge)
}

// reportProblems logs items that the replica could not use.
func (f *Follower) reportProblems(problems []error) {
	for _, problem := range problems {
		if !f.recordTooLarge(problem) {
			f.log.Warn().Err(problem).Str("event", "entry-unreadable").Msg("entry of a server could not be decoded; ignoring it")
		}
	}
}
