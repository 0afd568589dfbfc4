// Package sketch counts requests by range and finds the hottest keys, with limited
// memory and little work on the request path.
//
// Requests are counted in intervals. EndInterval adds an interval to moving averages
// of the rates, so that the request path only increments integers.
package sketch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

const (
	pageBits = 8 // a page has the counters of 1<<pageBits ranges
	pageSize = 1 << pageBits
	numPages = 1 << (pollenlatch.MaxRangeBits - pageBits)

	// numStripes limits the contention between requests. slotsPerStripe limits the
	// keys that a stripe counts. The count of a key is too high by at most the
	// requests of its stripe in the interval, divided by slotsPerStripe.
	numStripes     = 8
	slotsPerStripe = 32
)

// Settings configures the reports of a sketch. A zero field stands for its default.
type Settings struct {
	Decay    time.Duration // time constant of the moving averages; default 5 s
	MaxKeys  int           // maximum number of hot keys in a report; default 8
	MaxBytes int           // maximum encoded size of the hot keys and ranges in a report; default 640
}

const (
	defaultDecay    = 5 * time.Second
	defaultMaxKeys  = 8
	defaultMaxBytes = 640
)

// Sketch counts requests. The zero value is ready to use. Add is safe for
// concurrent use, also with EndInterval. EndInterval must not be called
// concurrently.
type Sketch struct {
	Settings Settings

	mu       sync.Mutex // serialises changes of services
	services atomic.Pointer[map[string]*counters]
	total    atomic.Uint64
	rates    rates
}

// counters holds the counts of one service in the current interval.
type counters struct {
	pages   [numPages]atomic.Pointer[page]
	stripes [numStripes]stripe
}

type page [pageSize]atomic.Uint32

// Add counts one request. The key may be empty. A request whose shard is a hot key
// with its own record counts for the key and not for its range. A request with a
// zero shard counts only for the total.
func (s *Sketch) Add(shard pollenlatch.Shard, key string) {
	s.total.Add(1)
	if shard.Service == "" {
		return
	}
	c := s.countersOf(shard.Service)
	if shard.Key == "" {
		c.countRange(shard.Range)
	}
	if key == "" {
		key = shard.Key
	}
	if key != "" {
		h := xxhash.Sum64String(key)
		c.stripes[h%numStripes].add(h, key)
	}
}

// countersOf returns the counters of a service, and creates them for a new service.
func (s *Sketch) countersOf(name string) *counters {
	if m := s.services.Load(); m != nil {
		if c, ok := (*m)[name]; ok {
			return c
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*counters)
	if m := s.services.Load(); m != nil {
		if c, ok := (*m)[name]; ok {
			return c
		}
		for k, v := range *m {
			next[k] = v
		}
	}
	c := &counters{}
	next[name] = c
	s.services.Store(&next)
	return c
}

// countRange increments the counter of a range. A range above the maximum is not
// counted.
func (c *counters) countRange(r pollenlatch.Range) {
	if int(r) >= numPages*pageSize {
		return
	}
	pagePtr := &c.pages[r>>pageBits]
	p := pagePtr.Load()
	if p == nil {
		pagePtr.CompareAndSwap(nil, &page{})
		p = pagePtr.Load()
	}
	p[r%pageSize].Add(1)
}

// stripe counts keys with the Space-Saving algorithm: a new key replaces the one
// with the lowest count, and inherits that count as the amount by which its own
// count may be too high.
type stripe struct {
	mu         sync.Mutex
	hashes     [slotsPerStripe]uint64
	counts     [slotsPerStripe]uint32 // 0 is a free slot
	overcounts [slotsPerStripe]uint32 // part of counts that may belong to replaced keys
	keys       [slotsPerStripe]string
	_          [64]byte // keeps the locks of two stripes on different cache lines
}

func (t *stripe) add(h uint64, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.hashes {
		if t.hashes[i] == h && t.counts[i] > 0 && t.keys[i] == key {
			t.counts[i]++
			return
		}
	}
	lowest := 0
	for i := range t.counts {
		if t.counts[i] < t.counts[lowest] {
			lowest = i
		}
	}
	t.overcounts[lowest] = t.counts[lowest]
	t.counts[lowest]++
	t.hashes[lowest] = h
	t.keys[lowest] = string([]byte(key)) // copied, since the buffer of the request is reused
}

// takeCounts calls f for every key with the minimum of its true count, and resets
// the stripe.
func (t *stripe) takeCounts(f func(key string, n uint32)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.counts {
		if n := t.counts[i] - t.overcounts[i]; n > 0 {
			f(t.keys[i], n)
		}
		t.counts[i], t.overcounts[i], t.hashes[i], t.keys[i] = 0, 0, 0, ""
	}
}
