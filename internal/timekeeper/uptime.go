package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Uptime returns the time since the host started. Unlike the readings of time.Now it also
// counts the time for which the host was suspended. Readings of two hosts cannot be compared.
func Uptime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
