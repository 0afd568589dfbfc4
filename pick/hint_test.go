package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// newHintedPicker returns a picker that has sent requests to n endpoints of data centre a
// and to m of b, all with a latency of 100 ms.
func newHintedPicker(t *testing.T, n, m int) (*Picker, *manualClock, []pollenlatch.Instance) {
	t.Helper()
	p, c := newTestPicker()
	all := candidates(n)
	for id := range m {
		all = append(all, candidate(pollenlatch.InstanceID(n+id+1), "b"))
	}
	_, done, _ := p.Pick(all, "a", nil) // no endpoint is cold
	done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	for _, i := range all {
		_, done, _ := p.Pick([]pollenlatch.Instance{i}, i.DC, nil)
		c.advance(100 * time.Millisecond)
		done(pollenlatch.OutcomeRan, "", 100*time.Millisecond)
	}
	return p, c, all
}

// picks returns how often each of the endpoints is picked; the requests do not end.
func picks(t *testing.T, n int, pick func() (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool)) map[pollenlatch.InstanceID]int {
	t.Helper()
	m := map[pollenlatch.InstanceID]int{}
	for range n {
		i, done, ok := pick()
		require.True(t, ok)
		m[i.ID]++
		defer done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	}
	return m
}

// Guards against requests that wait at one server while another has free slots, which this
// daemon alone does not know.
func TestPickUsesHints(t *testing.T) {
	p, c, all := newHintedPicker(t, 4, 0)
	for _, i := range all {
		h := pollenlatch.ServerHint{Slots: 10, Waiting: 10, WaitMillis: 300}
		if i.ID == 3 {
			h = pollenlatch.ServerHint{Slots: 10, FreeSlots: 8}
		}
		p.Observe(i.ID, h)
	}
	m := picks(t, 8, func() (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
		return p.PickMostRoom(all, "a", nil)
	})
	require.Equal(t, map[pollenlatch.InstanceID]int{3: 8}, m, "the endpoint with the most room")
	c.advance(10 * time.Millisecond)
	m = picks(t, 60, func() (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
		return p.PickMostRoom(all, "a", nil)
	})
	require.Less(t, m[3], 45, "the requests that were sent since the hint take its free slots")
	c.advance(hintAge)
	for _, i := range all {
		e := p.endpoints[i.ID]
		latency, ahead := p.estimate(e, c.now)
		require.InDelta(t, latency*(ahead+1), p.cost(e, c.now), 1e-9, "an old hint must not count")
	}
}

// Guards against requests that leave the data centre although a server here would run them
// as soon, and against requests that wait here for longer than the hop takes.
func TestSpillByHints(t *testing.T) {
	for _, tt := range []struct {
		name       string
		near, far  pollenlatch.ServerHint
		minSpilled int
		maxSpilled int
	}{
		{"free slots here", pollenlatch.ServerHint{Slots: 10, FreeSlots: 10}, pollenlatch.ServerHint{Slots: 10, FreeSlots: 10}, 0, 0},
		{"a short wait here", pollenlatch.ServerHint{Slots: 10, WaitMillis: 1}, pollenlatch.ServerHint{Slots: 10, WaitMillis: 1}, 0, 5},
		{"a long wait here", pollenlatch.ServerHint{Slots: 10, WaitMillis: 200}, pollenlatch.ServerHint{Slots: 10, FreeSlots: 10}, 8, 10},
		{"a long wait everywhere", pollenlatch.ServerHint{Slots: 10, WaitMillis: 200}, pollenlatch.ServerHint{Slots: 10, WaitMillis: 200}, 0, 6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, _, all := newHintedPicker(t, 2, 2)
			for _, i := range all {
				if i.DC == "a" {
					p.Observe(i.ID, tt.near)
				} else {
					p.Observe(i.ID, tt.far)
				}
			}
			m := picks(t, 10, func() (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
				return p.Pick(all, "a", nil)
			})
			require.GreaterOrEqual(t, m[3]+m[4], tt.minSpilled)
			require.LessOrEqual(t, m[3]+m[4], tt.maxSpilled)
		})
	}
}

func BenchmarkPickMostRoom(b *testing.B) {
	p := New(Config{Seed: 1})
	all := candidates(200)
	_, done, _ := p.Pick(all, "a", nil) // no endpoint is cold
	done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	for _, i := range all {
		_, done, _ := p.Pick([]pollenlatch.Instance{i}, "a", nil)
		done(pollenlatch.OutcomeRan, "", time.Millisecond)
		p.Observe(i.ID, pollenlatch.ServerHint{Slots: 10, WaitMillis: 20})
	}
	for b.Loop() {
		_, done, _ := p.PickMostRoom(all, "a", nil)
		done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	}
}
