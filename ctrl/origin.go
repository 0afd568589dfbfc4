package ctrl

import (
	"sync"
	"time"

	"pollenlatch/lease"
)

// originsKept bounds the newest changes of owners that are kept for operators.
const originsKept = 4096

// Origin tells how a shard got its present fence.
type Origin struct {
	Since  time.Time // when this process applied it
	Reason string    // of the planner; empty where this process did not lead then
}

// origins keeps the newest changes of owners. The zero value is empty.
type origins struct {
	mu    sync.Mutex
	byKey map[lease.Key]Origin
	order []lease.Key
}

func (o *origins) add(m Moved, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey == nil {
		o.byKey = make(map[lease.Key]Origin)
	}
	for i, k := range m.Keys {
		if old, ok := o.byKey[k]; ok {
			if old.Reason == "" { // a frozen shard keeps its fence
				old.Reason = m.Reasons[i]
				o.byKey[k] = old
			}
			continue
		}
		o.byKey[k] = Origin{Since: now, Reason: m.Reasons[i]}
		o.order = append(o.order, k)
	}
	for len(o.order) > originsKept {
		delete(o.byKey, o.order[0])
		o.order = o.order[1:]
	}
}

func (o *origins) get(k lease.Key) (Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.byKey[k]
	return g, ok
}
