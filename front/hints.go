package front

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/fair"
)

const (
	// minHintedRetryAfter is the minimum Retry-After that is derived from the expected wait
	// at a server, and maxHintedShare the maximum, as a share of the time left until the
	// deadline.
	minHintedRetryAfter = 20 * time.Millisecond
	maxHintedShare      = 1.0 / 3
	// fullLinesPerSecond limits the log lines about refusals because of full servers.
	fullLinesPerSecond = 5
	// maxFairServices limits the services whose shares are kept.
	maxFairServices = 256
)

// roomPicker is a Picker that uses the hints of the daemons beside the endpoints.
type roomPicker interface {
	// Observe records the hint of the daemon beside an endpoint.
	Observe(id pollenlatch.InstanceID, h pollenlatch.ServerHint)
	// PickMostRoom is Pick for a request that must not wait.
	PickMostRoom(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool)
}

// adaptive reports whether the parts for overload apply to the request.
func (p *pendingRequest) adaptive() bool {
	return p.request.Routed() && p.cfg.Adaptive != nil && p.cfg.Adaptive()
}

// pick picks one of the usable endpoints.
func (p *pendingRequest) pick(usable []pollenlatch.Instance) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	if rp, ok := p.cfg.Picker.(roomPicker); ok && p.request.Nested && p.adaptive() {
		return rp.PickMostRoom(usable, p.cfg.DC, p.tried)
	}
	return p.cfg.Picker.Pick(usable, p.cfg.DC, p.tried)
}

// recordHint records what the daemon beside the target has said of it.
func (p *pendingRequest) recordHint(h *pollenlatch.ServerHint) {
	if h == nil {
		return
	}
	p.cfg.Hints.Record(p.target.instance, h, time.Now())
	if rp, ok := p.cfg.Picker.(roomPicker); ok && p.target.done != nil {
		rp.Observe(p.target.instance.ID, *h)
	}
}

// servers returns the instances that may run the request.
func (p *pendingRequest) servers() []pollenlatch.Instance {
	if p.target.owner.Instance != 0 {
		return []pollenlatch.Instance{p.target.instance}
	}
	return p.usable
}

// checkFull refuses the request if all of its servers are known to be full of requests
// that are at least as urgent. It would be held there, or refused after a hop. The
// requests of a route that is served too rarely are sent all the same. A request whose
// caller has come back goes first in its class, so it is refused only for more urgent ones.
func (p *pendingRequest) checkFull() *pollenlatch.Failure {
	if _, ok := p.throttleTarget(); !ok || p.starved || !p.adaptive() {
		return nil
	}
	now := time.Now()
	wait, full := p.cfg.Hints.Full(p.servers(), p.request.Class, p.request.Waited > 0, now)
	if !full {
		return nil
	}
	p.full.Inc()
	if p.target.done != nil {
		p.target.done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	}
	if suppressed, ok := p.fullLog.Allow(now); ok {
		klog.InfoS("request refused because its servers are full", "id", p.request.ID, "route", p.request.Route, "service", p.request.Service,
			"class", p.request.Class, "servers", len(p.servers()), "waitMs", wait.Milliseconds(), "suppressed", suppressed)
	}
	f := notRunFailure(pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable, "all servers of the request are full of requests that are at least as urgent")
	if k, ok := p.throttleTarget(); ok {
		wait = max(wait, p.throttle.retryAfter(k, now))
	}
	f.RetryAfter = p.retryAfter(wait, now)
	return f
}

// retryAfter limits an expected wait to a Retry-After that the caller can use. It is spread
// by a quarter, so that callers that were refused together do not come back together.
func (p *pendingRequest) retryAfter(wait time.Duration, now time.Time) time.Duration {
	wait += time.Duration(rand.Float64() * float64(wait) / 4)
	return max(minHintedRetryAfter, min(wait, time.Duration(maxHintedShare*float64(p.request.Deadline.Sub(now)))))
}

// withRetryAfter returns a failure because of overload with the expected wait at the best
// server as Retry-After, if that is known. The server that refused the request may have
// named a longer time, which accounts for more urgent requests that keep arriving, and for
// the network link that a large body waits for.
func (p *pendingRequest) withRetryAfter(f *pollenlatch.Failure) *pollenlatch.Failure {
	if f.Outcome != pollenlatch.OutcomeNotRun || !overloadReasons.Has(f.Reason) || !p.adaptive() {
		return f
	}
	now := time.Now()
	wait, known := p.cfg.Hints.Wait(p.servers(), now)
	if !known {
		return f
	}
	g := *f
	g.RetryAfter = p.retryAfter(max(wait, f.RetryAfter), now)
	return &g
}

// serviceShares counts the requests of each service, to find the routes that are served
// too rarely. The zero value is ready to use. It is safe for concurrent use.
type serviceShares struct {
	mu       sync.Mutex
	services map[string]*fair.Shares
}

// offer counts a new request, and reports whether its route is served too rarely. If so, it
// counts as served until end.
func (s *serviceShares) offer(r *pollenlatch.Request, now time.Time) (starved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.services[r.Service]
	if f == nil {
		if s.services == nil || len(s.services) >= maxFairServices {
			s.services = make(map[string]*fair.Shares)
		}
		f = new(fair.Shares)
		s.services[r.Service] = f
	}
	if starved = f.Offer(r.Route, r.Waited > 0, now); starved {
		f.Serve(r.Route)
	}
	return starved
}

// end records the result of a request for which offer returned starved.
func (s *serviceShares) end(r *pollenlatch.Request, starved, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.services[r.Service]
	switch {
	case f == nil:
	case served && !starved:
		f.Serve(r.Route)
	case starved && !served:
		f.Unserve(r.Route)
	}
}
