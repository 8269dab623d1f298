package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM was booted. Unlike the steady clock it goes on while
// the VM is suspended, and unlike the time of day it never steps.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it no pause is noticed.
		return 0
	}
	return time.Duration(ts.Nano())
}
