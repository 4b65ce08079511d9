// Package clock reads a clock that keeps running while the machine is suspended. Leases must be measured with it: the
// usual monotonic clock stops meanwhile, so that a lease that other instances count as expired would seem valid.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspension, as a time without a monotonic reading. Such times
// are meaningful only when compared with each other.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have this clock. Without it only suspension goes unnoticed.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
