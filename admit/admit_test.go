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

func work(c pollenlatch.Class) pollenlatch.AdmitRequest {
	return pollenlatch.AdmitRequest{Service: "listing", Caller: "mender", Class: c, Deadline: time.Now().Add(time.Second)}
}

func newGate(slots, queue int) *PriorityAdmitter {
	g := NewPriorityAdmitter(Config{QueueLimit: func(string) int { return queue }})
	g.SetSlots(slots)
	return g
}

func requireNotRun(t *testing.T, err error, why pollenlatch.Reason, status int) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
	require.Equal(t, []any{why, status}, []any{f.Reason, f.Status})
	if why == pollenlatch.ReasonQueueFull || why == pollenlatch.ReasonRateLimited {
		require.Positive(t, f.RetryAfter)
	}
}

func requireLoad(t *testing.T, g *PriorityAdmitter, running, waiting int) {
	t.Helper()
	r, w := g.Load()
	require.Equal(t, []int{running, waiting}, []int{r, w})
}

// admit starts waiting work and returns where its result arrives.
func admit(ctx context.Context, g *PriorityAdmitter, w pollenlatch.AdmitRequest) chan error {
	done := make(chan error, 1)
	go func() {
		release, err := g.Admit(ctx, w)
		if err == nil {
			release()
		}
		done <- err
	}()
	synctest.Wait()
	return done
}

// A wrong failure makes the caller repeat or drop the wrong work, and a slot
// that stays counted after one shrinks the server for good.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		run    func(ctx context.Context, g *PriorityAdmitter) error
		why    pollenlatch.Reason
		status int
	}{
		{"queue full", func(ctx context.Context, g *PriorityAdmitter) error {
			admit(ctx, g, work(pollenlatch.ClassUrgent))
			return <-admit(ctx, g, work(pollenlatch.ClassRoutine))
		}, pollenlatch.ReasonQueueFull, 503},
		{"routine gives way to urgent", func(ctx context.Context, g *PriorityAdmitter) error {
			first := admit(ctx, g, work(pollenlatch.ClassRoutine))
			admit(ctx, g, work(pollenlatch.ClassUrgent))
			return <-first
		}, pollenlatch.ReasonQueueFull, 503},
		{"deadline passes in the queue", func(ctx context.Context, g *PriorityAdmitter) error {
			return <-admit(ctx, g, work(pollenlatch.ClassRoutine))
		}, pollenlatch.ReasonDeadlineExceeded, 504},
		{"deadline passed before", func(ctx context.Context, g *PriorityAdmitter) error {
			w := work(pollenlatch.ClassRoutine)
			w.Deadline = time.Now()
			return <-admit(ctx, g, w)
		}, pollenlatch.ReasonDeadlineExceeded, 504},
		{"cancelled", func(ctx context.Context, g *PriorityAdmitter) error {
			ctx, cancel := context.WithCancel(ctx)
			waiting := admit(ctx, g, work(pollenlatch.ClassRoutine))
			cancel()
			return <-waiting
		}, pollenlatch.ReasonCancelled, statusClosed},
		{"server lost", func(ctx context.Context, g *PriorityAdmitter) error {
			waiting := admit(ctx, g, work(pollenlatch.ClassRoutine))
			g.SetSlots(0)
			return <-waiting
		}, pollenlatch.ReasonNoEndpoint, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGate(1, 1)
				release, err := g.Admit(t.Context(), work(pollenlatch.ClassRoutine))
				require.NoError(t, err)
				requireNotRun(t, c.run(t.Context(), g), c.why, c.status)
				release()
				release()
				synctest.Wait()
				requireLoad(t, g, 0, 0)
			})
		})
	}
}

// More running requests than slots, or a slot lost when a request is cancelled
// as it gets one, would break the exact count.
func TestSlotsAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		cancels := rapid.SliceOfN(rapid.IntRange(0, 30), 40, 40).Draw(rt, "cancels")
		synctest.Test(t, func(t *testing.T) {
			g := newGate(slots, 20)
			running := make(chan struct{}, slots)
			for _, ms := range cancels {
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(ms)*time.Millisecond)
					defer cancel()
					release, err := g.Admit(ctx, work(pollenlatch.Class(1+ms%3)))
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
			requireLoad(t, g, 0, 0)
		})
	})
}

// Urgent work behind routine work is late; routine work that is never served
// is starved.
func TestOrder(t *testing.T) {
	q := queue{end: func(*item, verdict) { t.Fatal("nothing may be dropped") }}
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

// A class that was passed over before it became empty must not go before
// urgent work when it comes back.
func TestPassesEnd(t *testing.T) {
	q := queue{end: func(*item, verdict) {}}
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
	require.True(t, q.remove(left)) // its caller went away
	push(2)
	push(0)
	require.Equal(t, 0, q.pop(now).class)
}

// Below capacity nothing may be dropped; above it, work that waited too long
// keeps everything behind it waiting too long.
func TestDelayDrops(t *testing.T) {
	drops := 0
	q := queue{discipline: CoDel, end: func(*item, verdict) { drops++ }}
	start := time.Unix(0, 0)
	push := func(now time.Time) {
		require.True(t, q.push(&item{class: 2, deadline: now.Add(time.Hour)}, 10, now))
	}
	push(start)
	serve := func(at, wait time.Duration) {
		now := start.Add(at)
		push(now)
		itemOf(q.waiting[2].Front()).since = now.Add(-wait)
		require.NotNil(t, q.pop(now))
	}
	serve(0, TargetDelay+1)
	serve(OverloadInterval-1, TargetDelay+1)
	serve(OverloadInterval, TargetDelay)
	serve(OverloadInterval+1, TargetDelay+1)
	serve(2*OverloadInterval, TargetDelay+1)
	require.Zero(t, drops, "one wait within the target ends the count")
	serve(2*OverloadInterval+1, TargetDelay+1)
	require.Equal(t, 1, drops)
	require.True(t, q.over[2])
	push(start.Add(4 * OverloadInterval))
	require.NotNil(t, q.pop(start.Add(4*OverloadInterval).Add(TargetDelay+1)), "overload has ended")
	require.Equal(t, 1, drops)
}

// A caller above its limit takes slots from the others; a limit that outlasts
// the ticket's change refuses a caller for nothing.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		perSecond := 0.5
		g := NewPriorityAdmitter(Config{RateLimit: func(caller string) (float64, int) {
			if caller == "free" {
				return 0, 0
			}
			return perSecond, 2
		}})
		g.SetSlots(100)
		try := func(caller string) error {
			w := work(pollenlatch.ClassRoutine)
			w.Caller = caller
			_, err := g.Admit(t.Context(), w)
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
			_ = g.limit(fmt.Sprint(n), time.Now())
			if n%100 == 0 {
				<-time.After(2 * time.Second)
			}
		}
		require.LessOrEqual(t, len(g.limiters), maxLimiters)
	})
}
