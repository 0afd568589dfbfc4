package front

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// maxServices bounds the services with figures of their own; what is above it
// counts as service "other".
const maxServices = 256

// reasons are the values of the label reason. A reason that another daemon
// sends and that is not among them counts as "other".
var reasons = map[pollenlatch.Reason]bool{
	"": true, pollenlatch.ReasonBadRequest: true, pollenlatch.ReasonNoService: true, pollenlatch.ReasonRateLimited: true,
	pollenlatch.ReasonNoLease: true, pollenlatch.ReasonNoOwner: true, pollenlatch.ReasonNoEndpoint: true,
	pollenlatch.ReasonUnreachable: true, pollenlatch.ReasonWrongOwner: true, pollenlatch.ReasonVersionMismatch: true,
	pollenlatch.ReasonQueueFull: true, pollenlatch.ReasonDraining: true, pollenlatch.ReasonDeadlineExceeded: true,
	pollenlatch.ReasonServerRefused: true, pollenlatch.ReasonConnectionLost: true, pollenlatch.ReasonCancelled: true,
	pollenlatch.ReasonUnknownRetry: true, pollenlatch.ReasonTooLarge: true, pollenlatch.ReasonKeyConflict: true,
	pollenlatch.ReasonServerError: true,
	pollenlatch.ReasonNoConfig:    true, pollenlatch.ReasonNoRoute: true, pollenlatch.ReasonNotGranted: true,
	pollenlatch.ReasonDeadlineUnreachable: true, pollenlatch.ReasonOverloaded: true, pollenlatch.ReasonInvalidResponse: true,
	pollenlatch.ReasonServerReplaced: true,
}

// meter counts answers.
type meter struct {
	set *metrics.Set

	mu       sync.RWMutex
	services map[string]bool
	counters map[series]*metrics.Counter
	times    map[string]*metrics.Histogram
}

type series struct {
	service string
	outcome pollenlatch.Outcome
	reason  pollenlatch.Reason
}

func newMeter(set *metrics.Set, conns func() float64) *meter {
	set.GetOrCreateGauge("pollenlatch_front_connections", conns)
	return &meter{
		set:      set,
		services: make(map[string]bool),
		counters: make(map[series]*metrics.Counter),
		times:    make(map[string]*metrics.Histogram),
	}
}

// answer counts one answer. service is empty when there is no such service.
func (m *meter) answer(service string, o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) {
	if !reasons[r] {
		r = "other"
	}
	k := series{service, o, r}
	m.mu.RLock()
	c, t := m.counters[k], m.times[service]
	m.mu.RUnlock()
	if c == nil || t == nil {
		c, t = m.add(k)
	}
	c.Inc()
	t.Update(took.Seconds())
}

func (m *meter) add(k series) (*metrics.Counter, *metrics.Histogram) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.services[k.service] {
		if len(m.services) >= maxServices {
			k.service = "other"
		} else {
			m.services[k.service] = true
		}
	}
	if m.counters[k] == nil {
		m.counters[k] = m.set.GetOrCreateCounter(fmt.Sprintf(
			"pollenlatch_front_answers_total{service=%q,outcome=%q,reason=%q}", k.service, k.outcome, k.reason))
	}
	if m.times[k.service] == nil {
		m.times[k.service] = m.set.GetOrCreateHistogram(fmt.Sprintf("pollenlatch_front_answer_seconds{service=%q}", k.service))
	}
	return m.counters[k], m.times[k.service]
}
