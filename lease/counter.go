package lease

import (
	"slices"
	"sync"

	"pollenlatch"
)

// Key identifies a shard under one assignment, which has its own fence.
type Key struct {
	pollenlatch.Shard
	pollenlatch.Fence
}

// Counter counts requests in flight by shard and fence, so that a hand-over can
// wait for them. The zero value is empty. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	ranges map[pollenlatch.Shard]*rangeRequests // by shard of the range, without a key
	total  int
}

// rangeRequests counts the requests in flight in one range, including those of its
// hot keys.
type rangeRequests struct {
	counts  map[Key]int
	waiters []waiter
}

// waiter is a hand-over that waits for requests to complete.
type waiter struct {
	key       Key
	isCurrent func(Key) bool
	onIdle    func()
}

func rangeOf(s pollenlatch.Shard) pollenlatch.Shard {
	return pollenlatch.Shard{Service: s.Service, Range: s.Range}
}

// Add counts a request that starts.
func (c *Counter) Add(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranges == nil {
		c.ranges = make(map[pollenlatch.Shard]*rangeRequests)
	}
	r := c.ranges[rangeOf(k.Shard)]
	if r == nil {
		r = &rangeRequests{counts: make(map[Key]int)}
		c.ranges[rangeOf(k.Shard)] = r
	}
	r.counts[k]++
	c.total++
}

// Done counts a request that has completed, and notifies the hand-overs that need not
// wait any more.
func (c *Counter) Done(k Key) {
	c.mu.Lock()
	r := c.ranges[rangeOf(k.Shard)]
	if r == nil || r.counts[k] == 0 {
		c.mu.Unlock()
		return
	}
	c.total--
	r.counts[k]--
	if r.counts[k] > 0 {
		c.mu.Unlock()
		return
	}
	delete(r.counts, k)
	var ready []waiter
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool {
		if r.blocks(w) {
			return false
		}
		ready = append(ready, w)
		return true
	})
	if len(r.counts) == 0 && len(r.waiters) == 0 {
		delete(c.ranges, rangeOf(k.Shard))
	}
	c.mu.Unlock()
	for _, w := range ready {
		w.onIdle()
	}
}

// AwaitIdle calls onIdle once, as soon as no request is in flight that the hand-over
// of k must wait for. That may be before AwaitIdle returns. A hand-over waits for all
// requests of its shard, under any fence, and for requests of the same range whose key
// is not current any more. These may belong to the shard too, since the record of a
// hot key may have been created or removed, or the range got a new fence for the same
// owner, after they started.
func (c *Counter) AwaitIdle(k Key, isCurrent func(Key) bool, onIdle func()) {
	c.mu.Lock()
	w := waiter{key: k, isCurrent: isCurrent, onIdle: onIdle}
	if r := c.ranges[rangeOf(k.Shard)]; r != nil && r.blocks(w) {
		r.waiters = append(r.waiters, w)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	onIdle()
}

// blocks reports whether a hand-over must wait for a request in flight.
func (r *rangeRequests) blocks(w waiter) bool {
	for k := range r.counts {
		if k.Shard == w.key.Shard || !w.isCurrent(k) {
			return true
		}
	}
	return false
}

// Total returns the number of requests in flight.
func (c *Counter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
