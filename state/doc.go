// Package state implements the replicated state machine: services, callers,
// tickets, instances, leases and the owner table. Voters and daemons apply the
// same commands in log order and reach the same state.
//
// A State is immutable and safe for concurrent use. Apply returns a modified
// copy that shares all unchanged data with the original.
package state
