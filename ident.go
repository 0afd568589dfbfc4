package pollenlatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID is the number that the replicated state gives to an instance.
// Zero is no instance.
type InstanceID uint32

// Version is a log index: the state after applying that entry. It only rises.
type Version uint64

// Fence is the log index of an assignment. A later owner of the same range
// always has a higher fence. Zero is no fence.
type Fence uint64

// Lease is the log index of the Join command that created a lease.
// Zero is no lease.
type Lease uint64

// Incarnation is a random number that one run of a process, or one data folder,
// keeps for its whole existence. Zero is unknown.
type Incarnation uint64

// Range is the index of a part of a service's hashed key space.
type Range uint32

// MonoTime is monotonic time in nanoseconds since an arbitrary start in the same
// process. Values of different processes are not comparable.
type MonoTime int64

// Add returns m moved by d.
func (m MonoTime) Add(d time.Duration) MonoTime { return m + MonoTime(d) }

// Sub returns the time from n to m.
func (m MonoTime) Sub(n MonoTime) time.Duration { return time.Duration(m - n) }

// Clock tells monotonic time. Reducers receive the time in events instead.
type Clock interface {
	Now() MonoTime
}

// SystemClock is a Clock on the operating system's monotonic clock.
type SystemClock struct{}

var processStart = time.Now()

// Now returns the time since the process started.
func (SystemClock) Now() MonoTime { return MonoTime(time.Since(processStart)) }

// BootClock is the clock that leases are counted on. Unlike System it goes on while
// the system is suspended: a lease must not seem to last after a suspension.
// Linux has such a clock; elsewhere BootClock is the same as System.
type BootClock struct{}

// MaxRangeBits bounds the number of ranges of a service to 1<<MaxRangeBits.
const MaxRangeBits = 20

// RangeOf returns the range of a key in a service with 1<<bits ranges.
func RangeOf(service, key string, bits uint32) Range {
	if bits == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return Range(d.Sum64() >> (64 - bits))
}
