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

// A repeat that should not be sent runs a claim twice; one that should be sent
// and is not fails a caller whom another server could have served.
func TestNextStep(t *testing.T) {
	base := attempted{
		outcome: pollenlatch.OutcomeNotRun, reason: pollenlatch.ReasonUnreachable, sends: 0, allowed: 2, hops: 1,
		safe: true, others: true, left: time.Second, replayed: true,
	}
	for _, tt := range []struct {
		name   string
		change func(a *attempted)
		want   step
	}{
		{"a server cannot be reached", func(*attempted) {}, again},
		{"no time is left", func(a *attempted) { a.left = leastLeft - 1 }, giveUp},
		{"the body is gone", func(a *attempted) { a.replayed = false }, giveUp},
		{"enough instances have refused", func(a *attempted) { a.hops = mostHops }, giveUp},
		{"no other server", func(a *attempted) { a.others = false }, giveUp},
		{"a key whose server cannot be reached", func(a *attempted) { a.keyed = true }, giveUp},
		{"a key that has moved", func(a *attempted) { a.keyed, a.reason = true, pollenlatch.ReasonWrongOwner }, awaitOwner},
		{"overload at one server of several", func(a *attempted) { a.reason = pollenlatch.ReasonOverloaded }, again},
		{"overload at a second server", func(a *attempted) { a.reason, a.hops = pollenlatch.ReasonOverloaded, mostRefusals }, giveUp},
		{"a daemon that has just started", func(a *attempted) { a.reason = pollenlatch.ReasonNoLease }, again},
		{"a daemon without the present state", func(a *attempted) { a.reason = pollenlatch.ReasonNoConfig }, again},
		{"the owner's daemon has just started", func(a *attempted) { a.keyed, a.reason = true, pollenlatch.ReasonNoLease }, giveUp},
		{"overload at the owner of the key", func(a *attempted) { a.keyed, a.reason = true, pollenlatch.ReasonOverloaded }, giveUp},
		{"a server with free slots refuses", func(a *attempted) { a.keyed, a.sent, a.sends, a.reason = true, true, 1, pollenlatch.ReasonQueueFull }, again},
		{"it refuses the last attempt", func(a *attempted) { a.sent, a.sends, a.reason = true, 2, pollenlatch.ReasonQueueFull }, giveUp},
		{"the request itself is wrong", func(a *attempted) { a.reason = pollenlatch.ReasonBadRequest }, giveUp},
		{"nobody knows whether a safe request ran", func(a *attempted) {
			a.outcome, a.reason, a.sent, a.sends = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, true, 1
		}, again},
		{"the same on the last attempt", func(a *attempted) {
			a.outcome, a.reason, a.sent, a.sends = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, true, 2
		}, giveUp},
		{"nobody knows whether a claim ran", func(a *attempted) {
			a.outcome, a.reason, a.sent, a.sends, a.safe = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, true, 1, false
		}, giveUp},
		{"a safe request took too long", func(a *attempted) {
			a.outcome, a.reason, a.sent, a.sends = pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, true, 1
		}, giveUp},
		{"a claim was refused without running", func(a *attempted) { a.safe = false }, again},
		{"it ran", func(a *attempted) { a.outcome = pollenlatch.OutcomeRan }, giveUp},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := base
			tt.change(&a)
			require.Equal(t, tt.want, a.next())
		})
	}
}

// While a key moves its owner refuses requests for it. Asking the same owner
// again and again uses up all attempts within milliseconds, and the caller is
// refused although the next owner is there soon.
func TestMovingKeyWaitsForItsNextOwner(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration // until the key has moved
		ran   bool
	}{
		{"it has moved soon", 150 * time.Millisecond, true},
		{"it stays", time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := newControl(2)
				control.set(func(v *fakeView) { v.owner.Next = 3 })
				time.AfterFunc(c.after, func() {
					control.set(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 3, Fence: 2} })
				})
				var asked atomic.Int32
				forward := &fakeForward{f: func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
					asked.Add(1)
					if r.Fence == 1 {
						return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503)
					}
					return ok("x"), nil
				}}
				rt := NewRouter(RouterConfig{Control: control, Forwarder: forward, Picker: &fakePicker{}})
				r := &pollenlatch.Request{Deadline: time.Now().Add(2 * time.Second)}
				r.Route, r.Service, r.Key, r.Idempotent, r.MaxAttempts = "r1", "listing", "7", true, 2
				_, err := rt.Handle(t.Context(), r)
				if !c.ran {
					requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503)
					require.EqualValues(t, 1, asked.Load())
					return
				}
				require.NoError(t, err)
				require.EqualValues(t, 2, asked.Load())
			})
		})
	}
}

// The calls of a run that is a repeat are repeats at the service that they go to.
// Uncounted, they add to the repeats that the budget allows, and the sum breaks the
// bound of all daemons.
func TestCallsOfRepeatsAreCharged(t *testing.T) {
	const most = 10
	send := func(x *rig, repeat bool) {
		q := post("catalogue", "")
		q.Route, q.Idempotent, q.MaxAttempts, q.Retried = "r", true, 2, repeat
		_, err := x.router.Handle(t.Context(), q)
		require.NoError(t, err)
	}
	allowed := func(x *rig) (n int) {
		for x.router.cfg.ServiceBudgets.TakeRetry("catalogue") {
			n++
		}
		return n
	}
	newOne := func(f func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error)) *rig {
		x := newRig(2, f)
		x.router.cfg.ServiceBudgets = &pick.ServiceBudgets{Ratio: 0.1, Burst: most}
		x.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
		return x
	}
	x := newOne(answers(t))
	for range 4 {
		send(x, true)
	}
	require.Equal(t, most-4, allowed(x))
	x = newOne(answers(t))
	for range 4 {
		send(x, false)
	}
	require.Equal(t, most, allowed(x))

	var marks []bool
	x = newOne(func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		marks = append(marks, r.Retried)
		if len(marks) == 1 {
			f := failed(pollenlatch.ReasonQueueFull, 503, "full")
			f.Sent = true
			return nil, f
		}
		return ok("remote"), nil
	})
	send(x, false)
	require.Equal(t, []bool{false, true}, marks, "the second server does not know that its run is a repeat")
}
