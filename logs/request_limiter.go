package logs

import "time"

// Bounds of the lines on requests: of those that ended as they should only a
// sample is logged, of the others as many as one processor writes without
// notice.
const (
	goodLines  = 5  // a second
	badLines   = 50 // a second
	linesBurst = 4  // seconds' worth
)

// RequestLimiter bounds the lines on requests of one part of a process. Use
// NewOutcomes.
type RequestLimiter struct {
	good, bad *Limiter
}

// NewRequestLimiter returns bounds of which nothing is used.
func NewRequestLimiter() *RequestLimiter {
	return &RequestLimiter{
		good: NewLimiter(goodLines, goodLines*linesBurst),
		bad:  NewLimiter(badLines, badLines*linesBurst),
	}
}

// Allow reports whether the line of a request may be written, and how many lines
// of its kind were suppressed since the last one.
func (o *RequestLimiter) Allow(good bool, now time.Time) (suppressed uint64, ok bool) {
	if good {
		return o.good.Allow(now)
	}
	return o.bad.Allow(now)
}
