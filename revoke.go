package pollenlatch

import (
	"context"
	"sync/atomic"
)

// Revocable is the state of a forwarded request that its sender may revoke as long as it
// has not begun to run. It decides between the two, so that a request which was revoked is
// never sent to a server. The zero value has not begun and is not revoked.
type Revocable struct {
	state  atomic.Int32
	cancel func()
}

// States of a Revocable.
const (
	revocableWaiting = iota
	revocableBegun
	revocableRevoked
)

type revocableKey struct{}

// NewRevocable returns the state of a new request. cancel is called when it is revoked.
func NewRevocable(cancel func()) *Revocable { return &Revocable{cancel: cancel} }

// WithRevocable returns a context for a request that r may revoke.
func WithRevocable(ctx context.Context, r *Revocable) context.Context {
	return context.WithValue(ctx, revocableKey{}, r)
}

// BeginRun reports whether the request with the context ctx may be sent to a server. It
// must be called before the first byte is sent; from then on the request cannot be
// revoked.
func BeginRun(ctx context.Context) bool {
	r, ok := ctx.Value(revocableKey{}).(*Revocable)
	return !ok || r.Begin()
}

// Begin marks the request as begun. It returns false if it was revoked.
func (r *Revocable) Begin() bool {
	return r.state.CompareAndSwap(revocableWaiting, revocableBegun) || r.state.Load() == revocableBegun
}

// Revoked reports whether the request was revoked.
func (r *Revocable) Revoked() bool { return r.state.Load() == revocableRevoked }

// Revoke revokes the request. It returns false if the request has begun.
func (r *Revocable) Revoke() bool {
	if r.state.CompareAndSwap(revocableWaiting, revocableRevoked) && r.cancel != nil {
		r.cancel()
	}
	return r.state.Load() == revocableRevoked
}
