package pick

import (
	"sync"
	"time"

	"pollenlatch"
)

// Defaults of RetryBudget.
const (
	DefaultRatio   = 0.1 // retries for each request
	DefaultMinRate = 10  // retries a second regardless of the number of requests
	DefaultBurst   = 100 // maximum number of unused retries
)

// RetryBudget limits retries to a share of the requests, so that a failure of
// all requests does not multiply the load. It is a token bucket, which requests
// and time refill. The zero value uses the defaults. It is safe for concurrent
// use.
type RetryBudget struct {
	Ratio   float64 // retries for each request
	MinRate float64 // retries a second regardless of the number of requests
	Burst   float64 // maximum number of unused retries

	mu          sync.Mutex
	initialised bool
	tokens      float64
	refilledAt  pollenlatch.MonoTime
}

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// TakeRetry takes a token for a retry at now. It returns false when there is
// none.
func (b *RetryBudget) TakeRetry(now pollenlatch.MonoTime) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	if b.refilledAt == 0 {
		b.refilledAt = now
	}
	b.tokens = min(b.Burst, b.tokens+b.MinRate*max(0, now.Sub(b.refilledAt)).Seconds())
	b.refilledAt = max(b.refilledAt, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// initLocked sets the defaults. The budget starts with the tokens of one second
// at MinRate.
func (b *RetryBudget) initLocked() {
	if b.initialised {
		return
	}
	b.initialised = true
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
