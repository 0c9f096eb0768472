package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Monotonic returns the time since the process started. It stands still while the host is
// suspended.
func Monotonic() time.Duration { return time.Since(processStart) }

// Uptime returns the time since the host started. Unlike the readings of time.Now it also
// counts the time for which the host was suspended. Readings of two hosts cannot be compared.
func Uptime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return Monotonic()
	}
	return time.Duration(ts.Nano())
}
