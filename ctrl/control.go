package ctrl

import (
	"sync"
	"sync/atomic"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// retryAfter is the delay after which a caller may retry a request that this
// daemon could not serve.
const retryAfter = time.Second

// Control implements pollenlatch.Control for the request path. It holds the newest
// Access and counts the requests in flight. The zero value refuses all requests.
//
// A request is counted before its shard is looked up in the view, and a frozen
// shard is published before the count is read. So a request that races with a
// hand-over is either refused or waited for.
type Control struct {
	Clock pollenlatch.Clock // nil is SystemClock
	// AllowStale admits requests by the newest known state when the lease has
	// expired, and while a shard is being handed over. It is for servers that check
	// their grants themselves. It has no effect until the state includes the Join
	// of this process, since the process may be replaying old commands until then.
	AllowStale bool

	access  atomic.Pointer[Access]
	counter lease.Counter

	mu      sync.Mutex
	changed chan struct{}
}

var emptyAccess = &Access{View: &state.State{}}

// Access returns the newest published Access. It must not be changed.
func (c *Control) Access() *Access {
	if a := c.access.Load(); a != nil {
		return a
	}
	return emptyAccess
}

// Publish replaces the Access and closes the channel that Changed returned.
func (c *Control) Publish(a Access) {
	c.access.Store(&a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Self returns the number of this instance, or 0 before it has joined.
func (c *Control) Self() pollenlatch.InstanceID { return c.Access().Self }

// LeaseEnd returns the end of the usable lease, or 0.
func (c *Control) LeaseEnd() pollenlatch.MonoTime { return c.Access().LeaseEnd }

// JoinVersion returns the version of the first state that includes the Join of this
// process, or 0 when it has not received one yet.
func (c *Control) JoinVersion() pollenlatch.Version { return c.Access().JoinVersion }

// EvacuatedSince returns since when a data centre may have been evacuated, as far as
// this process knows, or 0 when it is not evacuated.
func (c *Control) EvacuatedSince(dc string) pollenlatch.MonoTime {
	return c.Access().EvacuatedSince[dc]
}

// View returns the newest state.
func (c *Control) View() pollenlatch.View { return c.Access().View }

// Changed returns a channel that is closed at the next Publish.
func (c *Control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// HasLease reports whether the lease is valid.
func (c *Control) HasLease() bool { return c.now() < c.LeaseEnd() }

// Serving returns nil while the lease is valid, or while AllowStale applies.
func (c *Control) Serving() error {
	return c.serving(c.Access())
}

func (c *Control) serving(a *Access) error {
	if c.AllowStale && a.JoinVersion > 0 {
		return nil
	}
	if c.now() >= a.LeaseEnd {
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonNoLease, Status: 503, RetryAfter: retryAfter,
			Detail: "this instance has no valid lease",
		}
	}
	return nil
}

func (c *Control) now() pollenlatch.MonoTime {
	if c.Clock == nil {
		return pollenlatch.SystemClock{}.Now()
	}
	return c.Clock.Now()
}

// Acquire registers a request in flight and checks that it may run. A zero shard
// stands for a request that is not routed by shard.
func (c *Control) Acquire(s pollenlatch.Shard, f pollenlatch.Fence) (pollenlatch.Permit, error) {
	permit := &permit{control: c, key: lease.Key{Shard: s, Fence: f}}
	c.counter.Add(permit.key)
	if err := permit.checkNew(); err != nil {
		permit.Release()
		return nil, err
	}
	return permit, nil
}

// AwaitIdle calls f as soon as no request is in flight that the hand-over of the
// shard must wait for. That may be before AwaitIdle returns.
func (c *Control) AwaitIdle(k lease.Key, f func()) {
	c.counter.AwaitIdle(k, func(k lease.Key) bool {
		a := c.Access()
		o, ok := a.View.ShardOwner(k.Shard)
		return ok && o.Instance == a.Self && o.Fence == k.Fence
	}, f)
}

// InFlight returns the number of requests in flight.
func (c *Control) InFlight() int { return c.counter.Total() }

// permit implements pollenlatch.Permit.
type permit struct {
	control *Control
	key     lease.Key
	once    sync.Once
}

func (p *permit) checkNew() error {
	a := p.control.Access()
	if a.Closed {
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonDraining, Status: 503, RetryAfter: retryAfter,
			Detail: "this instance is shutting down",
		}
	}
	return p.check(a, true)
}

// Check returns nil while the lease is valid and this instance owns the shard with
// the fence of the permit.
func (p *permit) Check() error { return p.check(p.control.Access(), false) }

// check also refuses a new request for a shard that is being handed over. Requests
// that are already in flight may continue.
func (p *permit) check(a *Access, newRequest bool) error {
	if err := p.control.serving(a); err != nil {
		return err
	}
	if p.key.Service == "" {
		return nil
	}
	o, ok := a.View.ShardOwner(p.key.Shard)
	switch {
	case !ok || o.Instance != a.Self || o.Fence != p.key.Fence:
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonWrongOwner, Status: 503, RetryAfter: retryAfter,
			Detail: "this instance does not own the key",
		}
	case newRequest && !p.control.AllowStale && o.Frozen() && o.Next != a.Self:
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonNoOwner, Status: 503, RetryAfter: retryAfter,
			Detail: "the key is being handed over to another instance",
		}
	}
	return nil
}

// Release says that the request has completed.
func (p *permit) Release() {
	p.once.Do(func() { p.control.counter.Done(p.key) })
}

// ReleaseAfter calls Release after d.
func (p *permit) ReleaseAfter(d time.Duration) { time.AfterFunc(d, p.Release) }
