package lease

import (
	"sync"

	"pollenlatch"
)

// Key names a shard under one assignment.
type Key struct {
	pollenlatch.Shard
	pollenlatch.Fence
}

// Counter counts requests in flight by shard, so that a hand-over can wait for
// them. The zero value is empty. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	n       map[Key]int
	waiting map[Key]func()
}

// Add counts one more request.
func (c *Counter) Add(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[Key]int)
	}
	c.n[k]++
}

// Done counts one request less and calls the function that waits for the last.
func (c *Counter) Done(k Key) {
	c.mu.Lock()
	c.n[k]--
	var f func()
	if c.n[k] <= 0 {
		delete(c.n, k)
		f = c.waiting[k]
		delete(c.waiting, k)
	}
	c.mu.Unlock()
	if f != nil {
		f()
	}
}

// Empty calls f once as soon as no request of k is in flight, which may be at
// once. A later call for the same k replaces f.
func (c *Counter) Empty(k Key, f func()) {
	c.mu.Lock()
	if c.n[k] > 0 {
		if c.waiting == nil {
			c.waiting = make(map[Key]func())
		}
		c.waiting[k] = f
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	f()
}

// Total returns the number of requests in flight.
func (c *Counter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, v := range c.n {
		n += v
	}
	return n
}
