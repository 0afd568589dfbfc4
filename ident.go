package pollenlatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID is the number of an instance in the replicated state. Zero is no
// instance.
type InstanceID uint32

// Version is the log index of the last entry that a state includes. It only
// increases.
type Version uint64

// Fence is the log index of an assignment. A later owner of the same range
// always has a higher fence. Zero is no fence.
type Fence uint64

// Lease is the log index of the Join command that created a lease.
// Zero is no lease.
type Lease uint64

// Incarnation is a random number that identifies one run of a process, or one
// data folder. Zero is unknown.
type Incarnation uint64

// Range is the index of a range of a service's keys: a part of the hashed key
// space, or consecutive numbers in a numeric service.
type Range uint32

// MonoTime is monotonic time in nanoseconds since an arbitrary start. Values of
// different processes are not comparable.
type MonoTime int64

// Add returns m moved by d.
func (m MonoTime) Add(d time.Duration) MonoTime { return m + MonoTime(d) }

// Sub returns the duration m-n.
func (m MonoTime) Sub(n MonoTime) time.Duration { return time.Duration(m - n) }

// Clock is a source of monotonic time. Reducers don't use one: they receive the
// time in events.
type Clock interface {
	Now() MonoTime
}

// SystemClock is a Clock that reads the operating system's monotonic clock.
type SystemClock struct{}

var processStart = time.Now()

// Now returns the time since the process started.
func (SystemClock) Now() MonoTime { return MonoTime(time.Since(processStart)) }

// BootClock is the clock for leases. Unlike SystemClock it advances while the
// system is suspended, so that a lease which expired meanwhile does not seem
// valid. It needs Linux; elsewhere BootClock is the same as SystemClock.
type BootClock struct{}

// MaxRangeBits limits the number of ranges of a service to 1<<MaxRangeBits.
const MaxRangeBits = 20

// RangeOf returns the range of a key by its hash, in a service with 1<<bits
// ranges.
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
