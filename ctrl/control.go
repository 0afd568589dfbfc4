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
func (d *Control) Access() *Access {
	if a := d.access.Load(); a != nil {
		return a
	}
	return emptyAccess
}

// Publish replaces the access and wakes those who wait for a change.
func (d *Control) Publish(a Access) {
	d.access.Store(&a)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Self returns this instance's number, or 0 before it has joined.
func (d *Control) Self() pollenlatch.InstanceID { return d.Access().Self }

// LeaseEnd returns the end of the usable lease, or 0.
func (d *Control) LeaseEnd() pollenlatch.MonoTime { return d.Access().LeaseEnd }

// JoinVersion returns the version of the first state that showed this process, or 0
// before.
func (d *Control) JoinVersion() pollenlatch.Version { return d.Access().JoinVersion }

// View returns the newest state.
func (d *Control) View() pollenlatch.View { return d.Access().View }

// Changed returns a channel that is closed at the next Publish.
func (d *Control) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// Serving returns nil while the lease lasts.
func (d *Control) Serving() error {
	return d.serving(d.Access())
}

func (d *Control) serving(a *Access) error {
	if d.AllowStale && a.JoinVersion > 0 {
		return nil
	}
	if d.now() >= a.LeaseEnd {
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonNoLease, Status: 503, RetryAfter: retryAfter,
			Detail: "this instance holds no lease now",
		}
	}
	return nil
}

func (d *Control) now() pollenlatch.MonoTime {
	if d.Clock == nil {
		return pollenlatch.SystemClock{}.Now()
	}
	return d.Clock.Now()
}

// Acquire counts a request in flight.
func (d *Control) Acquire(s pollenlatch.Shard, f pollenlatch.Fence) (pollenlatch.Permit, error) {
	p := &pass{desk: d, key: lease.Key{Shard: s, Fence: f}}
	d.counter.Add(p.key)
	if err := p.admissible(); err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

// AwaitIdle calls f once nothing is in flight that the hand-over of the shard has
// to wait for.
func (d *Control) AwaitIdle(k lease.Key, f func()) {
	d.counter.AwaitIdle(k, func(k lease.Key) bool {
		a := d.Access()
		o, ok := a.View.ShardOwner(k.Shard)
		return ok && o.Instance == a.Self && o.Fence == k.Fence
	}, f)
}

// InFlight returns the number of requests in flight.
func (d *Control) InFlight() int { return d.counter.Total() }

// pass is the permission to run one request.
type pass struct {
	desk *Control
	key  lease.Key
	once sync.Once
}

func (p *pass) admissible() error {
	a := p.desk.Access()
	if a.Closed {
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonDraining, Status: 503, RetryAfter: retryAfter,
			Detail: "this instance is leaving",
		}
	}
	return p.check(a, true)
}

// Check returns nil while the lease lasts and the shard is owned with the fence.
func (p *pass) Check() error { return p.check(p.desk.Access(), false) }

func (p *pass) check(a *Access, entering bool) error {
	if err := p.desk.serving(a); err != nil {
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
	case entering && !p.desk.AllowStale && o.Frozen() && o.Next != a.Self:
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonNoOwner, Status: 503, RetryAfter: retryAfter,
			Detail: "the key is moving to another owner",
		}
	}
	return nil
}

// Release ends the request.
func (p *pass) Release() {
	p.once.Do(func() { p.desk.counter.Done(p.key) })
}

// ReleaseAfter ends the request once d has passed.
func (p *pass) ReleaseAfter(d time.Duration) { time.AfterFunc(d, p.Release) }
