//go:build !linux

package pollenlatch

// Now returns the time since the process started.
func (Boot) Now() Mono { return System{}.Now() }
