package pollenlatch

import "golang.org/x/sys/unix"

// Now returns the time since boot, including the time in suspension.
func (BootClock) Now() MonoTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return SystemClock{}.Now()
	}
	return MonoTime(t.Nano())
}
