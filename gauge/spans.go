package gauge

import (
	"math"
	"time"
)

const (
	// meanWindow is the time over which the speed of a server is averaged: several spans of
	// a server that is slow a few times in ten seconds.
	meanWindow = 10 * time.Second
	// slowFactor is the slowness, relative to the usual, from which on a server counts
	// as slow. Changes below that matter less than the spread of the run times.
	slowFactor = 1.25
	// keptSpans is the number of past spans of each kind from which the length of the
	// present one is estimated.
	keptSpans = 16
	// maxSpan is the time after which a slow server is no longer expected to return to
	// its usual speed: its present one is the usual one.
	maxSpan = 5 * time.Second
)

// Outlook is a forecast of a server's slowness, relative to a normal server: Present for
// the time Rest, and Later after that. A run of a request is measured in the time that it
// takes at a slowness of 1.
type Outlook struct {
	Present float64
	Rest    time.Duration
	Later   float64
}

// Steady is the outlook of a server whose speed does not change.
func Steady(slowness float64) Outlook { return Outlook{Present: slowness, Later: slowness} }

// End returns when work is done that begins after the time start. Both times count from
// the time of the outlook.
func (o Outlook) End(start, work time.Duration) time.Duration {
	if start >= o.Rest {
		return start + scale(work, o.Later)
	}
	before := scale(o.Rest-start, 1/o.Present) // work that is done in the present span
	if work <= before {
		return start + scale(work, o.Present)
	}
	return o.Rest + scale(work-before, o.Later)
}

func scale(d time.Duration, f float64) time.Duration {
	if f == 1 {
		return d
	}
	return time.Duration(float64(d) * f)
}

// average is a mean over time: of all values until window has passed, and then
// exponentially weighted.
type average struct {
	value float64
	total time.Duration
}

func (a *average) add(v float64, d, window time.Duration) {
	if d <= 0 {
		return
	}
	a.total += d
	w := max(1-math.Exp(-d.Seconds()/window.Seconds()), d.Seconds()/a.total.Seconds())
	a.value += w * (v - a.value)
}

// lengths holds the lengths of the newest spans of one kind.
type lengths struct {
	d    [keptSpans]time.Duration
	n    int
	next int
}

func (l *lengths) add(d time.Duration) {
	l.d[l.next] = d
	l.next = (l.next + 1) % keptSpans
	l.n = min(l.n+1, keptSpans)
}

// rest returns how long a span of the age goes on: the mean rest of the known spans that
// lasted for longer. A span that is longer than all of them goes on for as long again as
// it has exceeded them; nothing else is known of it.
func (l *lengths) rest(age time.Duration) time.Duration {
	var sum, longest time.Duration
	n := 0
	for _, d := range l.d[:l.n] {
		longest = max(longest, d)
		if d > age {
			sum += d - age
			n++
		}
	}
	if n == 0 {
		return age - longest
	}
	return sum / time.Duration(n)
}

// spans follows the slowness of a server, which alternates between its usual speed and
// spans in which it is slow. The zero value has not seen a slowness.
type spans struct {
	level  float64 // present slowness
	speed  average // of all times: the inverse of the slowness
	usual  average // of the times outside of slow spans
	slow   bool    // in a slow span
	since  time.Time
	ended  bool       // since is the end of another span, so the length of this one will be known
	recent [2]lengths // usual and slow
}

func kind(slow bool) int {
	if slow {
		return 1
	}
	return 0
}

// pass records that the server had its present slowness for d.
func (s *spans) pass(d time.Duration) {
	s.speed.add(1/s.level, d, meanWindow)
	if !s.slow {
		s.usual.add(s.level, d, meanWindow)
	}
}

// mean returns the slowness that a server of steady speed would have which does as much
// work over time.
func (s *spans) mean() float64 { return 1 / s.speed.value }

// set records a slowness that the server states at now.
func (s *spans) set(level float64, now time.Time) {
	first := s.level == 0
	s.level = level
	if first {
		s.speed.value, s.usual.value, s.since = 1/level, level, now
		return
	}
	// What was taken for the usual speed may have been that of a slow span.
	tooSlow := s.usual.value > slowFactor*level
	if s.slow && now.Sub(s.since) > maxSpan {
		tooSlow = true
	}
	if tooSlow {
		s.usual = average{value: level}
	}
	slow := level > slowFactor*s.usual.value
	if slow == s.slow && !tooSlow {
		return
	}
	if s.ended && !tooSlow {
		s.recent[kind(s.slow)].add(now.Sub(s.since))
	}
	s.slow, s.since, s.ended = slow, now, !tooSlow
}

// outlook returns the forecast at now.
func (s *spans) outlook(now time.Time) Outlook {
	o := Outlook{Present: s.level, Rest: s.recent[kind(s.slow)].rest(now.Sub(s.since)), Later: s.mean()}
	if s.slow {
		o.Later = s.usual.value
	}
	return o
}
