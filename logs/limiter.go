package logs

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limiter limits the rate of log lines of one kind, and counts the lines that it
// suppresses. The zero value allows none. It is safe for concurrent use.
type Limiter struct {
	rate       *rate.Limiter // nil allows none
	suppressed atomic.Uint64
}

// NewLimiter returns a limiter that allows perSecond lines a second, and up to burst
// lines at once.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{rate: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written at now, and how many lines were
// suppressed since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (suppressed uint64, ok bool) {
	if l.rate == nil || !l.rate.AllowN(now, 1) {
		l.suppressed.Add(1)
		return 0, false
	}
	return l.suppressed.Swap(0), true
}
