package sample

import (
	"sync"
	"time"

	"pollenlatch"
)

// maxRuns limits the memory of a ledger. Further runs are only counted as dropped.
const maxRuns = 4 << 20

// Run is one execution of a request by a server.
type Run struct {
	ID     string
	Server pollenlatch.Incarnation
	Shard  pollenlatch.Shard // zero for a request without a fence
	Fence  pollenlatch.Fence
	Start  time.Time
	End    time.Time // zero while it runs
	Whole  bool      // it completed and took effect, with a valid grant if it needs one
}

// Ledger records every run of every request. Servers may share a ledger, which then
// shows runs of one request on several servers. The zero value is ready to use.
type Ledger struct {
	// OnStart, if set, is called before each run, so that a record of the runs can
	// survive a killed process.
	OnStart func(r Run)

	mu      sync.Mutex
	runs    []Run
	byID    map[string][]int
	dropped int
}

// begin records the start of a run. It returns its index for end, or -1 when the
// ledger is full.
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

// Count returns how often the request ran. A run counts from its start, even if it
// was cancelled later.
func (l *Ledger) Count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID[id])
}

// Runs returns a copy of all runs, in the order in which they started.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Duplicates returns the number of runs of each request that ran more than once.
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

// Dropped returns the number of runs that the full ledger did not record. A test
// that relies on the ledger must require 0.
func (l *Ledger) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
