package sample

import (
	"sync"
	"time"

	"pollenlatch"
)

// maxRuns bounds the memory of a ledger. Runs beyond it are only counted.
const maxRuns = 4 << 20

// Run is one run of a request at a server.
type Run struct {
	ID     string
	Server pollenlatch.Incarnation
	Shard  pollenlatch.Shard // zero when the request named none
	Fence  pollenlatch.Fence
	Start  time.Time
	End    time.Time // zero while it runs
	Whole  bool      // it was neither cancelled nor stopped at its deadline
}

// Ledger records every run of every request. Servers may share one, so that
// runs of one request at two servers are seen. The zero value is ready to use.
type Ledger struct {
	// OnStart is called before each run, when set, so that a record of the runs
	// can outlive a killed process.
	OnStart func(r Run)

	mu      sync.Mutex
	runs    []Run
	byID    map[string][]int
	dropped int
}

func (l *Ledger) begin(r Run) int {
	if l.OnStart != nil {
		l.OnStart(r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxRuns {
		l.dropped++
		return -1
	}
	l.runs = append(l.runs, r)
	n := len(l.runs) - 1
	if r.ID == "" {
		return n
	}
	if l.byID == nil {
		l.byID = make(map[string][]int)
	}
	l.byID[r.ID] = append(l.byID[r.ID], n)
	return n
}

func (l *Ledger) end(n int, at time.Time, whole bool) {
	if n < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[n].End = at
	l.runs[n].Whole = whole
}

// Count returns how often the request ran. A run counts from its start, also
// when it was cancelled later.
func (l *Ledger) Count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID[id])
}

// Runs returns a copy of all runs in the order of their start.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Duplicates returns how often each request ran that ran more than once.
func (l *Ledger) Duplicates() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := map[string]int{}
	for id, runs := range l.byID {
		if len(runs) > 1 {
			d[id] = len(runs)
		}
	}
	return d
}

// Dropped returns the number of runs that the ledger had no room for. A test
// that relies on the ledger must see 0.
func (l *Ledger) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
