package pollenlatch

import "golang.org/x/sys/unix"

// Now returns the time since the system was booted, with the time that it was
// suspended.
func (BootClock) Now() MonoTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return SystemClock{}.Now()
	}
	return MonoTime(t.Nano())
}
