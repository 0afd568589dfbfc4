package ramp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testSlots = 12

func at(ms int) time.Time { return clock(time.Duration(ms) * time.Millisecond) }

// fullServer is a server whose slots are always in use.
type fullServer struct {
	limit Limit
	ends  []int // of the running requests, in milliseconds
	began []int
	done  int
}

func newFullServer() *fullServer {
	s := &fullServer{}
	s.limit.SetServer(testSlots, simColdTime)
	s.limit.Arrive("r", simObjective)
	return s
}

// run runs requests from one time to another. runTime returns the run time of a request
// that starts at a time, in milliseconds.
func (s *fullServer) run(from, to int, runTime func(ms int) int) {
	for ms := from; ms < to; ms++ {
		inFlight := len(s.ends)
		for n := 0; n < len(s.ends); n++ {
			if s.ends[n] > ms {
				continue
			}
			s.limit.Observe(Run{Route: "r", StartedAt: at(s.began[n]), Took: at(ms).Sub(at(s.began[n])), InFlight: inFlight}, at(ms))
			s.done++
			s.ends = append(s.ends[:n], s.ends[n+1:]...)
			s.began = append(s.began[:n], s.began[n+1:]...)
			n--
		}
		for len(s.ends) < s.limit.Slots() {
			s.ends, s.began = append(s.ends, ms+runTime(ms)), append(s.began, ms)
		}
	}
}

func constant(ms int) func(int) int { return func(int) int { return ms } }

// Guards against a fast server that is left idle, and against a limit that stays.
func TestFastServer(t *testing.T) {
	t.Parallel()
	s := newFullServer()
	s.limit.Begin(0, at(0))
	require.Equal(t, testSlots/2, s.limit.Slots())
	s.run(0, 290, constant(140))
	require.Equal(t, testSlots, s.limit.Slots(), "after two run times")
	s.run(290, 440, constant(140))
	require.False(t, s.limit.Active(), "after three run times")
}

// Guards against a limit that holds a server back although it meets the objective at
// twice its usual run time, and that comes back when it is as fast as usual.
func TestServerAtTwiceItsRunTime(t *testing.T) {
	t.Parallel()
	s := newFullServer()
	s.limit.Begin(0, at(0))
	s.run(0, 600, constant(280))
	require.Equal(t, testSlots, s.limit.Slots(), "after two run times")
	s.run(600, 3000, constant(280))
	s.run(3000, 5000, constant(140))
	require.False(t, s.limit.Active())
	require.Greater(t, s.done, 6*280/280+(3000-600)*testSlots/280)
}

// Guards against more requests than a server can run in time: the limit must fall with the
// first response that misses its objective, stay near what the server can run, and end
// when the server is ready.
func TestOverloadedServer(t *testing.T) {
	t.Parallel()
	s := newFullServer()
	s.limit.Begin(0, at(0))
	highest, longest := 0, 0
	s.run(0, 3000, func(ms int) int {
		n := max(1, len(s.ends))
		run := 140 * max(4, n) * max(4, n) / 16 // more than 4 at a time slow each other down
		if ms > 1000 {
			highest, longest = max(highest, s.limit.Slots()), max(longest, run)
		}
		return run
	})
	require.LessOrEqual(t, highest, 8)
	require.LessOrEqual(t, longest, 600)
	s.run(3000, 5500, constant(140))
	require.False(t, s.limit.Active())
}

// A server must start slowly after failures, after keys have moved to it and after it was
// out of use, but not because of a single failure or a few keys.
func TestBegin(t *testing.T) {
	t.Parallel()
	fail := func(l *Limit, n int) {
		for range n {
			l.Observe(Run{Route: "r", StartedAt: at(0), Failed: true}, at(10))
		}
	}
	for _, tt := range []struct {
		name  string
		event func(l *Limit)
		slots int
	}{
		{"nothing", func(*Limit) {}, testSlots},
		{"start", func(l *Limit) { l.Begin(0, at(0)) }, 6},
		{"two failures", func(l *Limit) { fail(l, 2) }, testSlots},
		{"failures with a response between them", func(l *Limit) { fail(l, 2); l.Observe(Run{Route: "r"}, at(20)); fail(l, 2) }, testSlots},
		{"three failures", func(l *Limit) { fail(l, 3) }, 4},
		{"a few keys", func(l *Limit) { l.Moved(8, 100, at(0)) }, testSlots},
		{"a quarter of its keys", func(l *Limit) { l.Moved(25, 100, at(0)) }, 9},
		{"all its keys", func(l *Limit) { l.Moved(100, 100, at(0)) }, 6},
		{"keys during a start", func(l *Limit) { l.Begin(0, at(0)); l.Moved(25, 100, at(0)) }, 6},
		{"out of use during a start", func(l *Limit) { l.Moved(25, 100, at(0)); l.Restart(at(0)) }, 6},
		{"full server", func(l *Limit) { l.Begin(0, at(0)); l.Observe(Run{Route: "r", Refused: true}, at(10)) }, 4},
		{"service without a cold time", func(l *Limit) { l.SetServer(testSlots, 0); l.Begin(0, at(0)); fail(l, 3) }, testSlots},
		{"one slot", func(l *Limit) { l.SetServer(1, simColdTime); l.Begin(0, at(0)) }, 1},
		{"no server", func(l *Limit) { l.SetServer(0, simColdTime); l.Begin(0, at(0)) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var l Limit
			l.SetServer(testSlots, simColdTime)
			tt.event(&l)
			require.Equal(t, tt.slots, l.Slots())
		})
	}
}

// A server that misses the objective at any load must not be limited for good.
func TestRampEnds(t *testing.T) {
	t.Parallel()
	s := newFullServer()
	s.limit.Begin(0, at(0))
	end := int(maxColdTimes * simColdTime.Milliseconds())
	s.run(0, end, constant(700))
	require.True(t, s.limit.Active())
	require.GreaterOrEqual(t, s.limit.Slots(), testSlots/4)
	s.run(end, end+1500, constant(700))
	require.False(t, s.limit.Active())
}

// BenchmarkRequest measures the cost for each request.
func BenchmarkRequest(b *testing.B) {
	var l Limit
	l.SetServer(testSlots, simColdTime)
	b.ReportAllocs()
	now := at(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Arrive("r", simObjective)
		l.Observe(Run{Route: "r", StartedAt: now, Took: time.Millisecond, InFlight: 4}, now)
	}
}

// A server that loses some of its responses has failures in a row too. It is not flooded,
// and a lower limit would refuse requests that it can run. One that gives no response for
// a while must recover.
func TestFailuresBetweenResponses(t *testing.T) {
	newLimit := func() *Limit {
		var l Limit
		l.SetServer(testSlots, simColdTime)
		l.Arrive("r", simObjective)
		return &l
	}
	l := newLimit()
	for ms := 0; ms < 4000; ms += 40 {
		failed := ms%400 >= 240 // four of ten, in a row
		l.Observe(Run{Route: "r", StartedAt: at(ms), Took: 100 * time.Millisecond, Failed: failed, InFlight: 4}, at(ms+100))
		require.False(t, l.Active(), "at %d ms", ms)
	}
	l = newLimit()
	l.Observe(Run{Route: "r", StartedAt: at(0), Took: 100 * time.Millisecond}, at(100))
	for ms := 100; ms < 800; ms += 40 {
		l.Observe(Run{Route: "r", StartedAt: at(ms), Failed: true}, at(ms+10))
	}
	require.True(t, l.Active())
}
