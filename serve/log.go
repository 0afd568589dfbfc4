package serve

import (
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

// logLate logs a request whose response missed its latency objective, with the
// time that it waited, received its large body, and ran.
func (s *Server) logLate(r *pollenlatch.Request, waited, received, ran, late time.Duration) {
	suppressed, ok := s.logLimiter.Allow(false, time.Now())
	if !ok {
		return
	}
	running, waiting := s.cfg.Admitter.Load()
	klog.InfoS("request answered late by its server", "id", r.ID, "waitMs", waited.Milliseconds(), "bodyMs", received.Milliseconds(), "runMs", ran.Milliseconds(),
		"lateMs", late.Milliseconds(), "route", r.Route, "service", r.Service, "class", r.Class, "inner", r.Nested,
		"running", running, "waiting", waiting, "version", s.cfg.Control.View().Version(), "suppressed", suppressed)
}

// logFailure logs a request that was not served here, with the state that led to
// the failure.
func (s *Server) logFailure(r *pollenlatch.Request, f *pollenlatch.Failure, elapsed time.Duration) {
	suppressed, ok := s.logLimiter.Allow(false, time.Now())
	if !ok {
		return
	}
	running, waiting := s.cfg.Admitter.Load()
	pairs := []any{
		"id", r.ID, "outcome", f.Outcome.String(), "reason", f.Reason, "status", f.Status, "ms", elapsed.Milliseconds(),
		"leftMs", time.Until(r.Deadline).Milliseconds(), "sent", f.Sent, "detail", f.Detail,
		"route", r.Route, "service", r.Service, "class", r.Class, "inner", r.Nested,
		"running", running, "waiting", waiting, "version", s.cfg.Control.View().Version(),
	}
	if f.RetryAfter > 0 {
		pairs = append(pairs, "retryMs", f.RetryAfter.Milliseconds())
	}
	if r.Sharded() {
		pairs = append(pairs, "range", r.Shard.Range, "fence", r.Fence)
		if o, ok := s.cfg.Control.View().ShardOwner(r.Shard); ok {
			pairs = append(pairs, "owner", o.Instance, "ownerFence", o.Fence)
		}
		if g := s.cfg.Grants; g != nil {
			granted, nextHeartbeat := g.HasGrant(r.Shard, r.Fence)
			pairs = append(pairs, "granted", granted, "nextBeatMs", nextHeartbeat.Milliseconds())
		}
	}
	if suppressed > 0 {
		pairs = append(pairs, "suppressed", suppressed)
	}
	klog.InfoS("request not served by its instance", pairs...)
}
