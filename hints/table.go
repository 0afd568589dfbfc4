package hints

import (
	"sync"
	"time"

	"pollenlatch"
)

const (
	// maxAge is the age from which a hint says nothing. A server with 12 slots and runs of
	// 140 ms completes 80 runs in this time.
	maxAge = time.Second
	// maxFullAge is the age from which a hint no longer shows that a server is full. Its
	// next request may find a slot, and only a request can find that out.
	maxFullAge = 250 * time.Millisecond
	// maxInstances limits the instances whose hints are kept.
	maxInstances = 1 << 14
)

// Table holds the newest hint of each server. The zero value is ready to use. It is safe
// for concurrent use.
type Table struct {
	mu      sync.RWMutex
	epoch   time.Time // of the first hint
	servers []server  // by instance, which is faster than a map with 200 servers
}

// server is what is kept of the hint of a server. Times are counted from the epoch of the
// table.
type server struct {
	incarnation pollenlatch.Incarnation // 0 is no hint
	at          time.Duration
	fullUntil   time.Duration // it counts as full until then, for the classes below; 0 is not
	wait        time.Duration // expected wait
	refused     pollenlatch.Class
	lowest      pollenlatch.Class
}

// Record records a hint of the daemon of an instance; nil is none.
func (t *Table) Record(i pollenlatch.Instance, h *pollenlatch.ServerHint, now time.Time) {
	if h == nil || i.Endpoint == nil || i.ID >= maxInstances {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch.IsZero() {
		t.epoch = now
	}
	if n := int(i.ID) + 1; n > len(t.servers) {
		t.servers = append(t.servers, make([]server, n-len(t.servers))...)
	}
	s := server{
		incarnation: i.Endpoint.Incarnation, at: now.Sub(t.epoch), wait: time.Duration(h.WaitMillis) * time.Millisecond,
		refused: h.RefusedClass, lowest: h.LowestClass,
	}
	if h.FreeSlots == 0 && h.RefusedClass > 0 {
		s.fullUntil = s.at + min(maxFullAge, s.wait)
	}
	t.servers[i.ID] = s
}

// find returns the hint of an instance, or nil when there is none. The caller holds mu.
func (t *Table) find(i *pollenlatch.Instance) *server {
	if int(i.ID) >= len(t.servers) || i.Endpoint == nil {
		return nil
	}
	if s := &t.servers[i.ID]; s.incarnation == i.Endpoint.Incarnation && s.incarnation != 0 {
		return s
	}
	return nil
}

// Wait returns the expected wait at the best of the servers, or false when no hint is
// known of any.
func (t *Table) Wait(servers []pollenlatch.Instance, now time.Time) (best time.Duration, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	elapsed := now.Sub(t.epoch)
	for n := range servers {
		if s := t.find(&servers[n]); s != nil && elapsed-s.at < maxAge && (!known || s.wait < best) {
			best, known = s.wait, true
		}
	}
	return best, known
}

// Full reports whether all of the servers are known to be full of requests that are at
// least as urgent as one of a class: each of them has just refused such a request, and
// nothing less urgent waits or runs there. wait is the expected wait at the best of them.
// A hint holds no longer than the wait that it names, after which a slot may be free. A
// request whose caller has returned goes before those of its class, so that only the
// refusal of a more urgent one counts.
func (t *Table) Full(servers []pollenlatch.Instance, class pollenlatch.Class, returned bool, now time.Time) (wait time.Duration, full bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	elapsed := now.Sub(t.epoch)
	refused := class
	if returned {
		refused--
	}
	for n := range servers {
		s := t.find(&servers[n])
		if s == nil || elapsed >= s.fullUntil || s.refused > refused || s.lowest > class {
			return 0, false
		}
		if !full || s.wait < wait {
			wait, full = s.wait, true
		}
	}
	return wait, full
}
