package pick

import (
	"sync"
	"time"

	"pollenlatch"
)

// Defaults of Budget.
const (
	DefaultRatio = 0.1 // retries for each request
	DefaultFloor = 10  // retries a second that little traffic may have too
	DefaultMost  = 100 // retries saved up
)

// Budget bounds retries to a share of traffic, so that a failure that hits
// every request does not multiply the load. The zero value uses the defaults.
// It is safe for concurrent use.
type Budget struct {
	Ratio float64 // retries for each request
	Floor float64 // retries a second
	Most  float64 // retries saved up

	mu     sync.Mutex
	filled bool
	tokens float64
	at     pollenlatch.MonoTime
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.tokens = min(b.Most, b.tokens+b.Ratio)
}

// Retry takes the right to one more attempt at now. It reports false when the
// budget is spent.
func (b *Budget) Retry(now pollenlatch.MonoTime) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	if b.at == 0 {
		b.at = now
	}
	b.tokens = min(b.Most, b.tokens+b.Floor*max(0, now.Sub(b.at)).Seconds())
	b.at = max(b.at, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// initLocked fills in the defaults. A new budget holds one second of the floor.
func (b *Budget) initLocked() {
	if b.filled {
		return
	}
	b.filled = true
	if b.Ratio == 0 {
		b.Ratio = DefaultRatio
	}
	if b.Floor == 0 {
		b.Floor = DefaultFloor
	}
	if b.Most == 0 {
		b.Most = DefaultMost
	}
	b.tokens = min(b.Most, b.Floor*time.Second.Seconds())
}
