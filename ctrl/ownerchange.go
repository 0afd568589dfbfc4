package ctrl

import (
	"sync"
	"time"

	"pollenlatch/lease"
)

// maxOwnerChanges limits the newest owner changes that are kept for operators.
const maxOwnerChanges = 4096

// OwnerChange says when and why a shard got its present fence.
type OwnerChange struct {
	AppliedAt time.Time // when this process applied the change
	Reason    string    // from the planner; empty when this process did not lead
}

// ownerChanges keeps the newest owner changes. The zero value is empty. It is safe
// for concurrent use.
type ownerChanges struct {
	mu    sync.Mutex
	byKey map[lease.Key]OwnerChange
	order []lease.Key
}

func (o *ownerChanges) add(m ShardsChanged, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey == nil {
		o.byKey = make(map[lease.Key]OwnerChange)
	}
	for i, k := range m.Keys {
		if old, ok := o.byKey[k]; ok {
			if old.Reason == "" { // a frozen shard keeps its fence
				old.Reason = m.Reasons[i]
				o.byKey[k] = old
			}
			continue
		}
		o.byKey[k] = OwnerChange{AppliedAt: now, Reason: m.Reasons[i]}
		o.order = append(o.order, k)
	}
	for len(o.order) > maxOwnerChanges {
		delete(o.byKey, o.order[0])
		o.order = o.order[1:]
	}
}

func (o *ownerChanges) get(k lease.Key) (OwnerChange, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change, ok := o.byKey[k]
	return change, ok
}
