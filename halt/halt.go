// Package halt decides which requests a process still accepts after the signal to
// stop, at which the platform gives it some seconds, and refuses accepted requests that
// have not begun to run when they can no longer end in time. Requests that run at their
// end are aborted without a response.
package halt

import (
	"context"
	"errors"
	"net/http"
	"sync"
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

// ResponseMargin is how long before the end of the process the last responses must be
// complete: it covers the revocation of a forwarded request, which takes up to 250 ms, and
// the transfer of the response.
const ResponseMargin = 400 * time.Millisecond

// LastResponse returns the time by which the responses must be complete.
func (s Schedule) LastResponse() time.Time { return s.End.Add(-ResponseMargin) }

// Accepts reports whether a request that arrives at now is accepted: one that ends
// before the process does, at the latest by its deadline, or that may be repeated. A
// request without a deadline has no known end.
func (s Schedule) Accepts(r *pollenlatch.Request, now time.Time) bool {
	if !r.Deadline.IsZero() && !r.Deadline.After(s.End) {
		return true
	}
	return r.Idempotent && now.Before(s.RepeatableUntil)
}

// Gate refuses the requests that a stopping process does not accept, and those that it has
// accepted but can't complete. The zero value accepts all until the stop begins.
type Gate struct {
	// DrainTimeout is the time from the signal to Schedule.End. Requests with a shorter
	// deadline always end in time.
	DrainTimeout time.Duration

	schedule atomic.Pointer[Schedule]
	refused  atomic.Uint64
	revoked  atomic.Uint64

	mu       sync.Mutex
	accepted map[*pollenlatch.Revocable]struct{} // have no result yet, and may outlast the process
}

// Begin begins the stop, and returns the number of requests in flight that may not end in
// time.
func (g *Gate) Begin(s Schedule) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.schedule.Store(&s)
	for r := range g.accepted {
		r.EndBy(s.LastResponse())
	}
	return len(g.accepted)
}

// Refused returns the number of refused requests.
func (g *Gate) Refused() uint64 { return g.refused.Load() }

// Revoked returns the number of accepted requests that were refused during the stop
// because they could no longer end in time.
func (g *Gate) Revoked() uint64 { return g.revoked.Load() }

// Check returns nil for a request that is accepted at now. The failure tells the
// caller when this process has ended at the latest.
func (g *Gate) Check(r *pollenlatch.Request, now time.Time) *pollenlatch.Failure {
	s := g.schedule.Load()
	if s == nil || s.Accepts(r, now) {
		return nil
	}
	g.refused.Add(1)
	klog.V(1).InfoS("request refused by a stopping process", "id", r.ID, "route", r.Route, "deadlineMs", r.Deadline.Sub(now).Milliseconds(), "endMs", s.End.Sub(now).Milliseconds())
	return s.refuse("this instance is stopping and may not complete the request", now)
}

func (s Schedule) refuse(detail string, now time.Time) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonDraining, Status: http.StatusServiceUnavailable,
		Detail: detail, RetryAfter: max(0, s.End.Sub(now)),
	}
}

// mayOutlast reports whether a request that arrives at now may have no response in time,
// if the stop has begun or begins while it is in flight.
func (g *Gate) mayOutlast(r *pollenlatch.Request, now time.Time) bool {
	if r.Deadline.IsZero() {
		return true
	}
	if s := g.schedule.Load(); s != nil {
		return r.Deadline.After(s.LastResponse())
	}
	return r.Deadline.Sub(now) > g.DrainTimeout-ResponseMargin
}

func (g *Gate) add(r *pollenlatch.Revocable) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.accepted == nil {
		g.accepted = make(map[*pollenlatch.Revocable]struct{})
	}
	g.accepted[r] = struct{}{}
	if s := g.schedule.Load(); s != nil {
		r.EndBy(s.LastResponse())
	}
}

func (g *Gate) remove(r *pollenlatch.Revocable) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.accepted, r)
}

// Wrap returns a handler that checks requests before next handles them, and revokes them
// when they can no longer end before this process does.
func (g *Gate) Wrap(next pollenlatch.Handler) pollenlatch.Handler {
	return pollenlatch.HandlerFunc(func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		now := time.Now()
		if f := g.Check(r, now); f != nil {
			return nil, f
		}
		if !g.mayOutlast(r, now) {
			return next.Handle(ctx, r)
		}
		return g.handleRevocable(ctx, r, next)
	})
}

func (g *Gate) handleRevocable(ctx context.Context, r *pollenlatch.Request, next pollenlatch.Handler) (*pollenlatch.Response, error) {
	state := pollenlatch.RevocableOf(ctx)
	if state == nil {
		var cancel func()
		ctx, cancel = context.WithCancel(ctx) // ends with the request
		state = pollenlatch.NewRevocable(cancel)
		ctx = pollenlatch.WithRevocable(ctx, state)
	}
	g.add(state)
	defer g.remove(state)
	resp, err := next.Handle(ctx, r)
	state.Close()
	if s := g.schedule.Load(); err != nil && s != nil {
		return nil, g.explainRevoked(*s, r, state, err)
	}
	return resp, err
}

// explainRevoked returns the failure of a request. One that was revoked before any attempt
// began is refused like those that arrive during the stop.
func (g *Gate) explainRevoked(s Schedule, r *pollenlatch.Request, state *pollenlatch.Revocable, err error) error {
	var f *pollenlatch.Failure
	if !state.Revoked() || !errors.As(err, &f) || f.Outcome != pollenlatch.OutcomeNotRun {
		return err
	}
	now := time.Now()
	g.revoked.Add(1)
	klog.V(1).InfoS("accepted request refused by a stopping process", "id", r.ID, "route", r.Route, "failure", f.Detail, "endMs", s.End.Sub(now).Milliseconds())
	return s.refuse("this instance is stopping and can no longer complete the request", now)
}
