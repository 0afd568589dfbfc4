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
	// copyInterval is how often a daemon copies its neighbour's events. A
	// daemon that restarts without a data folder loses those since then.
	copyInterval = 20 * time.Second
	// copiesKept bounds the memory: a full counter takes about 6.6 MB. The
	// second is that of the neighbour before, which may be starting again.
	copiesKept = 2
	// overlap is fetched again, since a minute changes until its end.
	overlap = 2 // minutes
)

// copies are the events of other daemons, the newest neighbour first. The zero
// value is empty.
type copies struct {
	mu   sync.Mutex
	list []*burn.Counter
}

// get returns the copy of a daemon's events, or nil.
func (c *copies) get(of string) *burn.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.list {
		if b.Daemon == of {
			return b
		}
	}
	return nil
}

// begin returns the copy of a neighbour's events, empty if it is a new one.
func (c *copies) begin(of string) *burn.Counter {
	if b := c.get(of); b != nil {
		return b
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append([]*burn.Counter{{Daemon: of}}, c.list...)
	c.list = c.list[:min(len(c.list), copiesKept)]
	return c.list[0]
}

// exchange restores this daemon's events from its neighbour after a start
// without a data folder, then copies those of the neighbour on the other side,
// until ctx ends.
func (d *Daemon) exchange(ctx context.Context) {
	t := time.NewTicker(copyInterval)
	defer t.Stop()
	restored := d.cfg.Data != ""
	for {
		changed := d.desk.Changed()
		if d.desk.Serving() == nil {
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

// neighbours returns the instances with a lease before and after this one, in
// the order of their numbers, which goes round.
func (d *Daemon) neighbours() (before, after pollenlatch.Instance, ok bool) {
	a := d.desk.Access()
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
		return before, after, false
	}
	return alive[(self+n-1)%n], alive[(self+1)%n], true
}

func (d *Daemon) restoreEvents(ctx context.Context) {
	_, after, ok := d.neighbours()
	if !ok {
		return
	}
	if err := d.fetch(ctx, after, d.cfg.Name, 0, d.burn.Restore); err != nil {
		klog.V(1).InfoS("no earlier events of this daemon", "from", after.Name, "err", err)
	}
}

func (d *Daemon) copyEvents(ctx context.Context) {
	before, _, ok := d.neighbours()
	if !ok {
		return
	}
	c := d.copies.begin(before.Name)
	from := int64(0)
	if r := c.Report(0); len(r.Minutes) > 0 {
		from = r.Minutes[len(r.Minutes)-1].Minute - overlap
	}
	if err := d.fetch(ctx, before, "", from, c.Update); err != nil {
		klog.V(1).InfoS("events of the neighbour not copied", "from", before.Name, "err", err)
	}
}
