package serve

import (
	"fmt"
	"net/http"
	"time"

	"pollenlatch"
	"pollenlatch/calls"
)

const (
	// minCallsRetryAfter is the minimum time after which a request that was refused
	// because of its calls may be sent again, and maxRetryAfterShare the maximum, as a
	// share of the time left until its deadline.
	minCallsRetryAfter = 100 * time.Millisecond
	maxRetryAfterShare = 1.0 / 3
)

// checkCalls refuses a new request whose nested calls are likely to fail. A nested
// request is never refused for that: its parent would have run in vain.
func (s *Server) checkCalls(r *pollenlatch.Request, now time.Time) *pollenlatch.Failure {
	if !r.Routed() || r.Nested {
		return nil
	}
	ok, habit := s.forecast.Admit(r.Route, now)
	if ok {
		return nil
	}
	s.meter.callsRefused.Inc()
	f := refuse(pollenlatch.ReasonCallsFailing, http.StatusServiceUnavailable, fmt.Sprintf(
		"calls to service %q are likely to fail: %.2f of them failed recently; %.2f of the runs make calls, %.2f a run on average; %.1f runs/s are admitted",
		habit.Service, habit.FailedShare, habit.CallerShare, habit.CallsPerRun, habit.Limit,
	))
	if wait, known := s.cfg.ExpectedWait(habit.Service); known {
		f.RetryAfter = wait
	}
	if left := r.Deadline.Sub(now); !r.Deadline.IsZero() {
		f.RetryAfter = min(f.RetryAfter, time.Duration(maxRetryAfterShare*float64(left)))
	}
	f.RetryAfter = max(minCallsRetryAfter, f.RetryAfter)
	return f
}

// CallArrived returns the route of the request that the local server runs while it sends
// a nested one, or "" when the parts for overload do not apply.
func (s *Server) CallArrived(r *pollenlatch.Request) (parentRoute string) {
	if !s.cfg.Adaptive() {
		return ""
	}
	route, first := s.active.recordCall(r.ID)
	if route != "" {
		s.forecast.RecordCall(route, r.Service, first, time.Now())
	}
	return route
}

// CallEnded records the result of a nested request; see front.CallObserver.
func (s *Server) CallEnded(r *pollenlatch.Request, status int) {
	if result, known := callResult(r, status, time.Now()); known {
		s.forecast.RecordResult(r.ParentRoute, r.Service, result, time.Now())
	}
}

// callResult returns the result of a nested request that ended at now. It is not known
// for one that the server abandoned before its deadline.
func callResult(r *pollenlatch.Request, status int, now time.Time) (result calls.Result, known bool) {
	switch {
	case !now.Before(r.Deadline) || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return calls.Failed, true
	case status == 0:
		return 0, false
	case !r.SoftDeadline.IsZero() && now.After(r.SoftDeadline):
		return calls.Slow, true
	default:
		return calls.OK, true
	}
}
