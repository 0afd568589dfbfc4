package admit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenlatch"
)

func newAdmitRequest(c pollenlatch.Class) pollenlatch.AdmitRequest {
	return pollenlatch.AdmitRequest{Service: "listing", Caller: "mender", Class: c, Deadline: time.Now().Add(time.Second)}
}

func newAdmitter(slots, queueLimit int) *PriorityAdmitter {
	a := NewPriorityAdmitter(Config{QueueLimit: func(string) int { return queueLimit }})
	a.SetSlots(slots)
	return a
}

func requireNotRun(t *testing.T, err error, reason pollenlatch.Reason, status int) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
	require.Equal(t, []any{reason, status}, []any{f.Reason, f.Status})
	if reason == pollenlatch.ReasonQueueFull || reason == pollenlatch.ReasonRateLimited {
		require.Positive(t, f.RetryAfter)
	}
}

func requireLoad(t *testing.T, a *PriorityAdmitter, running, waiting int) {
	t.Helper()
	gotRunning, gotWaiting := a.Load()
	require.Equal(t, []int{running, waiting}, []int{gotRunning, gotWaiting})
}

// goAdmit calls Admit in the background and returns the channel of its error. It
// releases the slot at once.
func goAdmit(ctx context.Context, a *PriorityAdmitter, r pollenlatch.AdmitRequest) chan error {
	done := make(chan error, 1)
	go func() {
		release, err := a.Admit(ctx, r)
		if err == nil {
			release()
		}
		done <- err
	}()
	synctest.Wait()
	return done
}

// A wrong failure makes the caller retry or give up the wrong request, and a slot
// that is leaked by a refusal reduces the capacity of the server forever.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		run    func(ctx context.Context, a *PriorityAdmitter) error
		reason pollenlatch.Reason
		status int
	}{
		{"queue full", func(ctx context.Context, a *PriorityAdmitter) error {
			goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassUrgent))
			return <-goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassRoutine))
		}, pollenlatch.ReasonQueueFull, 503},
		{"routine evicted by urgent", func(ctx context.Context, a *PriorityAdmitter) error {
			first := goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassRoutine))
			goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassUrgent))
			return <-first
		}, pollenlatch.ReasonQueueFull, 503},
		{"deadline passes in the queue", func(ctx context.Context, a *PriorityAdmitter) error {
			return <-goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassRoutine))
		}, pollenlatch.ReasonDeadlineExceeded, 504},
		{"deadline passed before arrival", func(ctx context.Context, a *PriorityAdmitter) error {
			r := newAdmitRequest(pollenlatch.ClassRoutine)
			r.Deadline = time.Now()
			return <-goAdmit(ctx, a, r)
		}, pollenlatch.ReasonDeadlineExceeded, 504},
		{"cancelled", func(ctx context.Context, a *PriorityAdmitter) error {
			ctx, cancel := context.WithCancel(ctx)
			waiting := goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassRoutine))
			cancel()
			return <-waiting
		}, pollenlatch.ReasonCancelled, statusClientClosedRequest},
		{"server lost", func(ctx context.Context, a *PriorityAdmitter) error {
			waiting := goAdmit(ctx, a, newAdmitRequest(pollenlatch.ClassRoutine))
			a.SetSlots(0)
			return <-waiting
		}, pollenlatch.ReasonNoEndpoint, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmitter(1, 1)
				release, err := a.Admit(t.Context(), newAdmitRequest(pollenlatch.ClassRoutine))
				require.NoError(t, err)
				requireNotRun(t, c.run(t.Context(), a), c.reason, c.status)
				release()
				release()
				synctest.Wait()
				requireLoad(t, a, 0, 0)
			})
		})
	}
}

// No more requests may run than there are slots, and no slot may leak when a request
// is cancelled just as it is admitted.
func TestSlotLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		cancels := rapid.SliceOfN(rapid.IntRange(0, 30), 40, 40).Draw(rt, "cancels")
		synctest.Test(t, func(t *testing.T) {
			a := newAdmitter(slots, 20)
			running := make(chan struct{}, slots)
			for _, ms := range cancels {
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(ms)*time.Millisecond)
					defer cancel()
					release, err := a.Admit(ctx, newAdmitRequest(pollenlatch.Class(1+ms%3)))
					if err != nil {
						return
					}
					select {
					case running <- struct{}{}:
					default:
						panic("more requests run than there are slots")
					}
					<-time.After(time.Duration(ms%7) * time.Millisecond)
					<-running
					release()
				}()
			}
			<-time.After(time.Minute)
			requireLoad(t, a, 0, 0)
		})
	})
}

// Urgent requests must not wait behind routine ones, and routine requests must not
// starve.
func TestPriorityOrder(t *testing.T) {
	q := queue{onEvict: func(*item, decision) { t.Fatal("nothing may be dropped") }}
	now := time.Unix(0, 0)
	push := func(class int) {
		require.True(t, q.push(&item{class: class, deadline: now.Add(time.Hour)}, 1000, now))
	}
	push(2)
	for range MaxSkips + 3 {
		push(0)
	}
	var order []int
	for it := q.pop(now); it != nil; it = q.pop(now) {
		order = append(order, it.class)
	}
	require.Equal(t, 2, order[MaxSkips])
	for i, class := range order {
		require.Equal(t, i == MaxSkips, class == 2, "position %d", i)
	}
}

// Skips of a class that has become empty must not count for its later requests,
// which would otherwise go before urgent ones.
func TestSkipsReset(t *testing.T) {
	q := queue{onEvict: func(*item, decision) {}}
	now := time.Unix(0, 0)
	push := func(class int) *item {
		it := &item{class: class, deadline: now.Add(time.Hour)}
		require.True(t, q.push(it, 1000, now))
		return it
	}
	left := push(2)
	for range MaxSkips {
		push(0)
		require.Equal(t, 0, q.pop(now).class)
	}
	require.True(t, q.remove(left)) // its caller disconnects
	push(2)
	push(0)
	require.Equal(t, 0, q.pop(now).class)
}

// Below capacity no request may be dropped. Above it, requests that have waited too
// long must be, or everything behind them waits too long as well.
func TestCoDelDrops(t *testing.T) {
	drops := 0
	q := queue{discipline: CoDel, onEvict: func(*item, decision) { drops++ }}
	start := time.Unix(0, 0)
	push := func(now time.Time) {
		require.True(t, q.push(&item{class: 2, deadline: now.Add(time.Hour)}, 10, now))
	}
	push(start)
	serve := func(at, wait time.Duration) {
		now := start.Add(at)
		push(now)
		itemOf(q.waiting[2].Front()).enqueuedAt = now.Add(-wait)
		require.NotNil(t, q.pop(now))
	}
	serve(0, TargetDelay+1)
	serve(OverloadInterval-1, TargetDelay+1)
	serve(OverloadInterval, TargetDelay)
	serve(OverloadInterval+1, TargetDelay+1)
	serve(2*OverloadInterval, TargetDelay+1)
	require.Zero(t, drops, "a wait within the target restarts the interval")
	serve(2*OverloadInterval+1, TargetDelay+1)
	require.Equal(t, 1, drops)
	require.True(t, q.overloaded[2])
	push(start.Add(4 * OverloadInterval))
	require.NotNil(t, q.pop(start.Add(4*OverloadInterval).Add(TargetDelay+1)), "overload has ended")
	require.Equal(t, 1, drops)
}

// A caller above its rate limit takes slots from the others, and a limit that
// outlasts its change by a ticket refuses requests without a reason.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		perSecond := 0.5
		a := NewPriorityAdmitter(Config{RateLimit: func(caller string) (float64, int) {
			if caller == "free" {
				return 0, 0
			}
			return perSecond, 2
		}})
		a.SetSlots(100)
		try := func(caller string) error {
			r := newAdmitRequest(pollenlatch.ClassRoutine)
			r.Caller = caller
			_, err := a.Admit(t.Context(), r)
			return err
		}
		require.NoError(t, try("a"))
		require.NoError(t, try("a"))
		err := try("a")
		requireNotRun(t, err, pollenlatch.ReasonRateLimited, 429)
		var f *pollenlatch.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, 2*time.Second, f.RetryAfter)
		require.NoError(t, try("b"))
		require.NoError(t, try("free"))
		<-time.After(2 * time.Second)
		require.NoError(t, try("a"))
		perSecond = 0
		require.NoError(t, try("a"))
		perSecond = 1
		for n := range 2 * maxLimiters {
			_ = a.checkRateLimit(fmt.Sprint(n), time.Now())
			if n%100 == 0 {
				<-time.After(2 * time.Second)
			}
		}
		require.LessOrEqual(t, len(a.limiters), maxLimiters)
	})
}
