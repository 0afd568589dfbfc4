// Package halt decides which requests a process still accepts after the signal to
// stop, at which the platform gives it some seconds. Requests that are in flight at
// their end are aborted without a response.
package halt

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

// Schedule is the time plan of a process that stops.
type Schedule struct {
	// RepeatableUntil is the time until which requests that may run more than once are
	// accepted whatever their deadline. Few of them run that long, and their callers
	// may send them again.
	RepeatableUntil time.Time
	// End is the time at which the requests in flight are aborted.
	End time.Time
}

// Accepts reports whether a request that arrives at now is accepted: one that ends
// before the process does, at the latest by its deadline, or that may be repeated. A
// request without a deadline has no known end.
func (s Schedule) Accepts(r *pollenlatch.Request, now time.Time) bool {
	if !r.Deadline.IsZero() && !r.Deadline.After(s.End) {
		return true
	}
	return r.Idempotent && now.Before(s.RepeatableUntil)
}

// Gate refuses the requests that a stopping process does not accept. The zero value
// accepts all.
type Gate struct {
	schedule atomic.Pointer[Schedule]
	refused  atomic.Uint64
}

// Begin begins the stop.
func (g *Gate) Begin(s Schedule) { g.schedule.Store(&s) }

// Refused returns the number of refused requests.
func (g *Gate) Refused() uint64 { return g.refused.Load() }

// Check returns nil for a request that is accepted at now. The failure tells the
// caller when this process has ended at the latest.
func (g *Gate) Check(r *pollenlatch.Request, now time.Time) *pollenlatch.Failure {
	s := g.schedule.Load()
	if s == nil || s.Accepts(r, now) {
		return nil
	}
	g.refused.Add(1)
	klog.V(1).InfoS("request refused by a stopping process", "id", r.ID, "route", r.Route, "deadlineMs", r.Deadline.Sub(now).Milliseconds(), "endMs", s.End.Sub(now).Milliseconds())
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonDraining, Status: http.StatusServiceUnavailable,
		Detail: "this instance is stopping and may not complete the request", RetryAfter: max(0, s.End.Sub(now)),
	}
}

// Wrap returns a handler that checks requests before next handles them.
func (g *Gate) Wrap(next pollenlatch.Handler) pollenlatch.Handler {
	return pollenlatch.HandlerFunc(func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if f := g.Check(r, time.Now()); f != nil {
			return nil, f
		}
		return next.Handle(ctx, r)
	})
}
