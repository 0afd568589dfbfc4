package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const host = "jepu9.example"

// setUp starts five core machines, four machines with a service that is divided by key
// and two with one that isn't, and waits until all keys are given out.
func setUp(d *deployment, owners *ownerCheck) (lot, claim []*machine, servers map[*machine]*server) {
	d.addCore(5)
	lot, claim = d.addSides("huvo11a", 4), d.addSides("wuno96b", 2)
	d.startAll()
	servers = make(map[*machine]*server)
	for n, m := range lot {
		servers[m] = d.startServer(m, fmt.Sprintf("i-lot%d", n), true)
		owners.add(servers[m])
	}
	for n, m := range claim {
		servers[m] = d.startServer(m, fmt.Sprintf("i-claim%d", n), false)
	}
	status := d.patch(map[string]any{
		"upsert": map[string]any{
			"routes": map[string]any{
				"r-lot":   route(host, "/lot/", "safe", "huvo11a", 2500, 1),
				"r-claim": route(host, "/claim/", "unsafe", "wuno96b", 3000, 1),
			},
			"services": map[string]any{"huvo11a": service(true, 1), "wuno96b": service(false, 1)},
			"limits":   limits(),
		},
		"remove": map[string]any{"routes": []any{}},
	})
	if status != 200 {
		fatal("the first configuration was not acknowledged")
	}
	d.waitReady()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		total := 0
		for _, m := range lot {
			total += servers[m].held()
		}
		if total == keys {
			break
		}
		if time.Now().After(end) {
			fatal(fmt.Sprintf("%d keys were given out", total))
		}
	}
	owners.run(d)
	time.Sleep(3 * time.Second)
	d.log("the deployment is in steady state")
	return lot, claim, servers
}

// traffic sends keyed requests to all machines until stop is closed.
func traffic(d *deployment, at []*machine, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, m := range at {
		wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				d.send(m, "GET", host, "/lot/x", (n*7919)%keys, 2500*time.Millisecond)
			}
		})
	}
	return &wg
}

// foreignBeat: a heartbeat of another writer arrives, with a service that isn't named.
func foreignBeat(d *deployment) (bool, string) {
	owners := new(ownerCheck)
	lot, claim, servers := setUp(d, owners)
	stop := make(chan struct{})
	wg := traffic(d, claim, stop)
	time.Sleep(2 * time.Second)
	m := lot[1]
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "zumu07x", "address": m.addr(portApp + 100), names["place"]: m.place, "version": "v1", "slots": 4, "state": "ready", names["cold_ms"]: 0,
			"seq": 1, "born": time.Now().UnixMilli(), "holds": []any{}, "freed": []any{},
		})
		status, answer := call(m.addr(portControl), names["beat"]+"&of=i-other", body)
		d.log("another writer: heartbeat %s to %s got %d %s", body, m.name, status, answer)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	worst, text := owners.result()
	d.log("server %s holds %d keys", servers[m].id, servers[m].held())
	return worst > 500*time.Millisecond, text
}

// oldBeat: the process beside a server is killed and started again, and then a heartbeat
// arrives that was held up on its way: of the server that ran at the address before.
func oldBeat(d *deployment) (bool, string) {
	owners := new(ownerCheck)
	lot, claim, servers := setUp(d, owners)
	stop := make(chan struct{})
	wg := traffic(d, claim, stop)
	m := lot[1]
	old := servers[m]
	old.mu.Lock()
	old.draining, old.silent = true, true // from now on its heartbeats are held up
	old.mu.Unlock()
	delayed, _, _ := old.nextBeat()
	d.log("server %s drains; its heartbeat %v is held up", old.id, delayed["seq"])
	time.Sleep(1500 * time.Millisecond)
	d.log("server %s has no acknowledgement and ends", old.id)
	old.crash()
	time.Sleep(2 * time.Second)
	s := d.startServer(m, "i-lot1b", true)
	owners.add(s)
	d.log("server %s starts at the same address", s.id)
	for end := time.Now().Add(10 * time.Second); s.held() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			fatal("the new server got no keys")
		}
	}
	s.awaitBeat()
	s.awaitBeat()
	d.log("server %s holds %d keys", s.id, s.held())
	if trouble {
		d.log("platform: the process of %s is killed", m.name)
		m.kill()
		time.Sleep(250 * time.Millisecond)
		m.startProcess()
		d.log("platform: it starts again")
		body, err := json.Marshal(delayed)
		if err != nil {
			fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if status, answer := call(m.addr(portControl), names["beat"]+"&of="+old.id, body); status != 0 {
				d.log("the heartbeat of server %s that was held up arrives at %s: %d %s", old.id, m.name, status, answer)
				break
			}
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	worst, text := owners.result()
	d.log("server %s holds %d keys", s.id, s.held())
	return worst > 500*time.Millisecond, text
}

// arrivals records which requests reach a server, and when.
type arrivals struct {
	mu   sync.Mutex
	text []string
	late int
	lost int // claims that ended without a clear answer
}

// drainQueue: a server says that it drains while requests wait for it.
func drainQueue(d *deployment) (bool, string) {
	_, claim, servers := setUp(d, new(ownerCheck))
	leaving := servers[claim[1]]
	var a arrivals
	leaving.onArrival = func(s *server, id string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if s.ackedDrain.IsZero() {
			return
		}
		after := time.Since(s.ackedDrain)
		d.log("server %s: %s arrives %v after the acknowledgement", s.id, id, after.Round(time.Millisecond))
		if after > drainTime {
			a.late++
			a.text = append(a.text, fmt.Sprintf("%s reached %s %v after the acknowledgement", id, s.id, after.Round(time.Millisecond)))
		}
	}
	var wg sync.WaitGroup
	for range 40 { // some ordinary work before
		wg.Go(func() { d.send(claim[1], "POST", host, "/claim/a?work=290", -1, 3*time.Second) })
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	for range 2 * slots {
		wg.Go(func() { d.send(claim[1], "POST", host, "/claim/long?work=2100", -1, 3*time.Second) })
	}
	time.Sleep(15 * time.Millisecond)
	for range 8 {
		wg.Go(func() {
			if got := d.send(claim[1], "POST", host, "/claim/b?work=600", -1, 3*time.Second); got.status == 502 || got.status == 0 {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.lost++
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	if trouble {
		d.log("server %s begins to drain", leaving.id)
		leaving.mu.Lock()
		leaving.draining, leaving.leaving = true, true
		leaving.mu.Unlock()
		leaving.beatNow <- struct{}{}
		time.Sleep(drainTime + 500*time.Millisecond)
		status, _ := leaving.call(names["leave"], map[string]any{"born": leaving.born})
		d.log("server %s deregisters: %d; it ends", leaving.id, status)
		leaving.crash()
	}
	wg.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.late > 0, fmt.Sprintf("%d requests reached the server later than drain_ms after the acknowledgement, %d short claims ended without a clear answer: %v", a.late, a.lost, a.text)
}

// lostLeave: a server deregisters while all processes of the core are down for a second,
// and the process beside it is killed then.
func lostLeave(d *deployment) (bool, string) {
	_, claim, servers := setUp(d, new(ownerCheck))
	leaving, m := servers[claim[0]], claim[0]
	var a arrivals
	leaving.onArrival = func(s *server, id string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if s.ackedDrain.IsZero() {
			return
		}
		after := time.Since(s.ackedDrain)
		d.log("server %s: %s arrives %v after the acknowledgement", s.id, id, after.Round(time.Millisecond))
		if after > drainTime {
			a.late++
			a.text = append(a.text, fmt.Sprintf("%s after %v", id, after.Round(time.Millisecond)))
		}
	}
	for range 20 {
		d.send(claim[1], "POST", host, "/claim/a?work=50", -1, 3*time.Second)
	}
	coreDown := trouble && os.Getenv("CORE") != "0"
	if coreDown {
		d.log("platform: all processes of the core are killed")
		for _, c := range d.cores {
			c.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(300 * time.Millisecond)
	leaving.mu.Lock()
	leaving.silent, leaving.leaving = true, true
	leaving.mu.Unlock()
	status, answer := leaving.call(names["leave"], map[string]any{"born": leaving.born})
	d.log("server %s deregisters: %d %s", leaving.id, status, answer)
	if status == 200 {
		leaving.mu.Lock()
		leaving.ackedDrain = time.Now()
		leaving.mu.Unlock()
	}
	if trouble {
		m.kill()
		d.log("platform: the process of %s was killed right after the acknowledgement", m.name)
		time.Sleep(500 * time.Millisecond)
		d.log("platform: the processes start again")
		if coreDown {
			for _, c := range d.cores {
				c.startProcess()
			}
		}
		m.startProcess()
	}
	time.Sleep(5 * time.Second)
	for n := range 20 {
		d.send(claim[n%2], "POST", host, "/claim/b?work=50", -1, 3*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	d.log("server %s ends", leaving.id)
	leaving.crash()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.late > 0, fmt.Sprintf("%d requests reached the server later than drain_ms after the acknowledgement: %v", a.late, a.text)
}
