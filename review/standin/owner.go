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
}

func (c *ownerCheck) add(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
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
