package lease

import (
	"slices"
	"sync"

	"pollenlatch"
)

// Key names a shard under one assignment.
type Key struct {
	pollenlatch.Shard
	pollenlatch.Fence
}

// Counter counts requests in flight by shard and fence, so that a hand-over can
// wait for them. The zero value is empty. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	ranges map[pollenlatch.Shard]*inFlight // by range
	total  int
}

// inFlight is what is in flight in one range, its hot keys included.
type inFlight struct {
	n     map[Key]int
	waits []wait
}

// wait is a hand-over that waits for requests.
type wait struct {
	key     Key
	current func(Key) bool
	done    func()
}

func rangeOf(s pollenlatch.Shard) pollenlatch.Shard {
	return pollenlatch.Shard{Service: s.Service, Range: s.Range}
}

// Add counts one more request.
func (c *Counter) Add(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranges == nil {
		c.ranges = make(map[pollenlatch.Shard]*inFlight)
	}
	r := c.ranges[rangeOf(k.Shard)]
	if r == nil {
		r = &inFlight{n: make(map[Key]int)}
		c.ranges[rangeOf(k.Shard)] = r
	}
	r.n[k]++
	c.total++
}

// Done counts one request less and tells the hand-overs that waited for it.
func (c *Counter) Done(k Key) {
	c.mu.Lock()
	r := c.ranges[rangeOf(k.Shard)]
	if r == nil || r.n[k] == 0 {
		c.mu.Unlock()
		return
	}
	c.total--
	r.n[k]--
	if r.n[k] > 0 {
		c.mu.Unlock()
		return
	}
	delete(r.n, k)
	var ended []wait
	r.waits = slices.DeleteFunc(r.waits, func(w wait) bool {
		if r.blocks(w) {
			return false
		}
		ended = append(ended, w)
		return true
	})
	if len(r.n) == 0 && len(r.waits) == 0 {
		delete(c.ranges, rangeOf(k.Shard))
	}
	c.mu.Unlock()
	for _, w := range ended {
		w.done()
	}
}

// AwaitIdle calls done once as soon as nothing is in flight that the hand-over of k
// has to wait for, which may be at once: requests of its shard under any fence,
// and those of the range under a fence that is not current any more. The latter
// may be of this shard too, since a key may have had its record made or removed
// and a range a new fence for the same owner.
func (c *Counter) AwaitIdle(k Key, current func(Key) bool, done func()) {
	c.mu.Lock()
	w := wait{key: k, current: current, done: done}
	if r := c.ranges[rangeOf(k.Shard)]; r != nil && r.blocks(w) {
		r.waits = append(r.waits, w)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	done()
}

// blocks reports whether a request in flight holds up a hand-over.
func (r *inFlight) blocks(w wait) bool {
	for k := range r.n {
		if k.Shard == w.key.Shard || !w.current(k) {
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
