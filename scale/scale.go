package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Parts of a run, in their order.
const (
	PartRenew   = "renew"
	PartDelta   = "delta"
	PartLoss    = "loss"
	PartTicket  = "ticket"
	PartState   = "state"
	PartPlan    = "plan"
	PartMemory  = "memory"
	PartSession = "session"
	PartForward = "forward"
)

// Config says what to measure.
type Config struct {
	Seed  uint64   // of names, placement and elections
	Parts []string // nil is all
}

type part struct {
	name string
	run  func(ctx context.Context, r *Report) error
}

var parts = []part{
	{PartRenew, measureRenewals},
	{PartDelta, measureDeltas},
	{PartLoss, measureLosses},
	{PartTicket, measureTickets},
	{PartState, measureState},
	{PartPlan, measurePlan},
	{PartMemory, measureMemory},
	{PartSession, measureSessions},
	{PartForward, measureForward},
}

// PartNames returns the names of all parts.
func PartNames() []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.name
	}
	return names
}

// Check reports a part that does not exist.
func (c Config) Check() error {
	for _, name := range c.Parts {
		if !slices.Contains(PartNames(), name) {
			return fmt.Errorf("there is no part %q; the parts are %s", name, strings.Join(PartNames(), ", "))
		}
	}
	return nil
}

// Run measures the parts. It uses the processor time of the whole process, so
// nothing else may run in it.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	r := newReport(cfg.Seed)
	for _, p := range parts {
		if len(cfg.Parts) > 0 && !slices.Contains(cfg.Parts, p.name) {
			continue
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := p.run(ctx, r); err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		runtime.GC()
	}
	return r, nil
}

// Sizes of the target and of the points below it.
const (
	targetDaemons   = 4900
	targetRangeBits = 19
	targetDCs       = 8
	daemonsPerRack  = 40
	daemonsPerDC    = targetDaemons / targetDCs
)

var daemonSizes = []int{100, 1000, targetDaemons}

// cpuTime returns the processor time of this process, the collector's included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // cannot happen with these arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Bytes that a message has on the wire besides its own encoding.
const (
	frameHeaderBytes  = 5  // package link: length and kind
	yamuxHeaderBytes  = 12 // header of a data frame
	packetHeaderBytes = 52 // IPv4 and TCP with time stamps
	maxSegmentBytes   = 1448
)

// wireBytes returns the bytes of a message of n encoded bytes on an IPv4 link,
// with the acknowledgement that answers every second segment, and at least one.
func wireBytes(encodedBytes int) int {
	stream := encodedBytes + frameHeaderBytes
	frames := max(1, (stream+chunkBytes-1)/chunkBytes)
	stream += frames * yamuxHeaderBytes
	segments := (stream + maxSegmentBytes - 1) / maxSegmentBytes
	acks := (segments + 1) / 2
	return stream + (segments+acks)*packetHeaderBytes
}

// heapBytes returns the bytes that the process holds on the heap and on stacks.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
