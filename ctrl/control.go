package ctrl

import (
	"sync"
	"sync/atomic"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// retryAfter is the time after which a caller may try a daemon again that could
// not serve it.
const retryAfter = time.Second

// Control is what traffic sees of the control state: the newest Access, and the
// count of requests in flight. The zero value serves nothing. Counting comes
// before reading the view, and publishing a frozen shard comes before reading
// the count, so either the request is refused or the hand-over waits for it.
type Control struct {
	Clock pollenlatch.Clock // nil is the system's
	// AllowStale lets requests go on by the newest known state without a lease,
	// and while a shard is being handed over. It is for servers that check
	// their grants themselves. Before the first lease of this process there is
	// no such state: it may still be receiving commands of long ago.
	AllowStale bool

	access  atomic.Pointer[Access]
	counter lease.Counter

	mu      sync.Mutex
	changed chan struct{}
}

var emptyAccess = &Access{View: &state.State{}}

// Access returns the newest published access.
func (c *Control) Access() *Access {
	if a := c.access.Load(); a != nil {
		return a
	}
	return emptyAccess
}

// Publish replaces the access and wakes those who wait for a change.
func (c *Control) Publish(a Access) {
	c.access.Store(&a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Self returns this instance's number, or 0 before it has joined.
func (c *Control) Self() pollenlatch.InstanceID { return c.Access().Self }

// LeaseEnd returns the end of the usable lease, or 0.
func (c *Control) LeaseEnd() pollenlatch.MonoTime { return c.Access().LeaseEnd }

// JoinVersion returns the version of the first state that showed this process, or 0
// before.
func (c *Control) JoinVersion() pollenlatch.Version { return c.Access().JoinVersion }

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

// Serving returns nil while the lease lasts.
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
			Detail: "this instance holds no lease now",
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

// Acquire counts a request in flight.
func (c *Control) Acquire(s pollenlatch.Shard, f pollenlatch.Fence) (pollenlatch.Permit, error) {
	permit := &permit{control: c, key: lease.Key{Shard: s, Fence: f}}
	c.counter.Add(permit.key)
	if err := permit.checkNew(); err != nil {
		permit.Release()
		return nil, err
	}
	return permit, nil
}

// AwaitIdle calls f once nothing is in flight that the hand-over of the shard has
// to wait for.
func (c *Control) AwaitIdle(k lease.Key, f func()) {
	c.counter.AwaitIdle(k, func(k lease.Key) bool {
		a := c.Access()
		o, ok := a.View.ShardOwner(k.Shard)
		return ok && o.Instance == a.Self && o.Fence == k.Fence
	}, f)
}

// InFlight returns the number of requests in flight.
func (c *Control) InFlight() int { return c.counter.Total() }

// permit is the permission to run one request.
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
			Detail: "this instance is leaving",
		}
	}
	return p.check(a, true)
}

// Check returns nil while the lease lasts and the shard is owned with the fence.
func (p *permit) Check() error { return p.check(p.control.Access(), false) }

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
			Detail: "the key is moving to another owner",
		}
	}
	return nil
}

// Release ends the request.
func (p *permit) Release() {
	p.once.Do(func() { p.control.counter.Done(p.key) })
}

// ReleaseAfter ends the request once d has passed.
func (p *permit) ReleaseAfter(d time.Duration) { time.AfterFunc(d, p.Release) }
