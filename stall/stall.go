// Package stall measures how late a process runs, because it gets too little processor
// time or was paused.
package stall

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"pollenlatch/logs"
)

const (
	// interval is the time between two measurements.
	interval = 100 * time.Millisecond
	// logThreshold is the delay above which a line is logged.
	logThreshold = 250 * time.Millisecond
)

// Monitor measures how late a timer fires. Network input waits about as long before it
// is read. Use New.
type Monitor struct {
	seconds *metrics.Histogram
	limiter *logs.Limiter
	done    chan struct{}
}

// New returns a monitor with its metric in set.
func New(set *metrics.Set) *Monitor {
	return &Monitor{
		seconds: set.GetOrCreateHistogram("pollenlatch_stall_seconds"),
		limiter: logs.NewLimiter(2, 4),
		done:    make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run returns.
func (m *Monitor) Done() <-chan struct{} { return m.done }

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	defer close(m.done)
	t := time.NewTimer(interval)
	defer t.Stop()
	for due := time.Now().Add(interval); ; due = time.Now().Add(interval) {
		select {
		case <-t.C:
			m.record(time.Since(due))
		case <-ctx.Done():
			return
		}
		t.Reset(interval)
	}
}

// record records a delay, and reports whether it was logged.
func (m *Monitor) record(delay time.Duration) bool {
	m.seconds.Update(max(0, delay).Seconds())
	if delay < logThreshold {
		return false
	}
	suppressed, ok := m.limiter.Allow(time.Now())
	if ok {
		klog.InfoS("process runs late", "delayMs", delay.Milliseconds(), "suppressed", suppressed)
	}
	return ok
}
