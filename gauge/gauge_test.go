package gauge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// A malformed load must have no effect, and a wrong slowness a limited one.
func TestParse(t *testing.T) {
	for in, want := range map[string]pollenlatch.ServerLoad{
		"1,2,12":       {Running: 1, Waiting: 2, Slots: 12},
		"1,2,12,300":   {Running: 1, Waiting: 2, Slots: 12, Slowness: 300},
		"0, 0, 12, 99": {Slots: 12, Slowness: 99},
		"0,0,9,0":      {Slots: 9, Slowness: minSlowness},
		"0,0,9,100000": {Slots: 9, Slowness: maxSlowness},
	} {
		got, err := Parse(in)
		require.NoError(t, err, in)
		require.Equal(t, want, got, in)
	}
	for _, in := range []string{"", "1", "1,2", "1,2,3,4,5", "1,2,3,", "-1,0,9", "1,2,x", "1.5,2,9", "1,2,9,NaN", "4294967296,0,9", "4000000000,0,9", ",,,"} {
		got, err := Parse(in)
		require.ErrorIs(t, err, errLoad, in)
		require.Zero(t, got)
	}
}

func TestOutlook(t *testing.T) {
	o := Outlook{Present: 3, Rest: 300 * ms, Later: 1}
	for _, tt := range []struct{ start, work, want time.Duration }{
		{0, 50 * ms, 150 * ms},
		{0, 100 * ms, 300 * ms},
		{0, 140 * ms, 340 * ms}, // 100 ms of the work in the slow span
		{150 * ms, 140 * ms, 390 * ms},
		{300 * ms, 140 * ms, 440 * ms},
		{time.Second, 140 * ms, 1140 * ms},
	} {
		require.InDelta(t, tt.want, o.End(tt.start, tt.work), float64(time.Microsecond), "%v after %v", tt.work, tt.start)
	}
	require.Equal(t, 240*ms, Steady(1).End(100*ms, 140*ms))
}

// Guards against requests that are refused because a slow span that is about to end was
// expected to last, and against forecasts that take ten runs to follow the server.
func TestSpansAreLearnt(t *testing.T) {
	g := new(Gauge)
	state := func(at time.Duration) State {
		slowness := uint32(100)
		if at%(2*time.Second) >= 1600*ms {
			slowness = 300
		}
		g.Observe(pollenlatch.ServerLoad{Slowness: slowness}, start.Add(at))
		return g.State(start.Add(at))
	}
	for at := time.Duration(0); at < 31600*ms; at += 20 * ms {
		state(at)
	}
	first := state(31600 * ms)
	require.Equal(t, 3.0, first.Outlook.Present)
	require.InDelta(t, 400*ms, first.Outlook.Rest, float64(40*ms))
	require.InDelta(t, 1, first.Outlook.Later, 0.05)
	require.InDelta(t, 1/(0.8+0.2/3), first.Mean, 0.05)
	for at := 31620 * ms; at < 31900*ms; at += 20 * ms {
		state(at)
	}
	require.InDelta(t, 100*ms, state(31900*ms).Outlook.Rest, float64(40*ms))
	require.InDelta(t, 100*ms, state(31900*ms).Clock-first.Clock, float64(10*ms), "a third of 300 ms")
	for at := 31920 * ms; at <= 32*time.Second; at += 20 * ms {
		state(at)
	}
	require.Equal(t, 1.0, state(32*time.Second).Outlook.Present, "the span has ended")
}

// A lasting change of speed is not a span that ends.
func TestLastingSlowness(t *testing.T) {
	g := new(Gauge)
	for at := time.Duration(0); at < 20*time.Second; at += 20 * ms {
		slowness := uint32(100)
		if at >= 5*time.Second {
			slowness = 300
		}
		g.Observe(pollenlatch.ServerLoad{Slowness: slowness}, start.Add(at))
	}
	o := g.State(start.Add(20 * time.Second)).Outlook
	require.InDelta(t, time.Second, o.End(200*ms, 800*ms/3), float64(60*ms))
}

// A slowness that is out of date must have no more effect than the mean, and a server
// that states none has no effect.
func TestStaleSlowness(t *testing.T) {
	g := new(Gauge)
	require.Equal(t, State{Outlook: Steady(1), Mean: 1}, g.State(start))
	g.Observe(pollenlatch.ServerLoad{Running: 1}, start)
	require.False(t, g.State(start).Known)
	g.Observe(pollenlatch.ServerLoad{Slowness: 100}, start)
	g.Observe(pollenlatch.ServerLoad{Slowness: 300}, start.Add(3*time.Second))
	now := start.Add(3*time.Second + MaxAge)
	require.EqualValues(t, 300, g.Slowness(now))
	now = now.Add(ms)
	s := g.State(now)
	require.Equal(t, Steady(s.Mean), s.Outlook)
	require.InDelta(t, 1.5, s.Mean, 0.01, "stated for a second each")
	require.Zero(t, g.Slowness(now))
	g.Reset()
	require.False(t, g.State(now).Known)
}

// Requests at the server that this daemon does not wait for take up slots: those that it
// has given up, and those of an earlier process.
func TestOthers(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	load := func(requests, slowness uint32) pollenlatch.ServerLoad {
		return pollenlatch.ServerLoad{Running: requests, Slots: 9, Slowness: slowness}
	}
	send := func(g *Gauge, n int, now time.Time) (sent []*Sent) {
		for range n {
			s := g.Begin(now)
			g.Written(s, now)
			sent = append(sent, s)
		}
		return sent
	}
	t.Run("own requests", func(t *testing.T) {
		g := new(Gauge)
		send(g, 5, start)
		g.Observe(load(5, 100), at(20*ms))
		require.Equal(t, 9, g.Slots(9, at(20*ms)))
	})
	t.Run("after a restart", func(t *testing.T) {
		g := new(Gauge)
		send(g, 2, start)
		require.Equal(t, 9, g.Slots(9, at(ms)))
		g.Observe(load(6, 100), at(20*ms))
		require.Equal(t, 5, g.Slots(9, at(20*ms)))
		g.Observe(load(3, 100), at(30*ms))
		require.Equal(t, 8, g.Slots(9, at(30*ms)), "fewer are known at once")
		g.Observe(load(40, 100), at(40*ms))
		require.Equal(t, 8, g.Slots(9, at(40*ms)), "more only after a while")
		g.Observe(load(40, 100), at(300*ms))
		require.Equal(t, 1, g.Slots(9, at(300*ms)), "one slot is always used")
		require.Equal(t, 9, g.Slots(9, at(300*ms+MaxAge+ms)), "out of date")
		require.Zero(t, g.Slots(0, at(300*ms)), "no server")
	})
	t.Run("abandoned", func(t *testing.T) {
		for name, slowness := range map[string]uint32{"three figures": 0, "four figures": 100} {
			t.Run(name, func(t *testing.T) {
				g := new(Gauge)
				sent := send(g, 5, start)
				g.Observe(load(5, slowness), at(10*ms))
				for _, s := range sent[:3] {
					g.Abandon(s, at(5*time.Second), at(20*ms))
				}
				require.Equal(t, 3, g.Others(at(20*ms)))
				g.Observe(load(3, slowness), at(30*ms)) // two own ones, one abandoned
				require.Equal(t, 1, g.Others(at(30*ms)))
				require.Equal(t, 3, g.Others(at(2*time.Second)), "the figure is out of date")
				require.Zero(t, g.Others(at(5*time.Second)), "after their deadline")
			})
		}
	})
	t.Run("others at a server with three figures", func(t *testing.T) {
		g := new(Gauge)
		g.Observe(load(8, 0), start)
		require.Zero(t, g.Others(start))
	})
	t.Run("a server that does not state its load", func(t *testing.T) {
		g := new(Gauge)
		for _, s := range send(g, 5, start) {
			g.Abandon(s, at(time.Second), at(ms))
		}
		require.Zero(t, g.Others(at(ms)))
	})
	t.Run("of an earlier server", func(t *testing.T) {
		g := new(Gauge)
		sent := send(g, 5, start)
		g.Reset()
		g.Observe(load(0, 100), at(ms))
		g.Abandon(sent[0], at(time.Second), at(2*ms))
		g.End(sent[1])
		require.Zero(t, g.Others(at(2*ms)))
	})
}

// A request that the server has dropped must not hold a slot until its deadline, and one
// that the server may still run must not be given up.
func TestSilence(t *testing.T) {
	const expected = 150 * ms
	type step struct {
		after    time.Duration
		requests uint32
	}
	steady := func(requests uint32, from, to time.Duration) (steps []step) {
		for at := from; at <= to; at += 50 * ms {
			steps = append(steps, step{at, requests})
		}
		return steps
	}
	for _, tt := range []struct {
		name       string
		loads      []step
		at         time.Duration
		repeatable bool
		want       bool
	}{
		{"dropped", steady(2, 0, time.Second), time.Second, false, true},
		{"held", steady(3, 0, time.Second), time.Second, true, false},
		{"dropped, but not long ago", steady(2, 0, time.Second), silentFactor*expected - ms, true, false},
		{"too few responses", steady(2, 900*ms, 950*ms), time.Second, true, false},
		{"dropped only by some responses", append(steady(2, 0, 900*ms), step{950 * ms, 3}), time.Second, true, false},
		{"nothing from the server, repeatable", []step{{-100 * ms, 0}}, time.Second, true, true},
		{"nothing from the server, repeatable, shortly", []step{{-100 * ms, 0}}, 900 * ms, true, false},
		{"nothing from the server, not repeatable", []step{{-100 * ms, 0}}, 4 * time.Second, false, false},
		{"a server that does not state its load", nil, 4 * time.Second, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := new(Gauge)
			upload := g.Begin(start.Add(-time.Second)) // the server does not count it yet
			s := g.Begin(start)
			g.Written(s, start)
			var others []*Sent // one responds and another one runs
			for range 3 {
				o := g.Begin(start.Add(ms))
				g.Written(o, start.Add(ms))
				others = append(others, o)
			}
			for _, l := range tt.loads {
				if l.after <= tt.at {
					g.Observe(pollenlatch.ServerLoad{Running: l.requests, Slots: 9}, start.Add(l.after))
				}
			}
			now := start.Add(tt.at)
			require.Equal(t, tt.want, g.Silence(s, expected, tt.repeatable, now))
			if len(tt.loads) > 1 {
				require.False(t, g.Silence(others[0], expected, tt.repeatable, now), "only one is missing")
			}
			require.False(t, g.Silence(upload, expected, true, now))
			if tt.want && !tt.repeatable {
				g.Abandon(s, now.Add(time.Second), now)
				require.False(t, g.Silence(others[0], expected, tt.repeatable, now), "the missing one has been found")
				require.Zero(t, g.Others(now))
			}
		})
	}
}

// A server that does not count the request to which it responds must not be taken for one
// that drops requests.
func TestServerOmitsOwnRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		counts bool
		lost   int
		want   bool
	}{
		"counts it, none lost": {true, 0, false},
		"counts it, one lost":  {true, 1, true},
		"omits it, none lost":  {false, 0, false},
		"omits it, two lost":   {false, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := new(Gauge)
			respond := func(o *Sent, at time.Time) {
				held := uint32(len(g.sent) - tt.lost)
				if len(g.sent) <= 2 {
					held = uint32(len(g.sent))
				}
				if !tt.counts {
					held--
				}
				g.Observe(pollenlatch.ServerLoad{Running: held, Slots: 9}, at)
				g.End(o)
			}
			send := func(at time.Time) *Sent {
				o := g.Begin(at)
				g.Written(o, at)
				return o
			}
			now := start
			for range minMissing {
				o := send(now)
				now = now.Add(100 * ms)
				respond(o, now)
			}
			slow := []*Sent{send(now), send(now)}
			for range 20 {
				o := send(now)
				now = now.Add(100 * ms)
				respond(o, now)
			}
			require.Equal(t, tt.want, g.Silence(slow[0], 100*ms, false, now))
		})
	}
}

// A health check does not tell whether the server counts the request to which it responds.
func TestHealthDoesNotCalibrate(t *testing.T) {
	g := new(Gauge)
	lost := g.Begin(start)
	g.Written(lost, start)
	now := start
	for range 2 * minMissing {
		now = now.Add(100 * ms)
		g.ObserveHealth(pollenlatch.ServerLoad{Running: 1, Slots: 9}, now)
	}
	require.Zero(t, g.countsOwn)
	require.False(t, g.Silence(lost, 100*ms, false, now))
	for range 2 * minMissing {
		now = now.Add(200 * ms)
		g.ObserveHealth(pollenlatch.ServerLoad{Slots: 9}, now)
	}
	require.False(t, g.omitsOwn)
	require.True(t, g.Silence(lost, 100*ms, false, now), "the server holds nothing")
}

// BenchmarkRequest measures what one request costs.
func BenchmarkRequest(b *testing.B) {
	g, now := new(Gauge), start
	for range 12 {
		g.Written(g.Begin(now), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * ms)
		s := g.Begin(now)
		g.Written(s, now)
		g.Observe(pollenlatch.ServerLoad{Running: 13, Slots: 12, Slowness: 100}, now)
		g.End(s)
		_ = g.Slots(12, now)
		_ = g.State(now)
	}
}
