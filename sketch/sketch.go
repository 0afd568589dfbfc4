// Package sketch counts requests by range and finds the hottest keys, with
// bounded memory and little work on the request path.
//
// Requests are counted in intervals. EndInterval ends an interval and folds it into
// rates that decay, so that the request path only adds integers.
package sketch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

const (
	pageBits = 8 // ranges of a page of counters
	pageSize = 1 << pageBits
	pages    = 1 << (pollenlatch.MaxRangeBits - pageBits)

	// stripes bounds the waiting of requests for each other; slots bounds the
	// keys that a stripe counts. A key's count is too high by at most the
	// stripe's requests in the interval divided by slots.
	stripes = 8
	slots   = 32
)

// Settings bounds what a sketch remembers and reports. A zero field takes its
// default.
type Settings struct {
	Decay    time.Duration // time constant of the rates; default 5 s
	MaxKeys  int           // most hot keys in a report; default 8
	MaxBytes int           // most encoded bytes of hot keys and ranges in a report; default 640
}

const (
	defaultDecay = 5 * time.Second
	defaultKeys  = 8
	defaultBytes = 640
)

// Sketch counts requests. The zero value is ready to use. Add is safe for
// concurrent use, also with EndInterval; EndInterval is called by one goroutine.
type Sketch struct {
	Settings Settings

	mu       sync.Mutex // changes of services
	services atomic.Pointer[map[string]*counters]
	all      atomic.Uint64
	rates    rates
}

// counters are the counts of one service in this interval.
type counters struct {
	pages   [pages]atomic.Pointer[page]
	stripes [stripes]stripe
}

type page [pageSize]atomic.Uint32

// Add counts one request. The key may be empty. A request whose shard is a hot
// key with its own record counts for the key and not for its range, and one
// with a zero shard only for the total.
func (s *Sketch) Add(p pollenlatch.Shard, key string) {
	s.all.Add(1)
	if p.Service == "" {
		return
	}
	c := s.service(p.Service)
	if p.Key == "" {
		c.count(p.Range)
	}
	if key == "" {
		key = p.Key
	}
	if key != "" {
		h := xxhash.Sum64String(key)
		c.stripes[h%stripes].add(h, key)
	}
}

// service returns the counters of a service, which it makes when it is new.
func (s *Sketch) service(name string) *counters {
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

// count adds one to a range. A range that no service can have is not counted.
func (c *counters) count(r pollenlatch.Range) {
	if int(r) >= pages*pageSize {
		return
	}
	at := &c.pages[r>>pageBits]
	p := at.Load()
	if p == nil {
		at.CompareAndSwap(nil, &page{})
		p = at.Load()
	}
	p[r%pageSize].Add(1)
}

// stripe counts keys by the Space-Saving algorithm: a new key takes the place
// of the one with the lowest count and inherits that count as its error.
type stripe struct {
	mu   sync.Mutex
	hash [slots]uint64
	n    [slots]uint32 // 0 is a free slot
	err  [slots]uint32
	key  [slots]string
	_    [64]byte // keeps the locks of two stripes on different cache lines
}

func (t *stripe) add(h uint64, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.hash {
		if t.hash[i] == h && t.n[i] > 0 && t.key[i] == key {
			t.n[i]++
			return
		}
	}
	least := 0
	for i := range t.n {
		if t.n[i] < t.n[least] {
			least = i
		}
	}
	t.err[least] = t.n[least]
	t.n[least]++
	t.hash[least] = h
	t.key[least] = string([]byte(key)) // the request's buffer is used again
}

// take calls f for the keys of the interval with the count that is certain,
// and starts the next interval.
func (t *stripe) take(f func(key string, n uint32)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.n {
		if n := t.n[i] - t.err[i]; n > 0 {
			f(t.key[i], n)
		}
		t.n[i], t.err[i], t.hash[i], t.key[i] = 0, 0, 0, ""
	}
}
