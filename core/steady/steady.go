// Package steady converts times to integers that follow the monotonic clock, so that a step
// of the wall clock does not shift a deadline that is stored as an integer. It also reads
// the time since boot.
package steady

import "time"

// processStart is the reference for Nanos: the wall time and the monotonic reading at the
// start of the process.
var processStart = time.Now()

// Nanos returns t in nanoseconds since the Unix epoch (1970), computed as the wall time of
// the process start plus the monotonic time since then. A time without a monotonic reading is
// converted by its wall time.
func Nanos(t time.Time) int64 {
	return processStart.UnixNano() + int64(t.Sub(processStart))
}
