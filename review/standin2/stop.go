package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["waiting-at-stop"] = waitingAtStop }

// waitingAtStop: a machine gets SIGTERM while uploads of its clients, which it has read
// completely, wait there for a server of their service, which has none yet.
func waitingAtStop(w *world) bool {
	const host, deadline = "jepu9.example", 8000
	w.addCore(5)
	a, b := w.addEdge("claims"), w.addEdge("claims")
	for _, m := range w.machines {
		m.run()
	}
	sa := a.startServer("i-1", 9, false, 50*time.Millisecond)
	defer sa.stop()
	sb := b.startServer("i-2", 9, false, 50*time.Millisecond)
	defer sb.stop()
	if s := w.order(patch(object{
		"r-1": route(host, "/sheets/", "upload", "rateload", deadline, 1200, 1, 7),
		"r-2": route(host, "/claim/", "unsafe", "claims", 3000, 800, 1, 7),
	}, object{"rateload": service(false, 7), "claims": service(false, 7)}), 15*time.Second); s != 200 {
		must(errNotReady)
	}
	if !w.awaitReady(15*time.Second, a, b) {
		must(errNotReady)
	}
	time.Sleep(contact + time.Second)
	var conns []*conn
	for range 10 { // kept connections, on each of which a claim is made
		c, err := b.dial()
		must(err)
		id := newID()
		res := c.exchange(head("POST", host, "/claim/"+id, id, 3000, "Content-Length: 4\r\n")+"bale", "POST", id, 3*time.Second)
		w.note("client at %s: %s POST /claim/ %v", b.name, id, res)
		conns = append(conns, c)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []result
	var term time.Time
	body := make([]byte, 1200)
	for n, c := range conns {
		wg.Go(func() {
			time.Sleep(time.Duration(50*n) * time.Millisecond)
			id := newID()
			res := c.exchange(head("POST", host, "/sheets/"+id, id, deadline, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+string(body), "POST", id, (deadline+1000)*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			w.note("client at %s: %s POST /sheets/, sent %.1f s after the signal: %v", b.name, id, res.sent.Sub(term).Seconds(), res)
			results = append(results, res)
		})
	}
	time.Sleep(600 * time.Millisecond)
	mu.Lock()
	term = time.Now()
	mu.Unlock()
	if w.trouble {
		b.signal(syscall.SIGTERM)
		select {
		case <-b.ended:
			w.note("%s has ended %.2f s after SIGTERM", b.name, time.Since(term).Seconds())
		case <-time.After(graceSeconds * time.Second):
			b.signal(syscall.SIGKILL)
		}
	}
	wg.Wait()
	lost := 0
	for _, r := range results {
		took := r.ended.Sub(r.sent)
		if r.status == 0 && took > lossSlack && took < deadline*time.Millisecond && r.ended.Sub(term) < (graceSeconds+1)*time.Second {
			lost++
			w.note("LOST: %s was read, and its connection ended without an answer %.1f s after its last byte, %.1f s after SIGTERM, with %.1f s left", r.id, took.Seconds(), r.ended.Sub(term).Seconds(), deadline/1000-took.Seconds())
		}
	}
	w.note("%d requests, %d lost", len(results), lost)
	return lost > 0
}
