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

// Names of the parts of a run, in the order in which they run.
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
	Seed  uint64   // seed of names, placement and elections
	Parts []string // names of the parts to run; empty is all
}

// part is a group of measurements that can be selected by name.
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

// PartNames returns the names of all parts in the order in which they run.
func PartNames() []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.name
	}
	return names
}

// Check returns an error if a selected part does not exist.
func (c Config) Check() error {
	for _, name := range c.Parts {
		if !slices.Contains(PartNames(), name) {
			return fmt.Errorf("there is no part %q; the parts are %s", name, strings.Join(PartNames(), ", "))
		}
	}
	return nil
}

// Run measures the selected parts. It reads the processor time and the heap of the
// whole process, so nothing else may run in it.
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

// Sizes of the largest deployment that the program is meant for.
const (
	targetDaemons   = 4900
	targetRangeBits = 19 // there are 1<<targetRangeBits ranges
	targetDCs       = 8
	daemonsPerRack  = 40
	daemonsPerDC    = targetDaemons / targetDCs
)

// daemonSizes are the numbers of daemons that are measured.
var daemonSizes = []int{100, 1000, targetDaemons}

// cpuTime returns the processor time of this process, including that of the
// garbage collector.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // getrusage cannot fail with these arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Sizes of headers and packets on a link.
const (
	frameHeaderBytes  = 5    // package link: length and kind
	yamuxHeaderBytes  = 12   // of a data frame
	packetHeaderBytes = 52   // IPv4, and TCP with timestamps
	maxSegmentBytes   = 1448 // payload of a TCP segment
)

// wireBytes returns the number of bytes that an encoded message takes on an IPv4
// link. It includes one acknowledgement for every two segments, rounded up.
func wireBytes(encodedBytes int) int {
	stream := encodedBytes + frameHeaderBytes
	frames := max(1, (stream+chunkBytes-1)/chunkBytes)
	stream += frames * yamuxHeaderBytes
	segments := (stream + maxSegmentBytes - 1) / maxSegmentBytes
	acks := (segments + 1) / 2
	return stream + (segments+acks)*packetHeaderBytes
}

// heapBytes returns the size of the live heap and of the stacks after garbage
// collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
