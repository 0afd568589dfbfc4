package cold

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const testRate = 14.0 // requests a second that a cold server tolerates

// maxPerSecond is the bound of a deployment.
func maxPerSecond(rate float64) int { return int(1.5*rate + 8) }

// busiestSecond returns the highest number of times within any second.
func busiestSecond(sent []time.Time) int {
	first, most := 0, 0
	for n := range sent {
		for sent[n].Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// Guards against full traffic to a server that has just started, and against a signal
// that was overtaken by a newer one and ends the cold state early.
func TestMonitor(t *testing.T) {
	t.Parallel()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tt := range []struct {
		name   string
		events func(m *Monitor)
		cold   []int // milliseconds at which the server is cold
		warm   []int
	}{
		{"nothing is known", func(*Monitor) {}, []int{0, 60_000}, nil},
		{"a heartbeat says warm", func(m *Monitor) { m.Heartbeat(0, at(0)) }, nil, []int{0}},
		{"a response says warm", func(m *Monitor) { m.Response(0, at(-1), at(0)) }, nil, []int{0}},
		{"cold for 3 s", func(m *Monitor) { m.Heartbeat(ms(3000), at(0)) }, []int{0, 2999, 3050}, []int{3100}},
		{"ends early", func(m *Monitor) { m.Heartbeat(ms(3000), at(0)); m.Heartbeat(0, at(500)) }, nil, []int{500}},
		{"cold again in mid-life", func(m *Monitor) { m.Heartbeat(0, at(0)); m.Response(ms(3000), at(495), at(500)) }, []int{500, 3500}, []int{3600}},
		{"a heartbeat was overtaken", func(m *Monitor) { m.Response(ms(3000), at(-5), at(0)); m.Heartbeat(0, at(100)) }, []int{100, 2999}, nil},
		{"a response was overtaken", func(m *Monitor) { m.Heartbeat(ms(3000), at(0)); m.Response(0, at(-5), at(5)) }, []int{5, 2999}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var m Monitor
			tt.events(&m)
			for _, ms := range tt.cold {
				require.True(t, m.Cold(at(ms)), "at %d ms", ms)
			}
			for _, ms := range tt.warm {
				require.False(t, m.Cold(at(ms)), "at %d ms", ms)
			}
		})
	}
}

// A cold server must not get more requests in any second than the bound: from its start
// on, when it becomes cold while it gets its full traffic and the signal comes late, and
// when the daemon beside it restarts. It must still get the requests that it tolerates.
func TestLimiterKeepsBound(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name     string
		rate     float64 // of the cold server
		offered  float64 // requests a second
		signalMs int     // when the daemon learns that the server is cold
		restart  bool    // of the daemon, at 2 s
	}{
		{"cold from the start", testRate, 60, 0, false},
		{"signal 300 ms late", testRate, 60, 300, false},
		{"signal 450 ms late", testRate, 60, 450, false},
		{"signal 600 ms late at half the rate", testRate, 35, 600, false},
		{"restart of the daemon", testRate, 60, 0, true},
		{"a low rate", 0.5, 20, 0, true},
		{"a high rate", 200, 900, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var l Limiter
			offered := 0.0
			l.SetLimit(tt.rate, tt.signalMs == 0, time.Time{}, at(-2000))
			if tt.signalMs == 0 {
				l.SetLimit(tt.rate, true, time.Time{}, at(0))
			}
			var sent []time.Time // since the server is cold
			for ms := -2000; ms < 6000; ms++ {
				switch {
				case ms == tt.signalMs:
					l.SetLimit(tt.rate, true, time.Time{}, at(ms))
				case ms == 2000 && tt.restart:
					l = Limiter{}
					l.SetLimit(tt.rate, true, time.Time{}, at(ms))
				}
				if offered += tt.offered / 1000; offered < 1 {
					continue
				}
				offered--
				if l.Wait(1, at(ms)) > 0 {
					continue
				}
				l.Take(at(ms))
				if ms >= 0 {
					sent = append(sent, at(ms))
				}
			}
			require.LessOrEqual(t, busiestSecond(sent), maxPerSecond(tt.rate))
			require.GreaterOrEqual(t, float64(len(sent)), 0.7*tt.rate*5-1, "the server gets less than it tolerates")
		})
	}
}

// The forecast must not go beyond the end of the cold state: requests that can be served
// then would be refused.
func TestLimiterForecast(t *testing.T) {
	t.Parallel()
	var l Limiter
	l.SetLimit(10, true, at(1000), start)
	require.InDelta(t, 0.3, l.Wait(3, start).Seconds(), 1e-6)
	require.Equal(t, time.Second, l.Wait(100, start))
	l.SetLimit(10, false, time.Time{}, at(1000))
	require.Zero(t, l.Wait(100, at(1000)))
}

// Requests that were admitted in time but are all sent at the same moment, after a pause
// of the process, must not exceed the bound.
func TestGate(t *testing.T) {
	t.Parallel()
	var g Gate
	require.Zero(t, g.Send(true, start), "without a limit")
	g.SetLimit(testRate)
	for ms := -1000; ms < 0; ms += 28 { // a warm server gets 35 requests a second
		require.Zero(t, g.Send(false, at(ms)))
	}
	require.True(t, g.ExceedsColdRate(at(0)))
	require.False(t, g.ExceedsColdRate(at(800)))
	require.Positive(t, g.Send(true, at(0)), "those of the last second count")
	var sent []time.Time
	for ms := 1500; ms < 5000; ms += 10 {
		if wait := g.Send(true, at(ms)); wait == 0 {
			sent = append(sent, at(ms))
		} else {
			require.Zero(t, func() time.Duration { c := g; return c.Send(true, at(ms).Add(wait)) }(), "the wait is too short")
		}
	}
	require.Less(t, busiestSecond(sent), maxPerSecond(testRate))
}

// Health checks cost a request each. They must be as few as the bound allows at each rate:
// none where a cold server may get as many requests, and no more than a cold server may get
// in a second between two of them.
func TestCheckDue(t *testing.T) {
	t.Parallel()
	const interval = 250
	for _, tt := range []struct {
		rate, minChecks, maxChecks int // requests a second; checks in ten seconds
	}{{10, 0, 0}, {20, 5, 14}, {35, 15, 21}, {60, 35, 41}} {
		var g Gate
		g.SetLimit(testRate)
		checks, sent, sinceCheck, most := 0, 0, 0, 0
		for ms := range 12_000 {
			for ; sent < ms*tt.rate/1000; sent++ {
				require.Zero(t, g.Send(false, at(ms)))
				sinceCheck++
			}
			if ms%interval == 0 && g.CheckDue(interval*time.Millisecond, at(ms)) {
				g.Checked(at(ms))
				if ms >= 2000 {
					checks, most = checks+1, max(most, sinceCheck)
				}
				sinceCheck = 0
			}
		}
		require.GreaterOrEqual(t, checks, tt.minChecks, "%d requests a second", tt.rate)
		require.LessOrEqual(t, checks, tt.maxChecks, "%d requests a second", tt.rate)
		require.LessOrEqual(t, most, maxInWindow(admitFactor, admitSlack, testRate), "%d requests a second", tt.rate)
	}
}

// A server that answers half as fast all at once must be noticed after a few responses.
// Single slow responses, and a lasting slowness, must not cause a check each.
func TestDip(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 3))
	var d Dip
	run := func(fromMs, toMs int, factor func() float64) (dips int, first int) {
		for ms := fromMs; ms < toMs; ms += 20 {
			if d.Observe("r", time.Duration(100*factor()*float64(time.Millisecond)), at(ms)) {
				if dips++; dips == 1 {
					first = ms - fromMs
				}
			}
		}
		return dips, first
	}
	noise := func() float64 { return 0.7 + 0.6*rng.Float64() }
	dips, _ := run(0, 10_000, noise)
	require.Zero(t, dips)
	dips, _ = run(10_000, 10_060, func() float64 { return 3 })
	require.LessOrEqual(t, dips, 1)
	run(10_060, 20_000, noise)
	dips, first := run(20_000, 23_000, func() float64 { return 2.4 * noise() })
	require.Positive(t, dips)
	require.Less(t, first, 250)
	require.LessOrEqual(t, dips, 3000/250+1)
}

// BenchmarkRequest measures the cost of the limits for each request.
func BenchmarkRequest(b *testing.B) {
	for name, rate := range map[string]float64{"no rate": 0, "warm": testRate, "cold": 1e4} {
		b.Run(name, func(b *testing.B) {
			var l Limiter
			var g Gate
			var d Dip
			l.SetLimit(rate, name == "cold", time.Time{}, start)
			g.SetLimit(rate)
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if l.Wait(1, now) == 0 {
					l.Take(now)
				}
				_ = g.Send(name == "cold", now)
				_ = d.Observe("r", time.Millisecond, now)
			}
		})
	}
}
