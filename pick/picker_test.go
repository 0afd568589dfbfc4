package pick

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now pollenlatch.MonoTime }

func (c *manualClock) Now() pollenlatch.MonoTime { return c.now }

func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func candidate(id pollenlatch.InstanceID, dc string) pollenlatch.Instance {
	return pollenlatch.Instance{
		ID: id, DC: dc, Lease: 1,
		Endpoint: &pollenlatch.Endpoint{Service: "catalogue", Slots: 10, Ready: true, Incarnation: 1},
	}
}

func candidates(n int) []pollenlatch.Instance {
	var all []pollenlatch.Instance
	for i := range n {
		all = append(all, candidate(pollenlatch.InstanceID(i+1), "a"))
	}
	return all
}

func newTestPicker() (*Picker, *manualClock) {
	c := &manualClock{now: pollenlatch.MonoTime(time.Hour)}
	return New(Config{Clock: c, Seed: 1}), c
}

// countPicks picks n times, ends each request at once with a response after 10
// ms, and counts the picks of each instance. Instances in failing respond with
// a server error.
func countPicks(t *testing.T, p *Picker, c *manualClock, all []pollenlatch.Instance, n int, failing pollenlatch.Set[pollenlatch.InstanceID]) map[pollenlatch.InstanceID]int {
	t.Helper()
	m := make(map[pollenlatch.InstanceID]int)
	for range n {
		i, done, ok := p.Pick(all, "a", nil)
		require.True(t, ok)
		c.advance(time.Millisecond)
		if failing.Has(i.ID) {
			done(pollenlatch.OutcomeRan, pollenlatch.ReasonServerError, time.Millisecond)
		} else {
			done(pollenlatch.OutcomeRan, "", 10*time.Millisecond)
		}
		m[i.ID]++
	}
	return m
}

// Requests that leave the data centre without need pay for the round trip.
func TestPickPrefersSameDC(t *testing.T) {
	p, c := newTestPicker()
	all := append(candidates(2), candidate(8, "b"), candidate(9, "b"))
	m := countPicks(t, p, c, all, 1000, nil)
	require.Less(t, m[8]+m[9], 20, "only a few picks, to measure the latency")
	var results []func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration)
	far := 0
	for range 60 { // no request ends, so this data centre becomes overloaded
		i, done, ok := p.Pick(all, "a", nil)
		require.True(t, ok)
		results = append(results, done)
		if i.DC == "b" {
			far++
		}
	}
	require.Greater(t, far, 10)
	for _, done := range results {
		done(pollenlatch.OutcomeRan, "", 10*time.Millisecond)
		done(pollenlatch.OutcomeRan, "", 10*time.Millisecond) // a second call must have no effect
	}
	for _, e := range p.endpoints {
		require.Zero(t, e.inflight)
	}
}

// A failing endpoint must lose its traffic, and get it back when it works
// again.
func TestPickEjectsFailing(t *testing.T) {
	p, c := newTestPicker()
	all := candidates(3)
	bad := pollenlatch.SetOf[pollenlatch.InstanceID](2)
	countPicks(t, p, c, all, 100, bad)
	require.Greater(t, p.endpoints[2].ejectedUntil, c.now)
	require.Zero(t, countPicks(t, p, c, all, 50, bad)[2])
	for p.endpoints[2].ejectedUntil <= c.now.Add(4*DefaultBaseEjectionTime) { // it keeps failing, so the ejections become longer
		c.advance(100 * time.Millisecond)
		countPicks(t, p, c, all, 10, bad)
	}
	c.now = p.endpoints[2].ejectedUntil
	low := countPicks(t, p, c, all, 500, nil)[2]
	require.Positive(t, low)
	c.advance(DefaultWarmUp)
	require.Greater(t, countPicks(t, p, c, all, 500, nil)[2], 2*low)
	require.Zero(t, p.endpoints[2].ejections, "the next ejection must be short again")
}

// When all endpoints seem to fail, ejecting all of them would leave none to
// serve requests.
func TestPickLimitsEjections(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7} {
		p, c := newTestPicker()
		all := candidates(n)
		bad := make(pollenlatch.Set[pollenlatch.InstanceID])
		for _, i := range all {
			bad = bad.With(i.ID)
		}
		countPicks(t, p, c, all, 200, bad)
		out := 0
		for _, e := range p.endpoints {
			if e.ejectedUntil > c.now {
				out++
			}
		}
		require.Equal(t, n/maxEjectedDivisor, out, "of %d", n)
	}
}

// Results that say nothing about the endpoint must not eject it.
func TestPickIgnoresInconclusiveResults(t *testing.T) {
	for _, r := range []struct {
		outcome pollenlatch.Outcome
		reason  pollenlatch.Reason
	}{
		{pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled},
		{pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded}, // after 1 ms, too short for a conclusion
		{pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited},
		{pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull},
		{pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded},
	} {
		p, c := newTestPicker()
		for range 100 {
			_, done, _ := p.Pick(candidates(3), "a", nil)
			done(r.outcome, r.reason, time.Millisecond)
			c.advance(time.Millisecond)
		}
		for _, e := range p.endpoints {
			require.Zero(t, e.ejectedUntil, "%v", r)
		}
	}
}

// A cold endpoint that gets its full traffic at once would fail the requests.
func TestPickWarmsUp(t *testing.T) {
	p, c := newTestPicker()
	countPicks(t, p, c, candidates(3), 300, nil)
	all := candidates(4)
	first := countPicks(t, p, c, all, 400, nil)[4]
	require.Positive(t, first)
	require.Less(t, first, 100/2)
	c.advance(DefaultWarmUp)
	require.Greater(t, countPicks(t, p, c, all, 400, nil)[4], 2*first)
	t.Run("new incarnation", func(t *testing.T) {
		again := candidate(1, "a")
		again.Endpoint.Incarnation = 2
		all[0] = again
		require.Less(t, countPicks(t, p, c, all, 400, nil)[1], 100/2)
	})
}

// An endpoint that does not respond must not attract requests, which would all
// time out.
func TestPickAvoidsSilent(t *testing.T) {
	p, c := newTestPicker()
	all := candidates(2)
	countPicks(t, p, c, all, 100, nil)
	_, _, ok := p.Pick(all, "a", pollenlatch.SetOf[pollenlatch.InstanceID](2)) // never responds
	require.True(t, ok)
	c.advance(time.Second)
	p.endpoints[2].inflight, p.endpoints[2].lastProgress = 5, c.now // busier, but it responds
	require.Zero(t, countPicks(t, p, c, all, 100, nil)[1])
}

// A retry must not go to the endpoint that has just failed. An ejected endpoint
// is better than none.
func TestPickSkipsTried(t *testing.T) {
	p, c := newTestPicker()
	all := candidates(2)
	i, _, ok := p.Pick(all, "a", pollenlatch.SetOf[pollenlatch.InstanceID](1))
	require.True(t, ok)
	require.Equal(t, pollenlatch.InstanceID(2), i.ID)
	_, _, ok = p.Pick(all, "a", pollenlatch.SetOf[pollenlatch.InstanceID](1, 2))
	require.False(t, ok)
	p.endpoints[1].ejectedUntil = c.now.Add(time.Minute)
	i, _, ok = p.Pick(all, "a", pollenlatch.SetOf[pollenlatch.InstanceID](2))
	require.True(t, ok)
	require.Equal(t, pollenlatch.InstanceID(1), i.ID)
	_, _, ok = p.Pick(nil, "a", nil)
	require.False(t, ok)
}

// The statistics of endpoints that no longer exist must not accumulate.
func TestPickForgets(t *testing.T) {
	p, c := newTestPicker()
	countPicks(t, p, c, candidates(5), 50, nil)
	c.advance(2 * endpointExpiry)
	countPicks(t, p, c, candidates(1), 1, nil)
	c.advance(2 * endpointExpiry)
	countPicks(t, p, c, candidates(1), 1, nil)
	require.Len(t, p.endpoints, 1)
}

// Retries beyond the budget would multiply an overload. Without a minimum rate,
// a daemon with few requests could not retry at all.
func TestBudget(t *testing.T) {
	now := pollenlatch.MonoTime(time.Hour)
	take := func(b *RetryBudget) int {
		n := 0
		for b.TakeRetry(now) {
			n++
		}
		return n
	}
	var b RetryBudget
	require.Equal(t, DefaultMinRate, take(&b), "at the start")
	now = now.Add(time.Second)
	require.Equal(t, DefaultMinRate, take(&b), "after a second at the minimum rate")
	for range 500 {
		b.RecordRequest()
	}
	require.InDelta(t, 500*DefaultRatio, take(&b), 1, "share of the requests")
	for range 100_000 {
		b.RecordRequest()
	}
	require.Equal(t, DefaultBurst, take(&b), "maximum of unused retries")
	now = now.Add(-time.Minute)
	require.Zero(t, take(&b), "a clock that goes backwards must not add retries")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			p := New(Config{Seed: 1})
			all := candidates(n)
			b.ReportAllocs()
			for b.Loop() {
				_, done, _ := p.Pick(all, "a", nil)
				done(pollenlatch.OutcomeRan, "", time.Millisecond)
			}
		})
	}
}

// A request that the local server can run must not take a hop to another
// daemon, unless the local server is full, cold, slow or failing.
func TestPickLocalServer(t *testing.T) {
	const own = pollenlatch.InstanceID(1)
	for _, tt := range []struct {
		name     string
		free     int
		latency  time.Duration // of the local server; that of the others is 10 ms
		reason   pollenlatch.Reason
		minPicks int // out of 300
		maxPicks int
	}{
		{name: "free slots", free: 1, latency: 10 * time.Millisecond, minPicks: 300, maxPicks: 300},
		{name: "slightly slower", free: 1, latency: 13 * time.Millisecond, minPicks: 290, maxPicks: 300},
		{name: "full", free: 0, latency: 10 * time.Millisecond, minPicks: 30, maxPicks: 200},
		{name: "slow", free: 1, latency: 40 * time.Millisecond, maxPicks: 60},
		{name: "failing", free: 1, latency: time.Millisecond, reason: pollenlatch.ReasonServerError, maxPicks: 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &manualClock{now: pollenlatch.MonoTime(time.Hour)}
			p := New(Config{Clock: c, Seed: 1, LocalServer: func() (pollenlatch.InstanceID, int) { return own, tt.free }})
			all := candidates(4)
			run := func(n int) (picks int) {
				for range n {
					i, done, ok := p.Pick(all, "a", nil)
					require.True(t, ok)
					c.advance(10 * time.Millisecond)
					if i.ID == own {
						picks++
						done(pollenlatch.OutcomeRan, tt.reason, tt.latency)
						continue
					}
					done(pollenlatch.OutcomeRan, "", 10*time.Millisecond)
				}
				return picks
			}
			run(100)
			n := run(300)
			require.GreaterOrEqual(t, n, tt.minPicks)
			require.LessOrEqual(t, n, tt.maxPicks)
		})
	}
	t.Run("cold", func(t *testing.T) {
		c := &manualClock{now: pollenlatch.MonoTime(time.Hour)}
		p := New(Config{Clock: c, Seed: 1, LocalServer: func() (pollenlatch.InstanceID, int) { return 9, 1 }})
		countPicks(t, p, c, candidates(4), 10, nil)
		m := countPicks(t, p, c, append(candidates(4), candidate(9, "a")), 20, nil)
		require.Less(t, m[9], 10)
	})
}

// An instance that refuses a request because of overload must count as
// overloaded for a while, like one with a full queue.
func TestPickAfterOverload(t *testing.T) {
	p, c := newTestPicker()
	all := candidates(2)
	countPicks(t, p, c, all, 20, nil)
	i, done, ok := p.Pick(all, "a", nil)
	require.True(t, ok)
	done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonOverloaded, time.Millisecond)
	for range 10 {
		next, done, ok := p.Pick(all, "a", nil)
		require.True(t, ok)
		require.NotEqual(t, i.ID, next.ID)
		done(pollenlatch.OutcomeRan, "", 10*time.Millisecond)
		c.advance(time.Millisecond)
	}
}

// A cold server must get about its ColdRate. With its full traffic it refuses most
// requests, and without any it stays idle until it is warm.
func TestPickColdServer(t *testing.T) {
	const coldRate = 14
	c := &manualClock{now: pollenlatch.MonoTime(time.Hour)}
	p := New(Config{
		Clock: c, Seed: 1, LocalServer: func() (pollenlatch.InstanceID, int) { return 4, 10 },
		ColdRate: func(service string) float64 {
			require.Equal(t, "catalogue", service)
			return coldRate
		},
	})
	all := candidates(4)
	countPicks(t, p, c, all, 100, nil)
	all[3].Endpoint.Cold = true
	// 1 ms between requests is a rate of 1000 for 4 servers; each can run 1000.
	m := countPicks(t, p, c, all, 5000, nil)
	require.Greater(t, m[4], 5)
	require.Less(t, m[4], 5*4*coldRate)
	all[0].Endpoint.Cold, all[1].Endpoint.Cold, all[2].Endpoint.Cold = true, true, true
	m = countPicks(t, p, c, all, 1000, nil)
	require.Greater(t, min(m[1], m[2], m[3], m[4]), 100, "all are cold: %v", m)
}

// A server whose daemon keeps its pace must get its full traffic at once. With a warm-up
// by time it would be idle for seconds after it is ready.
func TestPickPacedServer(t *testing.T) {
	for _, paced := range []bool{false, true} {
		c := &manualClock{now: pollenlatch.MonoTime(time.Hour)}
		p := New(Config{Clock: c, Seed: 1, Paced: func(string) bool { return paced }})
		all := candidates(4)
		countPicks(t, p, c, all[:3], 100, nil)
		m := countPicks(t, p, c, all, 400, nil)
		if paced {
			require.Greater(t, m[4], 80)
		} else {
			require.Less(t, m[4], 60)
		}
	}
}
