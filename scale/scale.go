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
	Renew   = "renew"
	Delta   = "delta"
	Loss    = "loss"
	Ticket  = "ticket"
	State   = "state"
	Plan    = "plan"
	Memory  = "memory"
	Session = "session"
	Forward = "forward"
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
	{Renew, measureRenewals},
	{Delta, measureDeltas},
	{Loss, measureLosses},
	{Ticket, measureTickets},
	{State, measureState},
	{Plan, measurePlan},
	{Memory, measureMemory},
	{Session, measureSessions},
	{Forward, measureForward},
}

// Names returns the names of all parts.
func Names() []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.name
	}
	return names
}

// Check reports a part that does not exist.
func (c Config) Check() error {
	for _, name := range c.Parts {
		if !slices.Contains(Names(), name) {
			return fmt.Errorf("there is no part %q; the parts are %s", name, strings.Join(Names(), ", "))
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
	targetDaemons = 4900
	targetBits    = 19
	targetDCs     = 8
	daemonsByRack = 40
	daemonsByDC   = targetDaemons / targetDCs
)

var daemonSizes = []int{100, 1000, targetDaemons}

// cpu returns the processor time of this process, the collector's included.
func cpu() time.Duration {
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
	frameBytes  = 5  // package link: length and kind
	yamuxBytes  = 12 // header of a data frame
	tcpBytes    = 52 // IPv4 and TCP with time stamps
	segmentSize = 1448
)

// wireBytes returns the bytes of a message of n encoded bytes on an IPv4 link,
// with the acknowledgement that answers every second segment, and at least one.
func wireBytes(n int) int {
	stream := n + frameBytes
	frames := max(1, (stream+pieceBytes-1)/pieceBytes)
	stream += frames * yamuxBytes
	segments := (stream + segmentSize - 1) / segmentSize
	acks := (segments + 1) / 2
	return stream + (segments+acks)*tcpBytes
}

// heap returns the bytes that the process holds on the heap and on stacks.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
