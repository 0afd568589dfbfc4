package pick

import (
	"sync"
	"time"

	"pollenlatch"
)

// Defaults of Budget.
const (
	DefaultRatio   = 0.1 // retries for each request
	DefaultMinRate = 10  // retries a second that little traffic may have too
	DefaultBurst   = 100 // retries saved up
)

// RetryBudget bounds retries to a share of traffic, so that a failure that hits
// every request does not multiply the load. The zero value uses the defaults.
// It is safe for concurrent use.
type RetryBudget struct {
	Ratio   float64 // retries for each request
	MinRate float64 // retries a second
	Burst   float64 // retries saved up

	mu     sync.Mutex
	filled bool
	tokens float64
	at     pollenlatch.MonoTime
}

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// TakeRetry takes the right to one more attempt at now. It reports false when the
// budget is spent.
func (b *RetryBudget) TakeRetry(now pollenlatch.MonoTime) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	if b.at == 0 {
		b.at = now
	}
	b.tokens = min(b.Burst, b.tokens+b.MinRate*max(0, now.Sub(b.at)).Seconds())
	b.at = max(b.at, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// initLocked fills in the defaults. A new budget holds one second of the floor.
func (b *RetryBudget) initLocked() {
	if b.filled {
		return
	}
	b.filled = true
	if b.Ratio == 0 {
		b.Ratio = DefaultRatio
	}
	if b.MinRate == 0 {
		b.MinRate = DefaultMinRate
	}
	if b.Burst == 0 {
		b.Burst = DefaultBurst
	}
	b.tokens = min(b.Burst, b.MinRate*time.Second.Seconds())
}
