package main

import (
	"fmt"
	"sync"
	"time"
)

// ownerCheck watches for two servers that hold the same keys for over half a second.
type ownerCheck struct {
	mu      sync.Mutex
	servers []*server
	since   [keys]time.Time
	worst   time.Duration
	text    string
	done    chan struct{}
	early   int    // keys given while another server was still at work on them
	first   string // of them
}

func (c *ownerCheck) add(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
	s.onGiven = c.given
}

// given checks keys that a server has just got: no other server that is up may still be
// at work on them whose hold would not have run out yet.
func (c *ownerCheck) given(to *server, keys []int) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s == to {
			continue
		}
		s.mu.Lock()
		for _, k := range keys {
			if !s.up || s.working[k] == 0 || !now.Before(s.heldUntil[k]) {
				continue
			}
			c.early++
			text := fmt.Sprintf("key %d given to %s while %s is at work on it, whose hold would have lasted %v longer", k, to.id, s.id, s.heldUntil[k].Sub(now).Round(time.Millisecond))
			if c.first == "" {
				c.first = text
			}
			to.m.d.log("check: %s", text)
		}
		s.mu.Unlock()
	}
}

// givenEarly returns how many keys were given while another server was at work on them.
func (c *ownerCheck) givenEarly() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.early, c.first
}

func (c *ownerCheck) run(d *deployment) {
	c.done = make(chan struct{})
	go func() {
		for {
			select {
			case <-c.done:
				return
			case <-time.After(25 * time.Millisecond):
				c.look(d)
			}
		}
	}()
}

func (c *ownerCheck) look(d *deployment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var holder [keys]*server
	var twice [keys]bool
	first, second := map[string]int{}, ""
	for _, s := range c.servers {
		s.mu.Lock()
		s.expire(now)
		if s.up {
			for k, f := range s.fences {
				if f == 0 {
					continue
				}
				if holder[k] != nil {
					twice[k] = true
					second = holder[k].id + " and " + s.id
					first[second]++
				}
				holder[k] = s
			}
		}
		s.mu.Unlock()
	}
	longest := time.Duration(0)
	for k := range twice {
		if !twice[k] {
			c.since[k] = time.Time{}
			continue
		}
		if c.since[k].IsZero() {
			c.since[k] = now
		}
		longest = max(longest, now.Sub(c.since[k]))
	}
	if longest > c.worst {
		if c.worst == 0 {
			d.log("check: keys are held by two servers: %v", first)
		}
		c.worst = longest
		c.text = fmt.Sprintf("keys held by two servers at once for %v; keys by pair: %v", longest.Round(time.Millisecond), first)
	}
}

// result returns the longest time for which two servers held the same key.
func (c *ownerCheck) result() (time.Duration, string) {
	close(c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst, c.text
}
