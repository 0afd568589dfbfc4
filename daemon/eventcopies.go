package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/burn"
)

const (
	// eventCopyInterval is the interval at which a daemon copies the events of its
	// predecessor. A daemon that restarts without a data folder loses its events
	// since the last copy.
	eventCopyInterval = 20 * time.Second
	// maxEventCopies limits the memory for copies: a full counter takes about
	// 6.6 MB. The second copy is that of the former predecessor, which may be
	// restarting.
	maxEventCopies = 2
	// overlapMinutes is the number of minutes that are fetched again, since the
	// counts of a minute change until its end.
	overlapMinutes = 2
)

// eventCopies holds copies of other daemons' events, the newest predecessor
// first. The zero value is empty.
type eventCopies struct {
	mu       sync.Mutex
	counters []*burn.Counter
}

// get returns the copy of a daemon's events, or nil.
func (c *eventCopies) get(name string) *burn.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.counters {
		if b.Daemon == name {
			return b
		}
	}
	return nil
}

// getOrCreate returns the copy of a daemon's events, or a new empty one.
func (c *eventCopies) getOrCreate(name string) *burn.Counter {
	if b := c.get(name); b != nil {
		return b
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters = append([]*burn.Counter{{Daemon: name}}, c.counters...)
	c.counters = c.counters[:min(len(c.counters), maxEventCopies)]
	return c.counters[0]
}

// replicateEvents copies the events of the predecessor at an interval until ctx
// ends. After a start without a data folder it first restores this daemon's own
// events from the copy that the successor has.
func (d *Daemon) replicateEvents(ctx context.Context) {
	t := time.NewTicker(eventCopyInterval)
	defer t.Stop()
	restored := d.cfg.Data != ""
	for {
		changed := d.control.Changed()
		if d.control.Serving() == nil {
			if !restored {
				d.restoreEvents(ctx)
				restored = true
			}
			d.copyEvents(ctx)
		} else {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// neighbours returns the instances before and after this one in the ring of
// instances that hold a lease, sorted by ID. ok is false when this instance holds
// no lease or is the only one.
func (d *Daemon) neighbours() (predecessor, successor pollenlatch.Instance, ok bool) {
	a := d.control.Access()
	var alive []pollenlatch.Instance
	self := -1
	for _, i := range a.State().Instances() {
		if i.ID == a.Self {
			self = len(alive)
		}
		if i.Alive() {
			alive = append(alive, i)
		}
	}
	n := len(alive)
	if self < 0 || n < 2 || alive[self].ID != a.Self {
		return predecessor, successor, false
	}
	return alive[(self+n-1)%n], alive[(self+1)%n], true
}

func (d *Daemon) restoreEvents(ctx context.Context) {
	_, successor, ok := d.neighbours()
	if !ok {
		return
	}
	if err := d.fetchEvents(ctx, successor, d.cfg.Name, 0, d.events.Restore); err != nil {
		klog.V(1).InfoS("earlier events of this daemon could not be restored", "from", successor.Name, "err", err)
	}
}

func (d *Daemon) copyEvents(ctx context.Context) {
	predecessor, _, ok := d.neighbours()
	if !ok {
		return
	}
	c := d.eventCopies.getOrCreate(predecessor.Name)
	after := int64(0)
	if r := c.Report(0); len(r.Minutes) > 0 {
		after = r.Minutes[len(r.Minutes)-1].Minute - overlapMinutes
	}
	if err := d.fetchEvents(ctx, predecessor, "", after, c.Update); err != nil {
		klog.V(1).InfoS("events of the predecessor could not be copied", "from", predecessor.Name, "err", err)
	}
}
