package serve

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/histogram"

	"pollenlatch"
)

const (
	// suspectMin is how many exchanges must have ended before a share of
	// failures says something about the server.
	suspectMin = 5
	// suspectShare is the share of failed exchanges from which on the server is
	// suspected: more than single faults, and far from a lost one.
	suspectShare = 0.5
)

// Observation is what the exchanges since the last observation show of the
// server. It goes before what the server reports of itself.
type Observation struct {
	Rate          float64       // exchanges a second
	MedianLatency time.Duration // until the head of an answer; 0 when there was none
	Suspect       bool          // at least half of the exchanges failed
}

// meter counts what the pipeline does.
type meter struct {
	set      *metrics.Set
	answered *metrics.Counter
	seconds  *metrics.Histogram

	mu    sync.Mutex
	since time.Time
	total int
	bad   int
	times *histogram.Fast
}

func newMeter(cfg Config) *meter {
	gauge := func(name string, f func() int) {
		cfg.Metrics.GetOrCreateGauge("pollenlatch_serve_"+name, func() float64 { return float64(f()) })
	}
	gauge("running", func() int { n, _ := cfg.Admitter.Load(); return n })
	gauge("waiting", func() int { _, n := cfg.Admitter.Load(); return n })
	gauge("records", func() int { n, _ := cfg.Records.Size(); return n })
	gauge("record_bytes", func() int { _, n := cfg.Records.Size(); return n })
	return &meter{
		set:      cfg.Metrics,
		answered: cfg.Metrics.GetOrCreateCounter("pollenlatch_serve_answers_total"),
		seconds:  cfg.Metrics.GetOrCreateHistogram("pollenlatch_serve_exchange_seconds"),
		since:    time.Now(),
		times:    histogram.NewFast(),
	}
}

// failed counts a failure. Its reasons are those of this program, so that the
// number of counters is bounded.
func (m *meter) failed(f *pollenlatch.Failure) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pollenlatch_serve_failures_total{outcome=%q,reason=%q}", f.Outcome, f.Reason)).Inc()
}

// exchanged counts an exchange that the server answered after d, or failed.
func (m *meter) exchanged(ok bool, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total++
	if !ok {
		m.bad++
		return
	}
	m.seconds.Update(d.Seconds())
	m.times.Update(float64(d))
}

// suspect counts an exchange that the server failed, and asks for a probe.
func (s *Server) suspect(f *pollenlatch.Failure) {
	if fault(f) {
		s.meter.exchanged(false, 0)
		s.cfg.Probe()
	}
}

// fault reports whether the server, and not the caller or this daemon, failed
// the exchange.
func fault(f *pollenlatch.Failure) bool {
	switch f.Reason {
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonConnectionLost:
		return true
	case pollenlatch.ReasonDeadlineExceeded:
		return f.Outcome == pollenlatch.OutcomeUnknown
	default:
		return false
	}
}

// Observe returns what happened since the last call, and starts anew.
func (s *Server) Observe() Observation {
	m := s.meter
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	o := Observation{Suspect: m.total >= suspectMin && float64(m.bad) >= suspectShare*float64(m.total)}
	if d := now.Sub(m.since); d > 0 {
		o.Rate = float64(m.total) / d.Seconds()
	}
	if m.total > m.bad {
		o.MedianLatency = time.Duration(m.times.Quantile(0.5))
	}
	m.since, m.total, m.bad = now, 0, 0
	m.times.Reset()
	return o
}
