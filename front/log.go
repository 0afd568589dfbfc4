package front

import (
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

// log logs the outcome of a request that was routed by host and path.
func (rs *responder) log(took time.Duration) {
	if rs.server.cfg.Headers == nil {
		return
	}
	now, late := time.Now(), time.Duration(0)
	if req := rs.request; req != nil && !req.SoftDeadline.IsZero() {
		late = now.Sub(req.SoftDeadline)
	}
	good := rs.outcome == pollenlatch.OutcomeRan && rs.reason == "" && late <= 0
	suppressed, ok := rs.server.logLimiter.Allow(good, now)
	if !ok {
		return
	}
	pairs := []any{"remote", rs.remote, "outcome", rs.outcome.String(), "reason", rs.reason, "status", rs.status, "ms", took.Milliseconds()}
	if late > 0 {
		pairs = append(pairs, "lateMs", late.Milliseconds())
	}
	if rs.retryAfter > 0 {
		pairs = append(pairs, "retryMs", rs.retryAfter.Milliseconds())
	}
	if rs.left {
		pairs = append(pairs, "left", true)
	}
	if rs.detail != "" {
		pairs = append(pairs, "detail", rs.detail)
	}
	if req := rs.request; req != nil {
		pairs = append(pairs, "id", req.ID, "route", req.Route, "service", req.Service, "class", req.Class,
			"safe", req.Idempotent, "budgetMs", req.Timeout.Milliseconds())
		if req.Waited > 0 {
			pairs = append(pairs, "waitedMs", req.Waited.Milliseconds())
		}
		if req.Key != "" {
			pairs = append(pairs, "key", req.Key)
		}
		if t := req.Trace; t != nil {
			pairs = append(pairs, "hops", t.Hops, "sends", t.Sends, "instance", t.Instance, "fence", t.Fence, "version", t.Version)
			if n := t.Nested; n != nil {
				pairs = append(pairs, "entryMs", n.Entry.Milliseconds(), "linkMs", n.Link.Milliseconds(),
					"queueMs", n.Queue.Milliseconds(), "serverMs", n.Server.Milliseconds())
			}
		}
	}
	if suppressed > 0 {
		pairs = append(pairs, "suppressed", suppressed)
	}
	klog.InfoS("request", pairs...)
}
