package gauge

import (
	"math"
	"sync"
	"time"
)

const (
	// failingTime is the time in which the weight of a result falls to 1/e.
	failingTime = time.Second
	// minResults is the weight of results from which on their share of failures is stated.
	// Two failures alone say nothing.
	minResults = 4
)

// Failing estimates the share of the recent exchanges with a server that failed through its
// fault. The zero value has no results. It is safe for concurrent use.
type Failing struct {
	mu                sync.Mutex
	results, failures float64 // decayed to the time at
	at                time.Time
}

// Record records the result of an exchange.
func (f *Failing) Record(failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decay := f.decayLocked(now)
	f.results, f.failures, f.at = f.results*decay+1, f.failures*decay, now
	if failed {
		f.failures++
	}
}

// Percent returns the share of failures in percent; 0 after too few results.
func (f *Failing) Percent(now time.Time) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.results*f.decayLocked(now) < minResults {
		return 0
	}
	return uint32(math.Round(100 * f.failures / f.results))
}

// Reset forgets the results, since another server has taken the place of this one.
func (f *Failing) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results, f.failures = 0, 0
}

func (f *Failing) decayLocked(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(f.at)).Seconds() / failingTime.Seconds())
}
