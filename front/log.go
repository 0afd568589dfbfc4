package front

import (
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

// log writes the line of a request that is routed by host and path.
func (a *answer) log(took time.Duration) {
	if a.server.cfg.Headers == nil {
		return
	}
	now, late := time.Now(), time.Duration(0)
	if q := a.request; q != nil && !q.SoftDeadline.IsZero() {
		late = now.Sub(q.SoftDeadline)
	}
	good := a.outcome == pollenlatch.OutcomeRan && a.reason == "" && late <= 0
	suppressed, ok := a.server.lines.Allow(good, now)
	if !ok {
		return
	}
	pairs := []any{"remote", a.remote, "outcome", a.outcome.String(), "reason", a.reason, "status", a.status, "ms", took.Milliseconds()}
	if late > 0 {
		pairs = append(pairs, "lateMs", late.Milliseconds())
	}
	if a.after > 0 {
		pairs = append(pairs, "retryMs", a.after.Milliseconds())
	}
	if a.detail != "" {
		pairs = append(pairs, "detail", a.detail)
	}
	if q := a.request; q != nil {
		pairs = append(pairs, "id", q.ID, "route", q.Route, "service", q.Service, "class", q.Class,
			"safe", q.Idempotent, "budgetMs", q.Timeout.Milliseconds())
		if q.Waited > 0 {
			pairs = append(pairs, "waitedMs", q.Waited.Milliseconds())
		}
		if q.Key != "" {
			pairs = append(pairs, "key", q.Key)
		}
		if t := q.Trace; t != nil {
			pairs = append(pairs, "hops", t.Hops, "sends", t.Sends, "instance", t.Instance, "fence", t.Fence, "version", t.Version)
		}
	}
	if suppressed > 0 {
		pairs = append(pairs, "suppressed", suppressed)
	}
	klog.InfoS("request", pairs...)
}
