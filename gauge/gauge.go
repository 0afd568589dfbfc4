// Package gauge estimates the load of the local server from what the server states in
// its responses: how slow it is at present, and how many requests it holds that this
// daemon does not wait for. It takes the time as an argument.
package gauge

import (
	"math"
	"slices"
	"sync"
	"time"

	"pollenlatch"
)

const (
	// MaxAge is the age from which on a stated load is not used.
	MaxAge = time.Second
	// settleTime is the time of which the lowest number of other requests counts. A
	// response that is read late states requests that have completed since.
	settleTime = 100 * time.Millisecond
	// transitTime is the time that a request may be on its way to the server. It is not
	// missed there before.
	transitTime = 50 * time.Millisecond
	// minMissing is the number of successive responses that must state fewer requests
	// than were sent before one of these is known to be lost.
	minMissing = 3
	// silentFactor is the time without a response, relative to the forecast, after which
	// a request may be lost: with run times that spread by a factor of 2 (a standard
	// deviation of 0.7 of the logarithm), 1 of 100 runs takes longer.
	silentFactor = 4
	// minSilence is the time without any response of the server after which a repeatable
	// request may be sent to another server. Pauses of a process are shorter.
	minSilence = time.Second
	// keptSamples limits the loads that are kept.
	keptSamples = 64
)

// Sent is a request that was sent to the server.
type Sent struct {
	begun   time.Time
	written time.Time // zero while it is being written
	until   time.Time // the server drops it then; set when this daemon no longer waits
}

// sample is a load that the server has stated.
type sample struct {
	at      time.Time
	others  int // requests at the server that this daemon does not wait for
	missing int // requests that this daemon waits for and the server does not hold
}

// Gauge is the estimate of one server's load. The zero value knows nothing. It is safe for
// concurrent use.
type Gauge struct {
	mu        sync.Mutex
	spans     spans
	updatedAt time.Time     // of the newest slowness; zero when the server has not stated any
	clock     time.Duration // see State
	clockAt   time.Time
	statedAt  time.Time // of the newest load; zero when the server has not stated any
	samples   []sample  // oldest first
	sent      []*Sent   // without a response; those that were written first are first
	abandoned []*Sent
	silent    int // requests that were found lost
	// Whether the server counts the request to which it responds shows when that is the
	// only one.
	omitsOwn  bool
	countsOwn int // responses that did
}

// Reset forgets the server, since another one has taken its place. The clock goes on.
func (g *Gauge) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spans, g.updatedAt, g.statedAt = spans{}, time.Time{}, time.Time{}
	g.samples, g.sent, g.abandoned, g.omitsOwn, g.countsOwn = nil, nil, nil, false, 0
}

// Begin records that the first bytes of a request have been sent.
func (g *Gauge) Begin(now time.Time) *Sent {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &Sent{begun: now}
	g.sent = append(g.sent, s)
	return s
}

// Written records that a request has been sent completely.
func (g *Gauge) Written(s *Sent, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.removeLocked(s) { // it was sent to an earlier server
		return
	}
	s.written = now
	n := len(g.sent)
	for n > 0 && g.sent[n-1].written.IsZero() {
		n--
	}
	g.sent = slices.Insert(g.sent, n, s)
}

// arrivedBy reports whether the request must have reached the server by now.
func (s *Sent) arrivedBy(now time.Time) bool {
	return !s.written.IsZero() && s.written.Add(transitTime).Before(now)
}

// End records that the server has responded to a request, or has closed its connection.
func (g *Gauge) End(s *Sent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(s)
}

func (g *Gauge) removeLocked(s *Sent) bool {
	n := slices.Index(g.sent, s)
	if n < 0 {
		return false
	}
	g.sent = slices.Delete(g.sent, n, n+1)
	return true
}

// Abandon records that this daemon waits for a request no longer. The server may hold it
// until the given time, at which it drops it.
func (g *Gauge) Abandon(s *Sent, until, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.removeLocked(s) { // it was sent to an earlier server
		return
	}
	g.abandoned = slices.DeleteFunc(g.abandoned, func(a *Sent) bool { return !now.Before(a.until) })
	if s.until = until; now.Before(until) {
		g.abandoned = append(g.abandoned, s)
	}
	for n := range g.samples { // which were taken as if this daemon waited for it
		if p := &g.samples[n]; !s.begun.After(p.at) {
			p.others++
			if s.arrivedBy(p.at) {
				p.missing--
			}
		}
	}
}

// Observe records a load that the server has stated in the response to a request.
func (g *Gauge) Observe(l pollenlatch.ServerLoad, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case len(g.sent) != 1:
	case l.Running+l.Waiting == 0:
		g.omitsOwn = true
	case l.Running+l.Waiting == 1:
		g.countsOwn++
	}
	g.observeLocked(l, g.omitsOwn || g.countsOwn < minMissing, now)
}

// ObserveHealth records a load that the server has stated in the response to a health
// check.
func (g *Gauge) ObserveHealth(l pollenlatch.ServerLoad, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeLocked(l, false, now)
}

// observeLocked records a load. With omitsOne, the server may not have counted the request
// to which it responds. The caller holds mu.
func (g *Gauge) observeLocked(l pollenlatch.ServerLoad, omitsOne bool, now time.Time) {
	g.advanceLocked(now)
	if l.Slowness > 0 {
		g.spans.set(float64(l.Slowness)/100, now)
		g.updatedAt = now
	}
	g.statedAt = now
	held, arrived := int(l.Running+l.Waiting), 0
	for _, s := range g.sent {
		if s.arrivedBy(now) {
			arrived++
		}
	}
	if len(g.samples) == keptSamples {
		g.samples = slices.Delete(g.samples, 0, 1)
	}
	missing := arrived - held
	if omitsOne {
		missing--
	}
	g.samples = append(g.samples, sample{at: now, others: held - len(g.sent), missing: missing})
}

// advanceLocked brings the averages and the clock up to now. The caller holds mu.
func (g *Gauge) advanceLocked(now time.Time) {
	if g.clockAt.IsZero() {
		g.clockAt = now
		return
	}
	d := now.Sub(g.clockAt)
	if d <= 0 {
		return
	}
	g.clockAt = now
	if g.updatedAt.IsZero() {
		g.clock += d
		return
	}
	stale := min(max(now.Sub(g.updatedAt)-MaxAge, 0), d)
	g.spans.pass(d - stale)
	g.clock += scale(d-stale, 1/g.spans.level) + scale(stale, g.spans.speed.value)
}

// State is what a Gauge knows of a server's slowness.
type State struct {
	Known bool // the server states it; otherwise it is taken to be 1
	// Clock is the work that one slot of the server has done: the time for which it has
	// run, divided by the slowness at the time.
	Clock   time.Duration
	Outlook Outlook
	Mean    float64 // slowness of a server of steady speed that does as much work over time
}

// State returns the state at now. A server that has not stated its slowness for MaxAge is
// taken to have its mean.
func (g *Gauge) State(now time.Time) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceLocked(now)
	if g.updatedAt.IsZero() {
		return State{Clock: g.clock, Outlook: Steady(1), Mean: 1}
	}
	s := State{Known: true, Clock: g.clock, Mean: g.spans.mean()}
	s.Outlook = Steady(s.Mean)
	if now.Sub(g.updatedAt) <= MaxAge {
		s.Outlook = g.spans.outlook(now)
	}
	return s
}

// StatesLoad reports whether the server states its load.
func (g *Gauge) StatesLoad() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.statedAt.IsZero()
}

// SilenceAfter returns the time after which Silence may be true of a request that should
// take the expected time.
func SilenceAfter(expected time.Duration) time.Duration { return silentFactor * expected }

// Slowness returns the present slowness in percent of the usual; 0 is unknown.
func (g *Gauge) Slowness(now time.Time) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.updatedAt.IsZero() || now.Sub(g.updatedAt) > MaxAge {
		return 0
	}
	return uint32(math.Round(100 * g.spans.level))
}

// Others returns the number of requests that may hold a slot of the server although this
// daemon does not wait for them. It is 0 for a server that does not state its load.
func (g *Gauge) Others(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.statedAt.IsZero() {
		return 0
	}
	abandoned := 0
	for _, a := range g.abandoned {
		if now.Before(a.until) {
			abandoned++
		}
	}
	if now.Sub(g.statedAt) > MaxAge {
		return abandoned
	}
	others := math.MaxInt
	for _, p := range g.samples {
		if g.statedAt.Sub(p.at) <= settleTime {
			others = min(others, p.others)
		}
	}
	if g.updatedAt.IsZero() {
		others = min(others, abandoned)
	}
	return max(others, 0)
}

// Slots returns how many of a server's slots may be used: those that other requests
// leave, and at least one.
func (g *Gauge) Slots(slots int, now time.Time) int {
	if slots <= 0 {
		return slots
	}
	return max(1, slots-min(g.Others(now), slots))
}

// Silence reports whether the server will not respond to a request that should take the
// expected time: after several times that, the loads that the server states show that it
// does not hold it, or the server has stated nothing since and the request is repeatable.
// A request of which that is not known may still get its response.
func (g *Gauge) Silence(s *Sent, expected time.Duration, repeatable bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := slices.Index(g.sent, s)
	if n < 0 || s.written.IsZero() || g.statedAt.IsZero() || expected <= 0 || now.Sub(s.written) < silentFactor*expected {
		return false
	}
	if !g.statedAt.After(s.written) {
		return repeatable && now.Sub(s.written) >= minSilence
	}
	stated, missing := 0, math.MaxInt
	for _, p := range g.samples {
		if p.at.Sub(s.written) > expected && now.Sub(p.at) <= MaxAge {
			stated++
			missing = min(missing, p.missing)
		}
	}
	return stated >= minMissing && n < missing
}

// QuietSince reports whether a server that states its load has not done so since t.
func (g *Gauge) QuietSince(t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.statedAt.IsZero() && !g.statedAt.After(t)
}

// CountSilent counts a request that was given up because of Silence.
func (g *Gauge) CountSilent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent++
}

// Silent returns the number of requests that were given up because of Silence.
func (g *Gauge) Silent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}
