//go:build !linux

package pollenlatch

// Now returns the time since the process started.
func (BootClock) Now() MonoTime { return SystemClock{}.Now() }
