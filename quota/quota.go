// Package quota decides how many requests a server may get that names a limit in its
// responses. All requests to a server pass the daemon beside it, so that daemon alone
// keeps the limit for all instances, without messages between them. The limit in force
// is part of the replicated endpoint, from which a restarted daemon takes it over.
package quota

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is how long an idle server saves up requests, so that it gets as many
	// as it allows although they arrive irregularly.
	burstTime = 250 * time.Millisecond
	// minPerSecond lets one request in four seconds pass to a server that allows none.
	// Its response tells when the limit has ended.
	minPerSecond = 0.25
)

// Limiter is the rate limit of one server. The zero value has no limit. It takes the
// time as an argument, and its callers must lock it.
type Limiter struct {
	perSecond float64
	bucket    *rate.Limiter // nil without a limit
}

// SetLimit sets the limit in requests a second; 0 is none. A new limit starts without
// saved requests, since the server has just got its unlimited load.
func (l *Limiter) SetLimit(perSecond float64, now time.Time) {
	switch {
	case perSecond == l.perSecond:
		return
	case perSecond <= 0:
		*l = Limiter{}
		return
	}
	burst := max(1, int(perSecond*burstTime.Seconds()))
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.ReserveN(now, burst)
	} else {
		l.bucket.SetLimitAt(now, rate.Limit(perSecond))
		l.bucket.SetBurstAt(now, burst)
	}
	l.perSecond = perSecond
}

// Limit returns the limit in requests a second, or 0 when there is none.
func (l *Limiter) Limit() float64 { return l.perSecond }

// Take reports whether a request may be sent now, and counts it if so.
func (l *Limiter) Take(now time.Time) bool { return l.bucket == nil || l.bucket.AllowN(now, 1) }

// Wait returns the time until the n-th request from now may be sent, counted from 1.
func (l *Limiter) Wait(n int, now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	return time.Duration(math.Ceil(max(0, missing) / l.perSecond * float64(time.Second)))
}

// Monitor derives the limit of a server from its responses. The zero value has no
// limit. Its callers must lock it.
type Monitor struct {
	limit   float64
	namedAt time.Time // when the last response that names a limit arrived
}

// NewMonitor returns the monitor of a server that has named a limit, in requests a
// second, before.
func NewMonitor(limit float64, now time.Time) Monitor { return Monitor{limit: limit, namedAt: now} }

// Limit returns the limit that is in force, in requests a second, or 0.
func (m *Monitor) Limit() float64 { return m.limit }

// Observe records a response that arrived at now to a request that was sent at sentAt.
// named is the limit that it names, or 0. It returns the limit that is in force, and
// whether that has changed. Responses may overtake each other, so a response without
// a limit ends the limit only if its request was sent after the last response with one.
func (m *Monitor) Observe(named float64, sentAt, now time.Time) (limit float64, changed bool) {
	before := m.limit
	switch {
	case named > 0:
		m.limit, m.namedAt = named, now
	case sentAt.After(m.namedAt):
		m.limit = 0
	}
	return m.limit, m.limit != before
}

// Parse returns the limit that a server names, in requests a second and above 0.
func Parse(v string) (float64, error) {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, fmt.Errorf("%w: %.40q", ErrInvalid, v)
	}
	return max(n, minPerSecond), nil
}

// ErrInvalid is the error of a limit that is not a decimal number, or is negative.
var ErrInvalid = errors.New("invalid limit of a server")
