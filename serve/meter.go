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
	// suspectMinExchanges is the minimum number of exchanges for which the share
	// of failures is evaluated.
	suspectMinExchanges = 5
	// suspectFailureShare is the share of failed exchanges at which the server is
	// suspect: more than isolated failures cause, and well below that of a lost
	// server.
	suspectFailureShare = 0.5
)

// Observation summarises the exchanges with the server since the last observation.
// It takes precedence over what the server reports about itself.
type Observation struct {
	Rate          float64       // exchanges a second
	MedianLatency time.Duration // until the response head; 0 without a response
	Suspect       bool          // at least half of the exchanges failed
}

// meter collects the metrics of the pipeline and the data of an Observation.
type meter struct {
	set             *metrics.Set
	responses       *metrics.Counter
	exchangeSeconds *metrics.Histogram
	bodySeconds     *metrics.Histogram
	bodiesRefused   *metrics.Counter
	bodiesFailed    *metrics.Counter

	mu        sync.Mutex
	since     time.Time
	total     int
	failures  int
	latencies *histogram.Fast
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
		set:             cfg.Metrics,
		responses:       cfg.Metrics.GetOrCreateCounter("pollenlatch_serve_answers_total"),
		exchangeSeconds: cfg.Metrics.GetOrCreateHistogram("pollenlatch_serve_exchange_seconds"),
		bodySeconds:     cfg.Metrics.GetOrCreateHistogram("pollenlatch_serve_body_seconds"),
		bodiesRefused:   cfg.Metrics.GetOrCreateCounter("pollenlatch_serve_bodies_refused_total"),
		bodiesFailed:    cfg.Metrics.GetOrCreateCounter("pollenlatch_serve_bodies_failed_total"),
		since:           time.Now(),
		latencies:       histogram.NewFast(),
	}
}

// countFailure counts a failure. The set of reasons is fixed, which bounds the
// number of counters.
func (m *meter) countFailure(f *pollenlatch.Failure) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pollenlatch_serve_failures_total{outcome=%q,reason=%q}", f.Outcome, f.Reason)).Inc()
}

// recordExchange records an exchange: with ok, a response of the server after d.
func (m *meter) recordExchange(ok bool, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total++
	if !ok {
		m.failures++
		return
	}
	m.exchangeSeconds.Update(d.Seconds())
	m.latencies.Update(float64(d))
}

// recordServerFailure records an exchange that failed through the server's fault,
// and requests a probe.
func (s *Server) recordServerFailure(f *pollenlatch.Failure) {
	if isServerFault(f) {
		s.meter.recordExchange(false, 0)
		s.cfg.Probe()
	}
}

// isServerFault reports whether the server, and not the caller or this daemon,
// caused a failure.
func isServerFault(f *pollenlatch.Failure) bool {
	switch f.Reason {
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonConnectionLost:
		return true
	case pollenlatch.ReasonDeadlineExceeded:
		return f.Outcome == pollenlatch.OutcomeUnknown
	default:
		return false
	}
}

// recordFailing records a failure in Config.Failing, unless it says nothing about the server: the
// caller left, the deadline passed, or this daemon or a full server refused the request.
func (s *Server) recordFailing(f *pollenlatch.Failure) {
	switch f.Reason {
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonConnectionLost, pollenlatch.ReasonInvalidResponse:
	case pollenlatch.ReasonQueueFull:
		if !f.Sent || s.cfg.Full() {
			return
		}
	default:
		return
	}
	s.cfg.Failing.Record(true, time.Now())
}

// Observe returns the observation since the last call and resets it.
func (s *Server) Observe() Observation {
	m := s.meter
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	o := Observation{Suspect: m.total >= suspectMinExchanges && float64(m.failures) >= suspectFailureShare*float64(m.total)}
	if d := now.Sub(m.since); d > 0 {
		o.Rate = float64(m.total) / d.Seconds()
	}
	if m.total > m.failures {
		o.MedianLatency = time.Duration(m.latencies.Quantile(0.5))
	}
	m.since, m.total, m.failures = now, 0, 0
	m.latencies.Reset()
	return o
}
