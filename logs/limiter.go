package logs

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limiter bounds the lines of one kind, and counts those that it leaves out. The
// zero value allows none. It is safe for concurrent use.
type Limiter struct {
	limiter    *rate.Limiter // nil allows none
	suppressed atomic.Uint64
}

// NewLimiter returns a limit of lines a second, with so many at once after a pause.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written at now, and how many lines were
// suppressed since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (suppressed uint64, ok bool) {
	if l.limiter == nil || !l.limiter.AllowN(now, 1) {
		l.suppressed.Add(1)
		return 0, false
	}
	return l.suppressed.Swap(0), true
}
