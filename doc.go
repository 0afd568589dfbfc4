// Package pollenlatch holds the domain types, wire messages and interfaces
// that the other packages share. Implementations live in the packages below it.
//
// Domain types carry their protobuf tags. Every type that crosses a process
// boundary has a Check method, which Decode calls.
package pollenlatch
