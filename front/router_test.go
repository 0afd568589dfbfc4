package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/pick"
)

// rig is a router with fakes around it.
type rig struct {
	control *fakeControl
	forward *fakeForward
	picker  *fakePicker
	local   int
	router  *Router
}

func newRig(owner pollenlatch.InstanceID, f func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error)) *rig {
	x := &rig{control: newControl(owner), forward: &fakeForward{f: f}, picker: &fakePicker{}}
	x.router = NewRouter(RouterConfig{
		Control: x.control,
		Local: pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			x.local++
			return ok("local"), nil
		}),
		Forwarder:   x.forward,
		Picker:      x.picker,
		RetryBudget: &pick.RetryBudget{MinRate: 100},
	})
	return x
}

func post(service, key string) *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{Service: service, Key: key, Method: "POST"},
		Deadline:    time.Now().Add(time.Second),
	}
}

func answers(*testing.T) func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
	return func(int, *pollenlatch.Request) (*pollenlatch.Response, error) { return ok("remote"), nil }
}

// A request that is run elsewhere than at its owner breaks exclusive ownership.
func TestRouterAims(t *testing.T) {
	t.Run("own shard", func(t *testing.T) {
		x := newRig(1, answers(t))
		w, err := x.router.Handle(t.Context(), post("claims", "k"))
		require.NoError(t, err)
		require.Equal(t, "front-b", w.OwnerAddr)
		require.Equal(t, 1, x.local)
	})
	t.Run("another's shard", func(t *testing.T) {
		x := newRig(2, func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
			require.Equal(t, pollenlatch.Shard{Service: "claims", Range: 3}, r.Shard)
			require.Equal(t, pollenlatch.Fence(1), r.Fence)
			require.Equal(t, pollenlatch.Version(1), r.Version)
			require.False(t, r.Idempotent)
			return ok("remote"), nil
		})
		w, err := x.router.Handle(t.Context(), post("claims", "k"))
		require.NoError(t, err)
		require.Equal(t, "front-c", w.OwnerAddr)
		require.Equal(t, []string{"link-c"}, x.forward.addrs)
	})
	t.Run("idempotency key of a service without keys", func(t *testing.T) {
		x := newRig(2, func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
			require.True(t, r.Sharded())
			return ok("remote"), nil
		})
		r := post("catalogue", "")
		r.IdempotencyKey = "i"
		_, err := x.router.Handle(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, []string{"link-c"}, x.forward.addrs)
	})
	t.Run("any endpoint of the allowed data centres", func(t *testing.T) {
		x := newRig(0, func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
			require.False(t, r.Sharded())
			return ok("remote"), nil
		})
		far, draining := instance(3), instance(4)
		far.DC = "howrah"
		draining.Endpoint = &pollenlatch.Endpoint{Ready: true, Draining: true}
		x.control.view.endpoints = []pollenlatch.Instance{far, draining, instance(5)}
		w, err := x.router.Handle(t.Context(), post("catalogue", ""))
		require.NoError(t, err)
		require.Equal(t, []string{"link-f"}, x.forward.addrs)
		_, err = io.ReadAll(w.Body)
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.Equal(t, []pollenlatch.Outcome{pollenlatch.OutcomeRan}, x.picker.done, "reported once")
	})
}

// Each row of the outcome table that the entry daemon decides on. A request
// that is repeated without proof runs twice; one that is told not-run without
// proof is repeated by its caller.
func TestRouterOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		fails   *pollenlatch.Failure // every attempt
		method  string
		kind    string
		retried bool
	}{
		{"cannot connect", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503), "POST", "", true},
		{"not the owner", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503), "POST", "", true},
		{"versions differ", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonVersionMismatch, 503), "POST", "", true},
		{"queue full", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 429), "POST", "", true},
		{"draining", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDraining, 503), "POST", "", true},
		{"owner's check fails", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503), "POST", "", true},
		{"fence refused", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, 503), "POST", "", true},
		{"limit", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited, 429), "GET", "", false},
		{"bad request", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, 400), "GET", "", false},
		{"deadline in the queue", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, 504), "GET", "", false},
		{"link lost, not safe", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "POST", "", false},
		{"link lost, safe method", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "GET", "", true},
		{"link lost, safe kind", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "POST", "poll", true},
		{"link lost, safe method of an unsafe kind", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "PUT", "charge", false},
		{"deadline after the write", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, 504), "GET", "", false},
		{"unknown repeat", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, 502), "GET", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newRig(2, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) { return nil, c.fails })
				r := post("claims", "k")
				r.Method, r.Kind = c.method, c.kind
				_, err := x.router.Handle(t.Context(), r)
				requireFailure(t, err, c.fails.Outcome, c.fails.Reason, c.fails.Status)
				require.Equal(t, c.retried, len(x.forward.addrs) > 1, "%d attempts", len(x.forward.addrs))
				require.LessOrEqual(t, len(x.forward.addrs), retryLimit)
			})
		})
	}
}

// Requests that cannot be routed must be turned away before they are sent.
func TestRouterRefuses(t *testing.T) {
	for _, c := range []struct {
		name    string
		service string
		serving error
		reason  pollenlatch.Reason
		status  int
	}{
		{"no such service", "none", nil, pollenlatch.ReasonNoService, 404},
		{"no key", "claims", nil, pollenlatch.ReasonBadRequest, 400},
		{"no lease", "claims", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503), pollenlatch.ReasonNoLease, 503},
		{"no lease, for another reason", "claims", errors.New("x"), pollenlatch.ReasonNoLease, 503},
		{"no endpoint until the deadline", "catalogue", nil, pollenlatch.ReasonNoEndpoint, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newRig(2, answers(t))
				x.control.serving = c.serving
				_, err := x.router.Handle(t.Context(), post(c.service, ""))
				requireFailure(t, err, pollenlatch.OutcomeNotRun, c.reason, c.status)
				require.Empty(t, x.forward.addrs)
			})
		})
	}
}

// A hand-over or a loss must delay requests rather than fail them, and a shard
// that stays without owner must not hold them beyond their deadline.
func TestRouterWaitsForOwner(t *testing.T) {
	for name, owner := range map[string]pollenlatch.Owner{
		"without owner": {},
		"frozen":        {Instance: 3, Fence: 1, Next: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newRig(0, answers(t))
				x.control.view.owner = owner
				start := time.Now()
				time.AfterFunc(300*time.Millisecond, func() { x.control.set(func(*fakeView) {}) }) // another change
				time.AfterFunc(500*time.Millisecond, func() {
					x.control.set(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 2, Fence: 9} })
				})
				_, err := x.router.Handle(t.Context(), post("claims", "k"))
				require.NoError(t, err)
				require.Equal(t, 500*time.Millisecond, time.Since(start))
				require.Equal(t, []string{"link-c"}, x.forward.addrs)
			})
		})
		t.Run(name+" until the deadline", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newRig(0, answers(t))
				x.control.view.owner = owner
				r := post("claims", "k")
				_, err := x.router.Handle(t.Context(), r)
				requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503)
				require.Equal(t, r.Deadline, time.Now())
				require.Empty(t, x.forward.addrs)
			})
		})
	}
	t.Run("caller goes away", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := newRig(0, answers(t))
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := x.router.Handle(ctx, post("claims", "k"))
			requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 503)
		})
	})
}

// A retry that does not look for the new owner, or for its new fence, repeats
// what was refused until its budget is spent.
func TestRouterFollowsOwner(t *testing.T) {
	for _, next := range []pollenlatch.Owner{{Instance: 3, Fence: 5}, {Instance: 2, Fence: 5}} {
		t.Run(fmt.Sprintf("instance %d", next.Instance), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var x *rig
				x = newRig(2, func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
					if n == 1 {
						x.control.set(func(v *fakeView) { v.owner = next })
						return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503)
					}
					require.Equal(t, next.Fence, r.Fence)
					return ok("remote"), nil
				})
				start := time.Now()
				_, err := x.router.Handle(t.Context(), post("claims", "k"))
				require.NoError(t, err)
				require.Equal(t, []string{"link-c", instance(next.Instance).Addr}, x.forward.addrs)
				require.Zero(t, time.Since(start), "the new owner is known: no backoff")
			})
		})
	}
}

// An unknown outcome that a later proven not-run hides lets the caller repeat
// a request that ran.
func TestRouterKeepsDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRig(2, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n == 1 {
				return nil, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
			}
			return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited, 429)
		})
		r := post("claims", "k")
		r.Method = "GET"
		_, err := x.router.Handle(t.Context(), r)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonRateLimited, 502)
	})
}

// Retries without a budget multiply the load that made them necessary.
func TestRouterRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRig(2, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 429)
		})
		x.router.cfg.RetryBudget = &pick.RetryBudget{MinRate: 1e-9}
		const requests = 1000
		for range requests {
			_, err := x.router.Handle(t.Context(), post("claims", "k"))
			require.Error(t, err)
		}
		retries := len(x.forward.addrs) - requests
		require.InDelta(t, requests*pick.DefaultRatio, retries, 1)
	})
}

// Requests for a lost owner's keys must not fail because the budget is spent on
// that owner: the next one is not overloaded by them.
func TestRouterAwaitsOwnerWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var x *rig
		x = newRig(2, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n == 1 {
				time.AfterFunc(600*time.Millisecond, func() {
					x.control.set(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 3, Fence: 5} })
				})
				return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
			}
			return ok("remote"), nil
		})
		x.router.cfg.RetryBudget = &pick.RetryBudget{MinRate: 1e-9}
		_, err := x.router.Handle(t.Context(), post("claims", "k"))
		require.NoError(t, err)
		require.Len(t, x.forward.addrs, 2)
	})
}

// A retry must go to another endpoint first, and every choice must be reported.
func TestRouterTriesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRig(0, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n < 4 {
				return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
			}
			return ok(""), nil
		})
		x.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
		w, err := x.router.Handle(t.Context(), post("catalogue", ""))
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.Equal(t, []string{"link-c", "link-d", "link-c", "link-d"}, x.forward.addrs)
		require.Len(t, x.picker.done, 4)
	})
}

// A repeated body that misses bytes, or is partly read by the earlier attempt,
// is another request than the caller's.
func TestRouterRepeatsBody(t *testing.T) {
	for _, c := range []struct {
		name  string
		size  int
		read  int // by the first attempt
		again bool
	}{
		{"nothing read", 1 << 20, 0, true},
		{"a part read", 1 << 20, replayBytes / 2, true},
		{"all read", replayBytes, replayBytes, true},
		{"more than is kept", 1 << 20, replayBytes + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				want := strings.Repeat("0123456789abcdef", c.size/16)
				var old io.Reader
				x := newRig(2, func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
					if n == 1 {
						old = r.Body
						_, err := io.ReadFull(r.Body, make([]byte, c.read))
						require.NoError(t, err)
						return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
					}
					got, err := io.ReadAll(r.Body)
					require.NoError(t, err)
					require.True(t, want == string(got))
					_, err = old.Read(make([]byte, 1))
					require.ErrorIs(t, err, errSuperseded)
					return ok(""), nil
				})
				r := post("claims", "k")
				r.Body, r.Length = strings.NewReader(want), int64(len(want))
				_, err := x.router.Handle(t.Context(), r)
				if c.again {
					require.NoError(t, err)
					return
				}
				requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
				require.Len(t, x.forward.addrs, 1)
			})
		})
	}
	t.Run("the earlier attempt still waits in Read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			pr, pw := io.Pipe()
			first := newReplay(pr)
			a := first.rewind()
			late := make(chan int)
			go func() {
				n, _ := a.Read(make([]byte, 8))
				late <- n
			}()
			synctest.Wait()
			b := first.rewind()
			go func() { _, _ = pw.Write([]byte("whole")); _ = pw.Close() }()
			got, err := io.ReadAll(b)
			require.NoError(t, err)
			require.Equal(t, "whole", string(got))
			require.Equal(t, 5, <-late)
		})
	})
}

// net/http must not find a read of the body in progress when it ends a request.
func TestReplayStops(t *testing.T) {
	src := &gate{entered: make(chan struct{}), open: make(chan struct{})}
	r := newReplay(src)
	a := r.rewind()
	reading, stopped := make(chan struct{}), make(chan bool)
	go func() { _, _ = a.Read(make([]byte, 8)); close(reading) }()
	<-src.entered
	go func() { r.stop(); stopped <- src.left.Load() }()
	for range 1000 { // lets a stop that does not wait return
		runtime.Gosched()
	}
	close(src.open)
	require.True(t, <-stopped, "a read was in progress")
	<-reading
	_, err := a.Read(make([]byte, 1))
	require.ErrorIs(t, err, errSuperseded)
	require.Nil(t, r.rewind())
}

// gate is a body whose only Read waits.
type gate struct {
	entered, open chan struct{}
	left          atomic.Bool
}

func (g *gate) Read([]byte) (int, error) {
	close(g.entered)
	<-g.open
	g.left.Store(true)
	return 0, io.ErrUnexpectedEOF
}

// A handler that breaks its contract must not make the outcome look proven.
func TestRouterForeignError(t *testing.T) {
	x := newRig(2, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) { return nil, errors.New("x") })
	_, err := x.router.Handle(t.Context(), post("claims", "k"))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
}
