package front

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/pick"
)

// A retry that is wrong would run a claim twice. A retry that is missing would
// fail a request that another server could have run.
func TestRetryDecision(t *testing.T) {
	base := failedAttempt{
		outcome: pollenlatch.OutcomeNotRun, reason: pollenlatch.ReasonUnreachable, sends: 0, maxSends: 2, hops: 1,
		idempotent: true, hasUntried: true, timeLeft: time.Second, replayable: true,
	}
	for _, tt := range []struct {
		name   string
		change func(a *failedAttempt)
		want   retryDecision
	}{
		{"server unreachable", func(*failedAttempt) {}, retryNow},
		{"no time left", func(a *failedAttempt) { a.timeLeft = minTimeLeft - 1 }, noRetry},
		{"body cannot be replayed", func(a *failedAttempt) { a.replayable = false }, noRetry},
		{"maximum of hops", func(a *failedAttempt) { a.hops = maxHops }, noRetry},
		{"no untried endpoint", func(a *failedAttempt) { a.hasUntried = false }, noRetry},
		{"owner of the key unreachable", func(a *failedAttempt) { a.keyed = true }, noRetry},
		{"key has moved", func(a *failedAttempt) { a.keyed, a.reason = true, pollenlatch.ReasonWrongOwner }, retryAtNextOwner},
		{"data centre of the server evacuated", func(a *failedAttempt) { a.reason = pollenlatch.ReasonEvacuated }, retryNow},
		{"data centre of the owner evacuated", func(a *failedAttempt) { a.keyed, a.reason = true, pollenlatch.ReasonEvacuated }, retryAtNextOwner},
		{"one of several servers overloaded", func(a *failedAttempt) { a.reason = pollenlatch.ReasonOverloaded }, retryNow},
		{"maximum of overloaded servers", func(a *failedAttempt) { a.reason, a.hops = pollenlatch.ReasonOverloaded, maxOverloadHops }, noRetry},
		{"overloaded server of an overloaded service", func(a *failedAttempt) {
			a.reason, a.refusedShare = pollenlatch.ReasonOverloaded, maxRefusedShare+0.1
		}, noRetry},
		{"daemon without a lease", func(a *failedAttempt) { a.reason = pollenlatch.ReasonNoLease }, retryNow},
		{"daemon without a configuration", func(a *failedAttempt) { a.reason = pollenlatch.ReasonNoConfig }, retryNow},
		{"owner without a lease", func(a *failedAttempt) { a.keyed, a.reason = true, pollenlatch.ReasonNoLease }, noRetry},
		{"owner of the key overloaded", func(a *failedAttempt) { a.keyed, a.reason = true, pollenlatch.ReasonOverloaded }, noRetry},
		{"server with free slots refuses", func(a *failedAttempt) {
			a.keyed, a.sent, a.sends, a.reason = true, true, 1, pollenlatch.ReasonQueueFull
		}, retryNow},
		{"server refuses the last attempt", func(a *failedAttempt) { a.sent, a.sends, a.reason = true, 2, pollenlatch.ReasonQueueFull }, noRetry},
		{"bad request", func(a *failedAttempt) { a.reason = pollenlatch.ReasonBadRequest }, noRetry},
		{"unknown outcome of an idempotent request", func(a *failedAttempt) {
			a.outcome, a.reason, a.sent, a.sends = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, true, 1
		}, retryNow},
		{"unknown outcome of the last attempt", func(a *failedAttempt) {
			a.outcome, a.reason, a.sent, a.sends = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, true, 2
		}, noRetry},
		{"unknown outcome of a non-idempotent request", func(a *failedAttempt) {
			a.outcome, a.reason, a.sent, a.sends, a.idempotent = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, true, 1, false
		}, noRetry},
		{"idempotent request exceeded its deadline", func(a *failedAttempt) {
			a.outcome, a.reason, a.sent, a.sends = pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, true, 1
		}, noRetry},
		{"non-idempotent request was not run", func(a *failedAttempt) { a.idempotent = false }, retryNow},
		{"request ran", func(a *failedAttempt) { a.outcome = pollenlatch.OutcomeRan }, noRetry},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := base
			tt.change(&a)
			require.Equal(t, tt.want, a.decide())
		})
	}
}

// During a hand-over the owner refuses requests for the key. Immediate retries
// at the same owner would use up all attempts within milliseconds, and the
// request would fail shortly before the next owner is ready.
func TestRoutedRetryWaitsForNextOwner(t *testing.T) {
	for _, c := range []struct {
		name       string
		movesAfter time.Duration // time until the next owner takes over
		ran        bool
	}{
		{"hand-over completes in time", 150 * time.Millisecond, true},
		{"hand-over does not complete", time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := newFakeControl(2)
				control.updateView(func(v *fakeView) { v.owner.Next = 3 })
				time.AfterFunc(c.movesAfter, func() {
					control.updateView(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 3, Fence: 2} })
				})
				var sent atomic.Int32
				forwarder := &fakeForwarder{respond: func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
					sent.Add(1)
					if r.Fence == 1 {
						return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503)
					}
					return okResponse("x"), nil
				}}
				rt := NewRouter(RouterConfig{Control: control, Forwarder: forwarder, Picker: &fakePicker{}})
				r := &pollenlatch.Request{Deadline: time.Now().Add(2 * time.Second)}
				r.Route, r.Service, r.Key, r.Idempotent, r.MaxAttempts = "r1", "listing", "7", true, 2
				_, err := rt.Handle(t.Context(), r)
				if !c.ran {
					requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503)
					require.EqualValues(t, 1, sent.Load())
					return
				}
				require.NoError(t, err)
				require.EqualValues(t, 2, sent.Load())
			})
		})
	}
}

// A nested request of a retried run counts as a retry at its own service. If it
// were not charged to the budget, it would come on top of the allowed retries,
// and the sum over all daemons would exceed the limit.
func TestNestedRequestsOfRetriesAreCharged(t *testing.T) {
	const burst = 10
	send := func(fx *routerFixture, retried bool) {
		req := newPost("catalogue", "")
		req.Route, req.Idempotent, req.MaxAttempts, req.Retried = "r", true, 2, retried
		_, err := fx.router.Handle(t.Context(), req)
		require.NoError(t, err)
	}
	countAllowed := func(fx *routerFixture) (n int) {
		for fx.router.cfg.ServiceBudgets.TakeRetry("catalogue") {
			n++
		}
		return n
	}
	newFixture := func(f func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error)) *routerFixture {
		fx := newRouterFixture(2, f)
		fx.router.cfg.ServiceBudgets = &pick.ServiceBudgets{Ratio: 0.1, Burst: burst}
		fx.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
		return fx
	}
	fx := newFixture(respondRemote(t))
	for range 4 {
		send(fx, true)
	}
	require.Equal(t, burst-4, countAllowed(fx))
	fx = newFixture(respondRemote(t))
	for range 4 {
		send(fx, false)
	}
	require.Equal(t, burst, countAllowed(fx))

	var retried []bool
	fx = newFixture(func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		retried = append(retried, r.Retried)
		if len(retried) == 1 {
			f := notRunFailure(pollenlatch.ReasonQueueFull, 503, "full")
			f.Sent = true
			return nil, f
		}
		return okResponse("remote"), nil
	})
	send(fx, false)
	require.Equal(t, []bool{false, true}, retried, "the second attempt must be marked as a retry")
}
