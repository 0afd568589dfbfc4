package cold

import (
	"time"

	"pollenlatch/quota"
)

// The requests that a cold server gets in any second are bounded by a factor of its
// rate plus a constant. A deployment may exceed the rate of a cold server by a factor of
// 1.5 plus 8 requests at most. The limit of admission stays below the limit at sending,
// and that below the bound of the deployment, since a request is sent some time after it
// was admitted, and reaches the server some time later.
const (
	admitFactor, admitSlack = 1.25, 4
	sendFactor, sendSlack   = 1.4, 6
	// window is the time over which requests are counted. It is a little longer than a
	// second, since clocks differ.
	window = 1020 * time.Millisecond
)

// Limiter is the rate limit of a server that may be cold. While the server is warm it
// only records when requests are sent, so that those of the last second count when the
// server becomes cold. The zero value has no limit. It takes the time as an argument,
// and its callers must lock it.
type Limiter struct {
	perSecond float64
	cold      bool
	until     time.Time // expected end of the cold state; zero is unknown
	bucket    quota.Limiter
	sent      history
}

// SetLimit sets the requests a second that the server gets while it is cold, whether it
// is cold, and the expected end of that, or zero. perSecond 0 is no limit. A limit starts
// without saved requests.
func (l *Limiter) SetLimit(perSecond float64, cold bool, until, now time.Time) {
	if perSecond <= 0 {
		*l = Limiter{}
		return
	}
	if perSecond != l.perSecond {
		l.perSecond = perSecond
		l.sent.resize(maxInWindow(admitFactor, admitSlack, perSecond))
	}
	if l.cold, l.until = cold, until; cold {
		l.bucket.SetLimit(perSecond, now)
	} else {
		l.bucket.SetLimit(0, now)
	}
}

// Limit returns the limit that is in force in requests a second, or 0.
func (l *Limiter) Limit() float64 {
	if !l.cold {
		return 0
	}
	return l.perSecond
}

// Take counts a request that is sent now. It must be allowed by Wait.
func (l *Limiter) Take(now time.Time) {
	if l.cold {
		l.bucket.Take(now)
	}
	l.sent.add(now)
}

// Wait returns the time until the n-th request from now may be sent, counted from 1.
func (l *Limiter) Wait(n int, now time.Time) time.Duration {
	if !l.cold {
		return 0
	}
	wait := max(l.bucket.Wait(n, now), l.sent.wait(n, now))
	if !l.until.IsZero() {
		wait = min(wait, max(0, l.until.Sub(now)))
	}
	return wait
}

// Gate is the last check before a request is written to a server. It bounds the
// requests that are sent in any second also when those that were admitted one after the
// other are sent at the same moment, for example after a pause of the process or a wait
// for a body or a connection. The zero value has no limit. It takes the time as an
// argument, and its callers must lock it.
type Gate struct {
	perSecond  float64
	sent       history
	checkedAt  time.Time // of the newest check of the server's state
	sinceCheck int       // requests sent since then
}

// SetLimit sets the requests a second that the server gets while it is cold; 0 is no
// limit.
func (g *Gate) SetLimit(perSecond float64) {
	if perSecond == g.perSecond {
		return
	}
	*g = Gate{perSecond: perSecond}
	if perSecond > 0 {
		g.sent.resize(maxInWindow(sendFactor, sendSlack, perSecond))
	}
}

// Send counts a request that is about to be sent, and returns 0 if it may be. Otherwise
// the request must not be sent, and Send returns the time until the next one may be.
func (g *Gate) Send(cold bool, now time.Time) time.Duration {
	if g.perSecond <= 0 {
		return 0
	}
	if cold {
		if wait := g.sent.wait(1, now); wait > 0 {
			return wait
		}
	}
	g.sent.add(now)
	g.sinceCheck++
	return 0
}

// Checked records that the server's state is known at now.
func (g *Gate) Checked(now time.Time) { g.checkedAt, g.sinceCheck = now, 0 }

// CheckDue reports whether the state of a warm server must be checked now, if the next
// opportunity is after the given time. A server that has become cold since the last check
// must not have got more requests by then than a cold one gets in a second.
func (g *Gate) CheckDue(next time.Duration, now time.Time) bool {
	if !g.ExceedsColdRate(now) {
		return false
	}
	elapsed := now.Sub(g.checkedAt).Seconds()
	expected := float64(g.sinceCheck) * (1 + next.Seconds()/max(elapsed, next.Seconds()/2))
	return expected > float64(maxInWindow(admitFactor, admitSlack, g.perSecond))
}

// ExceedsColdRate reports whether more requests were sent in the last second than a cold
// server may get.
func (g *Gate) ExceedsColdRate(now time.Time) bool {
	return g.perSecond > 0 && g.sent.wait(len(g.sent.times)-int(g.perSecond), now) > 0
}

func maxInWindow(factor, slack, perSecond float64) int { return int(factor*perSecond + slack) }

// history holds the times of the last requests, as many as may be sent in a window.
type history struct {
	times []time.Time // a ring; the oldest is at next
	next  int
}

// resize sets the number of requests that may be sent in a window, and keeps the newest
// times.
func (h *history) resize(n int) {
	times := make([]time.Time, n)
	for i := range min(n, len(h.times)) {
		times[n-1-i] = h.times[(h.next+len(h.times)-1-i)%len(h.times)]
	}
	h.times, h.next = times, 0
}

func (h *history) add(now time.Time) {
	if len(h.times) == 0 {
		return
	}
	h.times[h.next] = now
	h.next = (h.next + 1) % len(h.times)
}

// wait returns the time until n further requests fit into a window.
func (h *history) wait(n int, now time.Time) time.Duration {
	if len(h.times) == 0 || n < 1 {
		return 0
	}
	oldest := h.times[(h.next+min(n, len(h.times))-1)%len(h.times)]
	if oldest.IsZero() {
		return 0
	}
	return max(0, oldest.Add(window).Sub(now))
}
