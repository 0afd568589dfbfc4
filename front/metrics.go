package front

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// maxServiceLabels limits the number of values of the label service, and so the
// memory for metrics. Further services are counted as "other".
const maxServiceLabels = 256

// reasonLabels are the values of the label reason. Reasons of other daemons
// that are not in this set are counted as "other".
var reasonLabels = map[pollenlatch.Reason]bool{
	"": true, pollenlatch.ReasonBadRequest: true, pollenlatch.ReasonNoService: true, pollenlatch.ReasonRateLimited: true,
	pollenlatch.ReasonNoLease: true, pollenlatch.ReasonNoOwner: true, pollenlatch.ReasonNoEndpoint: true,
	pollenlatch.ReasonUnreachable: true, pollenlatch.ReasonWrongOwner: true, pollenlatch.ReasonVersionMismatch: true,
	pollenlatch.ReasonQueueFull: true, pollenlatch.ReasonDraining: true, pollenlatch.ReasonDeadlineExceeded: true,
	pollenlatch.ReasonServerRefused: true, pollenlatch.ReasonConnectionLost: true, pollenlatch.ReasonCancelled: true,
	pollenlatch.ReasonUnknownRetry: true, pollenlatch.ReasonTooLarge: true, pollenlatch.ReasonKeyConflict: true,
	pollenlatch.ReasonServerError: true,
	pollenlatch.ReasonNoConfig:    true, pollenlatch.ReasonNoRoute: true, pollenlatch.ReasonNotGranted: true,
	pollenlatch.ReasonDeadlineUnreachable: true, pollenlatch.ReasonOverloaded: true, pollenlatch.ReasonInvalidResponse: true,
	pollenlatch.ReasonServerReplaced: true, pollenlatch.ReasonEvacuated: true,
}

// responseMetrics counts responses to callers and measures their times.
type responseMetrics struct {
	set        *metrics.Set
	leftUnread *metrics.Counter // requests whose callers had disconnected when they were read

	mu        sync.RWMutex
	services  map[string]bool
	counters  map[counterLabels]*metrics.Counter
	durations map[string]*metrics.Histogram
}

type counterLabels struct {
	service string
	outcome pollenlatch.Outcome
	reason  pollenlatch.Reason
}

func newResponseMetrics(set *metrics.Set, conns func() float64) *responseMetrics {
	set.GetOrCreateGauge("pollenlatch_front_connections", conns)
	return &responseMetrics{
		set:        set,
		leftUnread: set.GetOrCreateCounter("pollenlatch_front_left_unread_total"),
		services:   make(map[string]bool),
		counters:   make(map[counterLabels]*metrics.Counter),
		durations:  make(map[string]*metrics.Histogram),
	}
}

// record counts one response. service is empty when the requested service does
// not exist.
func (m *responseMetrics) record(service string, o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) {
	if !reasonLabels[r] {
		r = "other"
	}
	labels := counterLabels{service, o, r}
	m.mu.RLock()
	c, h := m.counters[labels], m.durations[service]
	m.mu.RUnlock()
	if c == nil || h == nil {
		c, h = m.add(labels)
	}
	c.Inc()
	h.Update(took.Seconds())
}

func (m *responseMetrics) add(labels counterLabels) (*metrics.Counter, *metrics.Histogram) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.services[labels.service] {
		if len(m.services) >= maxServiceLabels {
			labels.service = "other"
		} else {
			m.services[labels.service] = true
		}
	}
	if m.counters[labels] == nil {
		m.counters[labels] = m.set.GetOrCreateCounter(fmt.Sprintf(
			"pollenlatch_front_answers_total{service=%q,outcome=%q,reason=%q}", labels.service, labels.outcome, labels.reason))
	}
	if m.durations[labels.service] == nil {
		m.durations[labels.service] = m.set.GetOrCreateHistogram(fmt.Sprintf("pollenlatch_front_answer_seconds{service=%q}", labels.service))
	}
	return m.counters[labels], m.durations[labels.service]
}
