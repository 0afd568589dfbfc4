package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// holders watches which servers hold the same keys at the same time.
type holders struct {
	w       *world
	mu      sync.Mutex
	servers []*server
	since   map[[2]string][]time.Time // of a common key, by pair of servers
	longest time.Duration
	detail  string
	done    chan struct{}
}

func watchHolders(w *world) *holders {
	h := &holders{w: w, since: map[[2]string][]time.Time{}, done: make(chan struct{})}
	go func() {
		for {
			select {
			case <-time.After(10 * time.Millisecond):
				h.look()
			case <-h.done:
				return
			}
		}
	}()
	return h
}

func (h *holders) add(s *server) *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, s)
	return s
}

func (s *server) held() (rows [][3]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || time.Now().After(s.until) {
		return nil
	}
	return s.holds
}

func (h *holders) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for i, a := range h.servers {
		for _, b := range h.servers[:i] {
			pair := [2]string{b.id, a.id}
			var both [65536]bool
			any := false
			rows := a.held()
			for _, x := range b.held() {
				for _, y := range rows {
					for k := max(x[0], y[0]); k <= min(x[1], y[1]); k++ {
						both[k], any = true, true
					}
				}
			}
			if h.since[pair] == nil {
				if !any {
					continue
				}
				h.since[pair] = make([]time.Time, 65536)
			}
			since := h.since[pair]
			for k := range both {
				switch {
				case !both[k]:
					since[k] = time.Time{}
				case since[k].IsZero():
					since[k] = now
				case now.Sub(since[k]) > h.longest:
					h.longest = now.Sub(since[k])
					h.detail = fmt.Sprintf("key %d is held by %s and %s for %v", k, b.id, a.id, h.longest)
				}
			}
		}
	}
}

func init() { cases["restarted-server"] = restartedServer }

// restartedServer: a server crashes and is back at its address 0.3 s later, with a new
// id. Soon after that a client begins to send a claim with a long body, which takes 2 s.
func restartedServer(w *world) bool {
	const (
		host     = "jepu9.example"
		deadline = 3000
		downTime = 300 * time.Millisecond
		lead     = 400 * time.Millisecond // heartbeats of the new server come so long before those of the other one
	)
	w.addCore(5)
	m1, m2 := w.addEdge("listing"), w.addEdge("listing")
	others := []*machine{w.addEdge("listing"), w.addEdge("listing"), w.addEdge("listing")}
	for _, m := range w.machines {
		m.run()
	}
	h := watchHolders(w)
	a := h.add(m1.startServer("i-a", 9, true, 20*time.Millisecond))
	c := h.add(m2.startServer("i-c", 9, true, 20*time.Millisecond, 400*time.Millisecond))
	defer a.stop()
	defer c.stop()
	for n, m := range others { // five servers in all, as catalogue has
		o := h.add(m.startServer([]string{"i-d", "i-e", "i-f"}[n], 9, true, 20*time.Millisecond, 400*time.Millisecond))
		defer o.stop()
	}
	if s := w.order(patch(object{"r-1": route(host, "/list/", "unsafe", "listing", deadline, 800, 1, 7)}, object{"listing": service(true, 7)}), 15*time.Second); s != 200 {
		must(errNotReady)
	}
	if !w.awaitReady(15*time.Second, append(others, m1, m2)...) {
		must(errNotReady)
	}
	for end := time.Now().Add(20 * time.Second); count(a.held()) < 8000 || count(c.held()) < 8000; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			must(errNotReady)
		}
	}
	time.Sleep(contact)
	key := a.held()[0][0] + 5
	for left := time.Duration(0); left < 1100*time.Millisecond || left > 1150*time.Millisecond; time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		left = time.Until(c.next)
		c.mu.Unlock()
	}
	b := a
	if w.trouble {
		w.note("server i-a crashes")
		a.stop()
		time.Sleep(downTime)
		c.mu.Lock()
		phase := time.Until(c.next) - lead
		c.mu.Unlock()
		b = h.add(m1.startServer("i-b", 9, true, 20*time.Millisecond, phase))
		defer b.stop()
		w.note("server i-b has started at the address of i-a, and will send its first heartbeat in %v", phase)
	}
	time.Sleep(50 * time.Millisecond)
	conn, err := m1.dial()
	must(err)
	id := newID()
	w.note("client at %s: %s POST /list/ with key %d and a deadline of %d ms begins", m1.name, id, key, deadline)
	_, _ = io.WriteString(conn, head("POST", host, "/list/"+id, id, deadline, fmt.Sprintf("%s: %d\r\nTransfer-Encoding: chunked\r\n", names["key"], key)))
	piece := make([]byte, 6000)
	res := result{id: id}
	for range 20 {
		if _, res.err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); res.err != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if res.err == nil {
		_, res.err = io.WriteString(conn, "0\r\n\r\n")
	}
	res.sent = time.Now()
	conn.read(&res, "POST", deadline*time.Millisecond)
	res.ended = time.Now()
	runs := a.ran(id) + c.ran(id)
	if b != a {
		runs += b.ran(id)
	}
	w.note("client: %s %v; it ran %d times", id, res, runs)
	time.Sleep(4 * time.Second)
	close(h.done)
	h.look()
	if h.detail == "" {
		h.detail = "no key is held by two servers"
	}
	w.note("longest: %s", h.detail)
	if h.longest > 500*time.Millisecond {
		w.note("OWNER: two servers that are up hold the same keys for over half a second")
		return true
	}
	return false
}
