package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine was started, as a time after the start of 1970.
// Unlike the clock of package time it also counts while the machine is suspended, and it
// never jumps.
func Boot() time.Time {
	var at unix.Timespec
	// The call fails only for clocks that the kernel does not know.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Now()
	}
	return time.Unix(at.Unix())
}
