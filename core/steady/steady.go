// Package steady turns times into numbers that follow the steady clock, so that a step of
// the time of day moves no deadline that is kept as a number.
package steady

import "time"

// start anchors the numbers at the wall time of the process's start.
var start = time.Now()

// Nanos returns the nanoseconds since 1970 as the steady clock counted them since the
// start of the process. A time without a reading of the steady clock counts by its wall
// time.
func Nanos(t time.Time) int64 {
	return start.UnixNano() + int64(t.Sub(start))
}
