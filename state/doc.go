// Package state is the replicated state machine: services, callers, tickets,
// instances, leases and the owner table. Voters and daemons apply the same
// commands in log order and get the same state.
//
// A State is immutable. Apply returns a changed copy that shares everything
// that the command left alone, so a State can be read by any goroutine.
package state
