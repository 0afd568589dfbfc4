package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// newColdRun returns a limitRun at a server of a service with a ColdRate of 14.
func newColdRun(t *testing.T, cold bool, until time.Time) *limitRun {
	t.Helper()
	r := &limitRun{harness: newHarness(t, 12)}
	r.learnRunTime("r", 56*time.Millisecond)
	r.sched.cold.SetLimit(14, cold, until, r.now)
	return r
}

// A server that becomes cold while it gets 35 requests a second must not get more than
// 29 of them in any second, although the signal comes 300 ms later. Nested requests
// count. The others must be refused at once with the time at which the server takes the
// next one, and none must wait in vain.
func TestServerBecomesCold(t *testing.T) {
	t.Parallel()
	r := newColdRun(t, false, time.Time{})
	start := r.now
	var sent []*testRequest
	for ms := range 6000 {
		if ms == 2300 {
			r.sched.cold.SetLimit(14, true, r.now.Add(2700*time.Millisecond), r.now)
			r.sched.refuseOverdue(r.now)
		}
		if ms == 5000 {
			r.sched.cold.SetLimit(14, false, time.Time{}, r.now)
		}
		if ms%28 == 0 {
			r.nested = ms%56 == 0
			req := r.send(pollenlatch.ClassNormal)
			if sent = append(sent, req); req.refused != nil {
				require.LessOrEqual(t, req.refused.RetryAfter, 2800*time.Millisecond)
				require.GreaterOrEqual(t, req.refused.RetryAfter, r.sched.cold.Wait(1, r.now))
			}
		}
		r.pass()
	}
	inCold, after := 0, 0
	var cold []time.Time
	for _, at := range r.starts {
		switch d := at.Sub(start); {
		case d >= 5*time.Second:
			after++
		case d >= 2*time.Second:
			cold = append(cold, at)
			inCold++
		}
	}
	require.LessOrEqual(t, busiest(cold, time.Second), 29)
	require.GreaterOrEqual(t, inCold, 14*2, "the cold server gets less than it tolerates")
	require.GreaterOrEqual(t, after, 34, "the warm server gets less than its full traffic")
	for _, req := range sent {
		if req.refused != nil {
			require.NotEqual(t, pollenlatch.ReasonDeadlineExceeded, req.refused.Reason)
		}
	}
	require.Positive(t, r.sched.coldDelayed)
	require.Positive(t, r.sched.coldRefused)
}

// The limit of a cold server and the limit that the server names must both hold, and
// the lower one decides.
func TestColdLimitAndNamedLimit(t *testing.T) {
	t.Parallel()
	for _, named := range []float64{5, 100} {
		r := newColdRun(t, true, time.Time{})
		r.sched.limiter.SetLimit(named, r.now)
		require.Equal(t, min(named, 14), r.sched.limit())
		for ms := range 4000 {
			if ms%20 == 0 {
				r.send(pollenlatch.ClassNormal)
			}
			r.pass()
		}
		require.InDelta(t, min(named, 14)*4, float64(len(r.starts)), 5)
	}
}

// Requests that wait for the limit of a cold server must start when the cold state ends
// although no other request arrives or ends.
func TestSchedulerStartsRequestsWhenWarm(t *testing.T) {
	t.Parallel()
	s := NewScheduler()
	s.SetSlots(9)
	s.SetColdLimit(1, true, time.Now().Add(120*time.Millisecond))
	begin := time.Now()
	release, err := s.Admit(t.Context(), pollenlatch.AdmitRequest{Route: "r", Deadline: begin.Add(5 * time.Second)})
	require.NoError(t, err)
	release()
	require.GreaterOrEqual(t, time.Since(begin), 100*time.Millisecond)
	require.Less(t, time.Since(begin), 600*time.Millisecond)
	delayed, refused := s.ColdStats()
	require.Equal(t, []uint64{1, 0}, []uint64{delayed, refused})
}

// A server that starts slowly must run no more requests at a time than its pace allows,
// requests that it cannot serve in time must be refused when the pace falls, and the
// others must start when it rises.
func TestPace(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0)
	h.learnRunTime("r", 100*time.Millisecond)
	h.sched.setSlots(4, 2)
	var sent []*testRequest
	for range 6 {
		sent = append(sent, h.offer("r", pollenlatch.ClassNormal, 0, 350*time.Millisecond))
	}
	require.Len(t, h.sched.running, 2)
	require.EqualValues(t, 4, h.sched.paceDelayed)
	h.sched.setSlots(4, 1)
	h.sched.refuseOverdue(h.now)
	require.Len(t, h.sched.running, 2, "running requests are not affected")
	require.Positive(t, h.sched.paceRefused)
	refused := 0
	for _, req := range sent {
		if req.refused != nil {
			refused++
		}
	}
	require.EqualValues(t, h.sched.paceRefused, refused)
	require.EqualValues(t, 1, h.sched.hint(h.now).Slots, "other daemons do not learn of the pace")
	require.Zero(t, h.sched.hint(h.now).FreeSlots)
	h.sched.setSlots(4, 0)
	h.sched.startWaiting(h.now)
	require.Len(t, h.sched.running, min(4, 6-refused))
	h.sched.setSlots(0, 3)
	require.Zero(t, h.sched.slots, "there is no server")
}
