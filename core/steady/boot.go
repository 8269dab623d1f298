package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM was booted. Unlike the monotonic clock it keeps
// counting while the VM is suspended, and unlike the wall clock it never steps. It returns 0
// if the clock can't be read.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it no pause is detected.
		return 0
	}
	return time.Duration(ts.Nano())
}
