package pollenlatch

import (
	"context"
	"sync"
	"time"
)

// Revocable is the state of an accepted request that may be given up as long as it has
// not begun to run: its sender may revoke it, and it may have an end by which its response
// must be complete, because the process that the caller is connected to stops. It decides
// between giving up and running, so that a request which was given up is never sent to a
// server. The zero value has not begun, is not revoked and has no end. It is safe for
// concurrent use.
type Revocable struct {
	cancel func()

	mu       sync.Mutex
	state    revocableState
	end      time.Time            // zero: none
	expected func() time.Duration // nil: unknown
	timer    *time.Timer          // revokes the request when it can no longer end in time; nil before the first use
	forward  func(end time.Time)  // nil unless the request is at another daemon, which decides
}

// revocableState is the state of a Revocable.
type revocableState int

const (
	revocableWaiting revocableState = iota
	revocableBegun
	revocableRevoked
	revocableClosed // it has a result
)

type revocableKey struct{}

// NewRevocable returns the state of a new request. cancel is called when it is revoked.
func NewRevocable(cancel func()) *Revocable { return &Revocable{cancel: cancel} }

// WithRevocable returns a context for a request that r may revoke.
func WithRevocable(ctx context.Context, r *Revocable) context.Context {
	return context.WithValue(ctx, revocableKey{}, r)
}

// RevocableOf returns the state of the request with the context ctx, or nil, on which the
// methods have no effect and BeginRun reports true.
func RevocableOf(ctx context.Context) *Revocable {
	r, _ := ctx.Value(revocableKey{}).(*Revocable)
	return r
}

// BeginRun reports whether the request with the context ctx may be sent to a server. It
// must be called before the first byte is sent; from then on the request cannot be
// revoked.
func BeginRun(ctx context.Context) bool {
	r := RevocableOf(ctx)
	return r == nil || r.Begin()
}

// Begin marks the request as begun. It returns false if it was revoked, and revokes it if
// it is not expected to end in time.
func (r *Revocable) Begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == revocableWaiting {
		if !r.end.IsZero() && r.slackLocked(time.Now()) < 0 {
			r.revokeLocked()
			return false
		}
		r.state = revocableBegun
	}
	return r.state != revocableRevoked
}

// Close ends the state, since the request has a result. It is not revoked any more.
func (r *Revocable) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != revocableRevoked {
		r.state = revocableClosed
	}
	r.forward = nil
	if r.timer != nil {
		r.timer.Stop()
	}
}

// Revoked reports whether the request was revoked.
func (r *Revocable) Revoked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == revocableRevoked
}

// Revoke revokes the request. It returns false if the request has begun.
func (r *Revocable) Revoke() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == revocableWaiting {
		r.revokeLocked()
	}
	return r.state == revocableRevoked
}

func (r *Revocable) revokeLocked() {
	r.state = revocableRevoked
	if r.cancel != nil {
		r.cancel()
	}
}

// EndBy sets the time by which the response must be complete. The request is revoked as
// soon as it can no longer run to its end by then. An earlier end stays.
func (r *Revocable) EndBy(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.end.IsZero() && !end.Before(r.end) {
		return
	}
	r.end = end
	if r.forward != nil {
		r.forward(end)
		return
	}
	r.checkEndLocked()
}

// ExpectRun sets the function that estimates how long the request would run if it began
// now.
func (r *Revocable) ExpectRun(expected func() time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = expected
	r.checkEndLocked()
}

// Forward records that the request is sent to another daemon, which decides whether it
// runs, and returns its end so far; zero is none. notify is called with an end that is set
// later, and must not block.
func (r *Revocable) Forward(notify func(end time.Time)) (end time.Time) {
	if r == nil {
		return time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forward = notify
	return r.end
}

// Reopen is called after a failed attempt, before the next one: until then the request
// neither runs nor is at another daemon.
func (r *Revocable) Reopen() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forward, r.expected = nil, nil
	if r.state == revocableBegun {
		r.state = revocableWaiting
	}
	r.checkEndLocked()
}

// slackLocked returns how much later the request may begin.
func (r *Revocable) slackLocked(now time.Time) time.Duration {
	slack := r.end.Sub(now)
	if r.expected != nil {
		slack -= r.expected()
	}
	return slack
}

// checkEndLocked revokes a request that can no longer end in time, and otherwise schedules
// the next check.
func (r *Revocable) checkEndLocked() {
	if r.end.IsZero() || r.forward != nil || r.state != revocableWaiting {
		return
	}
	slack := r.slackLocked(time.Now())
	switch {
	case slack <= 0:
		r.revokeLocked()
	case r.timer == nil:
		r.timer = time.AfterFunc(slack, r.checkEnd)
	default:
		r.timer.Reset(slack)
	}
}

func (r *Revocable) checkEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkEndLocked()
}
