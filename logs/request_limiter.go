package logs

import "time"

// Limits on the lines about requests. Of successful requests only a sample is logged,
// of failed ones as many as one processor can write without a noticeable cost.
const (
	successLinesPerSecond = 5
	failureLinesPerSecond = 50
	burstSeconds          = 4 // a burst is the number of lines of this many seconds
)

// RequestLimiter limits the rate of the lines about requests that one part of a
// process logs. NewRequestLimiter creates it.
type RequestLimiter struct {
	successes, failures *Limiter
}

// NewRequestLimiter returns a limiter that has allowed no lines yet.
func NewRequestLimiter() *RequestLimiter {
	return &RequestLimiter{
		successes: NewLimiter(successLinesPerSecond, successLinesPerSecond*burstSeconds),
		failures:  NewLimiter(failureLinesPerSecond, failureLinesPerSecond*burstSeconds),
	}
}

// Allow reports whether the line about a request may be written, and how many lines
// of the same kind, success or failure, were suppressed since the last one.
func (l *RequestLimiter) Allow(succeeded bool, now time.Time) (suppressed uint64, ok bool) {
	if succeeded {
		return l.successes.Allow(now)
	}
	return l.failures.Allow(now)
}
