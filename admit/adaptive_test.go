package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// offerAdaptive adds a request to which the parts for overload apply.
func (h *harness) offerAdaptive(route string, class pollenlatch.Class, objective, deadline time.Duration, change func(*request)) *testRequest {
	h.t.Helper()
	req := &testRequest{request: &request{AdmitRequest: pollenlatch.AdmitRequest{
		Route: route, Class: class, Adaptive: true, SoftDeadline: h.now.Add(objective), Deadline: h.now.Add(deadline),
	}}}
	if change != nil {
		change(req.request)
	}
	return h.arrive(req)
}

func nested(r *request) { r.Nested = true }

// Guards against nested calls that wait while new work, whose own calls wait at the
// servers of these, holds all slots.
func TestSlotIsKeptForNestedRequests(t *testing.T) {
	h := newHarness(t, 9)
	h.learnRunTime("call", 50*time.Millisecond)
	h.learnRunTime("new", 200*time.Millisecond)
	fill := func() (started int) {
		for range 9 {
			if h.offerAdaptive("new", pollenlatch.ClassNormal, time.Second, 5*time.Second, nil).started {
				started++
			}
		}
		return started
	}
	require.Equal(t, 9, fill(), "a service without calls uses all slots")
	h.advance(time.Second, 200*time.Millisecond)
	for range 4 {
		h.offerAdaptive("call", pollenlatch.ClassNormal, 200*time.Millisecond, 600*time.Millisecond, nested)
	}
	h.advance(60*time.Millisecond, 50*time.Millisecond)
	require.Equal(t, 8, fill())
	require.Len(t, h.sched.waiting, 1)
	call := h.offerAdaptive("call", pollenlatch.ClassNormal, 200*time.Millisecond, 600*time.Millisecond, nested)
	require.True(t, call.started, "a nested request takes the slot that is kept")

	h.sched.limiter.SetLimit(1000, h.now)
	h.sched.finish(call.request, h.now)
	_, delayed := h.sched.limitDelay(h.now)
	require.False(t, delayed, "a request that waits for a slot must not be woken up for the limit again and again")
	h.advance(2*time.Second, 200*time.Millisecond)
	require.Empty(t, h.sched.waiting, "requests wait although slots are free")
}

// Guards against a route whose requests are all refused while more urgent ones fill the
// server. The entry decides for the whole service, so a request that it calls starved goes
// first as well.
func TestNoRouteIsStarved(t *testing.T) {
	const run = 100 * time.Millisecond
	h := newHarness(t, 5)
	requests := map[string][]*testRequest{}
	h.learnRunTime("reads", run)
	h.learnRunTime("reports", run)
	for range 2000 { // at 100 + 50 requests a second; the server runs 50
		h.advance(10*time.Millisecond, run)
		requests["reads"] = append(requests["reads"], h.offerAdaptive("reads", pollenlatch.ClassUrgent, 500*time.Millisecond, 1200*time.Millisecond, nil))
		if h.now.UnixMilli()%20 == 0 {
			requests["reports"] = append(requests["reports"], h.offerAdaptive("reports", pollenlatch.ClassRoutine, 500*time.Millisecond, 1200*time.Millisecond, nil))
		}
	}
	share := func(routes ...string) float64 {
		var offered, started float64
		for _, route := range routes {
			for _, r := range requests[route] {
				offered++
				if r.started {
					started++
				}
			}
		}
		return started / offered
	}
	all := share("reads", "reports")
	t.Logf("served: %.3f of all, %.3f of reads, %.3f of reports", all, share("reads"), share("reports"))
	require.Greater(t, share("reads"), all, "the urgent route goes first")
	require.GreaterOrEqual(t, share("reports"), all/4)
	require.Less(t, share("reports"), all/2, "the minimum share must not turn the priorities round")

	urgent := h.offerAdaptive("reads", pollenlatch.ClassUrgent, 500*time.Millisecond, 1200*time.Millisecond, nil)
	starved := h.offerAdaptive("reports", pollenlatch.ClassRoutine, 500*time.Millisecond, 1200*time.Millisecond, func(r *request) { r.Starved = true })
	require.Nil(t, starved.refused)
	require.True(t, starved.before(urgent.request, h.now))
}

// Guards against a caller that waited as it was told, and then waits behind others of its
// class that have just arrived.
func TestReturnedRequestGoesFirstInItsClass(t *testing.T) {
	h := newHarness(t, 1)
	h.learnRunTime("r", 20*time.Millisecond)
	h.offerAdaptive("r", pollenlatch.ClassNormal, time.Second, 2*time.Second, nil)
	fresh := h.offerAdaptive("r", pollenlatch.ClassNormal, 500*time.Millisecond, time.Second, nil)
	back := h.offerAdaptive("r", pollenlatch.ClassNormal, 600*time.Millisecond, time.Second, func(r *request) { r.Returned = true })
	urgent := h.offerAdaptive("r", pollenlatch.ClassUrgent, time.Second, 2*time.Second, nil)
	var order []string
	for range 3 {
		h.advance(20*time.Millisecond, 20*time.Millisecond)
		for name, r := range map[string]*testRequest{"fresh": fresh, "back": back, "urgent": urgent} {
			if _, runs := h.sched.running[r.request]; runs {
				order = append(order, name)
			}
		}
	}
	require.Equal(t, []string{"urgent", "back", "fresh"}, order)
}

// The other daemons act on these figures: a server that hides less urgent work, or a
// refusal, gets its requests refused or piled up.
func TestHint(t *testing.T) {
	h := newHarness(t, 2)
	h.learnRunTime("r", 100*time.Millisecond)
	require.Equal(t, &pollenlatch.ServerHint{FreeSlots: 2, Slots: 2}, h.sched.hint(h.now))
	h.offerAdaptive("r", pollenlatch.ClassUrgent, time.Second, 2*time.Second, nil)
	h.offerAdaptive("r", pollenlatch.ClassUrgent, time.Second, 2*time.Second, nil)
	h.offerAdaptive("r", pollenlatch.ClassRoutine, time.Second, 2*time.Second, nil)
	got := h.sched.hint(h.now)
	require.Equal(t, &pollenlatch.ServerHint{Slots: 2, Waiting: 1, WaitMillis: 100, LowestClass: pollenlatch.ClassRoutine}, got)
	require.NotNil(t, h.offerAdaptive("r", pollenlatch.ClassRoutine, 150*time.Millisecond, 120*time.Millisecond, nil).refused)
	require.Zero(t, h.sched.hint(h.now).RefusedClass, "the refused request could not have met its objective")
	for range 50 {
		h.offerAdaptive("r", pollenlatch.ClassNormal, 400*time.Millisecond, 420*time.Millisecond, nil)
	}
	require.Equal(t, pollenlatch.ClassNormal, h.sched.hint(h.now).RefusedClass)
	h.now = h.now.Add(refusalMemory + time.Millisecond)
	require.Zero(t, h.sched.hint(h.now).RefusedClass)

	limited := newHarness(t, 2)
	limited.sched.limiter.SetLimit(1, limited.now)
	for limited.sched.limiter.Wait(1, limited.now) == 0 {
		limited.sched.limiter.Take(limited.now)
	}
	got = limited.sched.hint(limited.now)
	require.Zero(t, got.FreeSlots, "slots that the limit of the server keeps free")
	require.Positive(t, got.WaitMillis)
}

func BenchmarkHint(b *testing.B) {
	h := &harness{now: time.Unix(1000, 0), sched: schedule{slots: 12, running: make(map[*request]struct{})}}
	for range 60 {
		r := &request{AdmitRequest: pollenlatch.AdmitRequest{Route: "r", Class: 1, Adaptive: true, Deadline: h.now.Add(time.Minute)}, onDecision: func(*pollenlatch.Failure) {}}
		if f := h.sched.arrive(r, h.now); f != nil {
			b.Fatal(f)
		}
	}
	for b.Loop() {
		h.sched.hint(h.now)
	}
}

// Guards against a request that is held until its deadline although it can no longer be
// run: its refusal then reaches the caller's instance after the deadline, so that it is
// answered with 504 although it was not run.
func TestRequestIsRefusedWhenItCanNoLongerStart(t *testing.T) {
	for _, adaptive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := NewScheduler()
			s.SetSlots(1)
			for range 100 {
				s.sched.recordRunTime("r", 100*time.Millisecond)
			}
			ar := pollenlatch.AdmitRequest{Route: "r", Adaptive: adaptive, Deadline: time.Now().Add(600 * time.Millisecond)}
			release, err := s.Admit(t.Context(), ar) // runs for longer than usual
			require.NoError(t, err)
			start := time.Now()
			_, err = s.Admit(t.Context(), ar)
			var f *pollenlatch.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
			if adaptive {
				require.Equal(t, 530*time.Millisecond, time.Since(start))
				require.Equal(t, 503, f.Status)
				require.Positive(t, f.RetryAfter)
			} else {
				require.Equal(t, 600*time.Millisecond, time.Since(start))
			}
			release()
			running, waiting := s.Load()
			require.Zero(t, running+waiting)
		})
	}
}
