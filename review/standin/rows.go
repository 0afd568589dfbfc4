package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	maxRounds = 12
	longRuns  = 6                       // on keys of different rows, before the fencing tokens rise
	lateRuns  = slots - longRuns        // on other keys of these rows, afterwards
	runTime   = 1300 * time.Millisecond // the longest work of such a request in the site file
)

// overlappingRows: two servers are emptied and taken away, one second apart. The second
// one has got keys of the first meanwhile, so the tokens of some of its rows have risen
// while it is still working on requests from before: it lists such a key twice, in the
// row that it holds and in one with the token under which the work began.
func overlappingRows(d *deployment) (bool, string) {
	owners := new(ownerCheck)
	lot, _, servers := setUp(d, owners)
	round := 0
	for ; round < maxRounds; round++ {
		a, b := neighbours(lot, servers)
		d.log("round %d: %s leaves, then %s", round+1, servers[a].id, servers[b].id)
		leaveOneAfterTheOther(d, servers[a], servers[b], round)
		if n, _ := owners.givenEarly(); n > 0 || (!trouble && round == 1) {
			break
		}
		if !trouble {
			continue
		}
		for _, m := range []*machine{a, b} {
			servers[m] = d.startServer(m, fmt.Sprintf("%s-%d", servers[m].id, round), true)
			owners.add(servers[m])
		}
		for end := time.Now().Add(10 * time.Second); servers[a].held() == 0 || servers[b].held() == 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				fatal("the new servers got no keys")
			}
		}
		time.Sleep(2 * time.Second)
	}
	n, first := owners.givenEarly()
	worst, _ := owners.result()
	return n > 0, fmt.Sprintf("%d keys given while another server was at work on them (round %d; held twice for %v at most): %s", n, min(round+1, maxRounds), worst.Round(time.Millisecond), first)
}

// leaveOneAfterTheOther empties two servers, the second one second after the first, with
// long requests at the second.
func leaveOneAfterTheOther(d *deployment, first, second *server, round int) {
	var wg sync.WaitGroup
	run := func(k int) {
		wg.Go(func() {
			d.send(second.m, "GET", host, fmt.Sprintf("/lot/x?work=%d", runTime.Milliseconds()), k, 2500*time.Millisecond)
		})
	}
	begin := time.Now()
	at := func(t time.Duration) { time.Sleep(time.Until(begin.Add(t))) }
	// The keys of the first go to the others in turn, so neighbouring rows differ.
	var busy []busyRow
	for all, n := rowsBeside(second, first), 0; len(all) >= 2*longRuns && n < longRuns; n++ {
		busy = append(busy, all[n*len(all)/longRuns+(n+round)%3])
	}
	if trouble {
		first.drain()
	}
	at(350 * time.Millisecond)
	second.beatNow <- struct{}{} // the next one follows after the regular interval
	at(1070 * time.Millisecond)
	before := second.held()
	for _, r := range busy {
		run(r.key)
	}
	for time.Since(begin) < 1350*time.Millisecond && second.held() <= before {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		second.drain()
	}
	at(time.Since(begin) + heartbeat - 120*time.Millisecond)
	n := 0
	for _, r := range busy {
		second.mu.Lock()
		risen := second.working[r.key] > 0 && second.fences[r.last] != 0 && second.fences[r.last] != second.workFence[r.key]
		second.mu.Unlock()
		if n < lateRuns && (risen || !trouble) {
			n++
			d.log("server %s: the token of the row of key %d has risen while it works on it", second.id, r.key)
			run(r.last)
		}
	}
	wg.Wait()
	if !trouble {
		return
	}
	at(drainTime + 1700*time.Millisecond)
	for _, s := range []*server{first, second} {
		status, _ := s.call(names["leave"], map[string]any{"born": s.born})
		d.log("server %s deregisters: %d; it ends", s.id, status)
		s.crash()
	}
	time.Sleep(time.Second)
}

// drain makes a server report that it drains.
func (s *server) drain() {
	s.m.d.log("server %s begins to drain", s.id)
	s.mu.Lock()
	s.draining, s.leaving = true, true
	s.mu.Unlock()
	s.beatNow <- struct{}{}
}

// busyRow is a key of a row that is worked on, and the last key of that row.
type busyRow struct{ key, last int }

// rowsBeside returns the rows of a server that are followed by a row of another.
func rowsBeside(s, other *server) (out []busyRow) {
	s.mu.Lock()
	fences := s.fences
	s.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	for k := 0; k < keys; k++ {
		if fences[k] == 0 {
			continue
		}
		to := k
		for to+1 < keys && fences[to+1] == fences[k] {
			to++
		}
		if to-k >= 64 && to+1 < keys && other.fences[to+1] != 0 {
			out = append(out, busyRow{key: k + 20, last: to})
		}
		k = to
	}
	return out
}

// neighbours returns the two servers of which the second has the most rows that are
// followed by a row of the first.
func neighbours(lot []*machine, servers map[*machine]*server) (first, second *machine) {
	most := -1
	for _, a := range lot {
		for _, b := range lot {
			if n := len(rowsBeside(servers[b], servers[a])); a != b && n > most {
				first, second, most = a, b, n
			}
		}
	}
	return first, second
}
