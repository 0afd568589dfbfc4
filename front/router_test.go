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

// routerFixture is a router with fakes around it.
type routerFixture struct {
	control       *fakeControl
	forwarder     *fakeForwarder
	picker        *fakePicker
	localRequests int
	router        *Router
}

func newRouterFixture(owner pollenlatch.InstanceID, f func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error)) *routerFixture {
	fx := &routerFixture{control: newFakeControl(owner), forwarder: &fakeForwarder{respond: f}, picker: &fakePicker{}}
	fx.router = NewRouter(RouterConfig{
		Control: fx.control,
		Local: pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			fx.localRequests++
			return okResponse("local"), nil
		}),
		Forwarder:   fx.forwarder,
		Picker:      fx.picker,
		RetryBudget: &pick.RetryBudget{MinRate: 100},
	})
	return fx
}

func newPost(service, key string) *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{Service: service, Key: key, Method: "POST"},
		Deadline:    time.Now().Add(time.Second),
	}
}

func respondRemote(*testing.T) func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
	return func(int, *pollenlatch.Request) (*pollenlatch.Response, error) { return okResponse("remote"), nil }
}

// A request that runs elsewhere than at the owner of its key breaks exclusive
// ownership.
func TestRouterTargets(t *testing.T) {
	t.Run("own shard", func(t *testing.T) {
		fx := newRouterFixture(1, respondRemote(t))
		w, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
		require.NoError(t, err)
		require.Equal(t, "front-b", w.OwnerAddr)
		require.Equal(t, 1, fx.localRequests)
	})
	t.Run("shard of another instance", func(t *testing.T) {
		fx := newRouterFixture(2, func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
			require.Equal(t, pollenlatch.Shard{Service: "claims", Range: 3}, r.Shard)
			require.Equal(t, pollenlatch.Fence(1), r.Fence)
			require.Equal(t, pollenlatch.Version(1), r.Version)
			require.False(t, r.Idempotent)
			return okResponse("remote"), nil
		})
		w, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
		require.NoError(t, err)
		require.Equal(t, "front-c", w.OwnerAddr)
		require.Equal(t, []string{"link-c"}, fx.forwarder.addrs)
	})
	t.Run("idempotency key for a service that is not keyed", func(t *testing.T) {
		fx := newRouterFixture(2, func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
			require.True(t, r.Sharded())
			return okResponse("remote"), nil
		})
		r := newPost("catalogue", "")
		r.IdempotencyKey = "i"
		_, err := fx.router.Handle(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, []string{"link-c"}, fx.forwarder.addrs)
	})
	t.Run("any endpoint of the allowed data centres", func(t *testing.T) {
		fx := newRouterFixture(0, func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
			require.False(t, r.Sharded())
			return okResponse("remote"), nil
		})
		far, draining := instance(3), instance(4)
		far.DC = "howrah"
		draining.Endpoint = &pollenlatch.Endpoint{Ready: true, Draining: true}
		fx.control.view.endpoints = []pollenlatch.Instance{far, draining, instance(5)}
		w, err := fx.router.Handle(t.Context(), newPost("catalogue", ""))
		require.NoError(t, err)
		require.Equal(t, []string{"link-f"}, fx.forwarder.addrs)
		_, err = io.ReadAll(w.Body)
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.Equal(t, []pollenlatch.Outcome{pollenlatch.OutcomeRan}, fx.picker.done, "reported once")
	})
}

// Covers the outcomes for which the router decides on a retry. A retry without
// proof that the request did not run would run it twice, and so would a caller
// that is wrongly told not-run.
func TestRouterOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure *pollenlatch.Failure // of every attempt
		method  string
		kind    string
		retried bool
	}{
		{"cannot connect", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503), "POST", "", true},
		{"not the owner", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503), "POST", "", true},
		{"versions differ", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonVersionMismatch, 503), "POST", "", true},
		{"queue full", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 429), "POST", "", true},
		{"draining", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDraining, 503), "POST", "", true},
		{"owner has no lease", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503), "POST", "", true},
		{"fence refused", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, 503), "POST", "", true},
		{"rate limit", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited, 429), "GET", "", false},
		{"bad request", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, 400), "GET", "", false},
		{"deadline in the queue", failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, 504), "GET", "", false},
		{"link lost, not idempotent", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "POST", "", false},
		{"link lost, idempotent method", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "GET", "", true},
		{"link lost, idempotent kind", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "POST", "poll", true},
		{"link lost, idempotent method of a non-idempotent kind", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), "PUT", "charge", false},
		{"deadline after the write", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, 504), "GET", "", false},
		{"retry after an unknown outcome", failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, 502), "GET", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRouterFixture(2, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) { return nil, c.failure })
				r := newPost("claims", "k")
				r.Method, r.Kind = c.method, c.kind
				_, err := fx.router.Handle(t.Context(), r)
				requireFailure(t, err, c.failure.Outcome, c.failure.Reason, c.failure.Status)
				require.Equal(t, c.retried, len(fx.forwarder.addrs) > 1, "%d attempts", len(fx.forwarder.addrs))
				require.LessOrEqual(t, len(fx.forwarder.addrs), maxAttempts)
			})
		})
	}
}

// Requests that cannot be routed must be rejected before they are sent.
func TestRouterRejects(t *testing.T) {
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
		{"not serving, with another error", "claims", errors.New("x"), pollenlatch.ReasonNoLease, 503},
		{"no endpoint until the deadline", "catalogue", nil, pollenlatch.ReasonNoEndpoint, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRouterFixture(2, respondRemote(t))
				fx.control.serving = c.serving
				_, err := fx.router.Handle(t.Context(), newPost(c.service, ""))
				requireFailure(t, err, pollenlatch.OutcomeNotRun, c.reason, c.status)
				require.Empty(t, fx.forwarder.addrs)
			})
		})
	}
}

// A hand-over or the loss of an owner must delay requests instead of failing
// them. A shard that stays without an owner must not hold requests beyond their
// deadline.
func TestRouterWaitsForOwner(t *testing.T) {
	for name, owner := range map[string]pollenlatch.Owner{
		"without owner": {},
		"frozen":        {Instance: 3, Fence: 1, Next: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRouterFixture(0, respondRemote(t))
				fx.control.view.owner = owner
				start := time.Now()
				time.AfterFunc(300*time.Millisecond, func() { fx.control.updateView(func(*fakeView) {}) }) // an unrelated change
				time.AfterFunc(500*time.Millisecond, func() {
					fx.control.updateView(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 2, Fence: 9} })
				})
				_, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
				require.NoError(t, err)
				require.Equal(t, 500*time.Millisecond, time.Since(start))
				require.Equal(t, []string{"link-c"}, fx.forwarder.addrs)
			})
		})
		t.Run(name+" until the deadline", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRouterFixture(0, respondRemote(t))
				fx.control.view.owner = owner
				r := newPost("claims", "k")
				_, err := fx.router.Handle(t.Context(), r)
				requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503)
				require.Equal(t, r.Deadline, time.Now())
				require.Empty(t, fx.forwarder.addrs)
			})
		})
	}
	t.Run("caller disconnects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newRouterFixture(0, respondRemote(t))
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := fx.router.Handle(ctx, newPost("claims", "k"))
			requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 503)
		})
	})
}

// A retry that does not look up the new owner or fence would be refused again
// until the budget is used up.
func TestRouterFollowsOwner(t *testing.T) {
	for _, next := range []pollenlatch.Owner{{Instance: 3, Fence: 5}, {Instance: 2, Fence: 5}} {
		t.Run(fmt.Sprintf("instance %d", next.Instance), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var fx *routerFixture
				fx = newRouterFixture(2, func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
					if n == 1 {
						fx.control.updateView(func(v *fakeView) { v.owner = next })
						return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503)
					}
					require.Equal(t, next.Fence, r.Fence)
					return okResponse("remote"), nil
				})
				start := time.Now()
				_, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
				require.NoError(t, err)
				require.Equal(t, []string{"link-c", instance(next.Instance).Addr}, fx.forwarder.addrs)
				require.Zero(t, time.Since(start), "the new owner is known: no backoff")
			})
		})
	}
}

// If a later failure with not-run replaced an unknown outcome, the caller would
// retry a request that may have run.
func TestRouterKeepsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRouterFixture(2, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n == 1 {
				return nil, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
			}
			return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited, 429)
		})
		r := newPost("claims", "k")
		r.Method = "GET"
		_, err := fx.router.Handle(t.Context(), r)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonRateLimited, 502)
	})
}

// Without a budget, retries would multiply the overload that causes them.
func TestRouterRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRouterFixture(2, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 429)
		})
		fx.router.cfg.RetryBudget = &pick.RetryBudget{MinRate: 1e-9}
		const requests = 1000
		for range requests {
			_, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
			require.Error(t, err)
		}
		retries := len(fx.forwarder.addrs) - requests
		require.InDelta(t, requests*pick.DefaultRatio, retries, 1)
	})
}

// When the retries at a lost owner have used up the budget, requests for its
// keys must still wait for the next owner, since they add no load to the lost
// one.
func TestRouterAwaitsOwnerWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fx *routerFixture
		fx = newRouterFixture(2, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n == 1 {
				time.AfterFunc(600*time.Millisecond, func() {
					fx.control.updateView(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 3, Fence: 5} })
				})
				return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
			}
			return okResponse("remote"), nil
		})
		fx.router.cfg.RetryBudget = &pick.RetryBudget{MinRate: 1e-9}
		_, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
		require.NoError(t, err)
		require.Len(t, fx.forwarder.addrs, 2)
	})
}

// A retry must go to another endpoint first, and the result of every pick must
// be reported.
func TestRouterRetriesOtherEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRouterFixture(0, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n < 4 {
				return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
			}
			return okResponse(""), nil
		})
		fx.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
		w, err := fx.router.Handle(t.Context(), newPost("catalogue", ""))
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.Equal(t, []string{"link-c", "link-d", "link-c", "link-d"}, fx.forwarder.addrs)
		require.Len(t, fx.picker.done, 4)
	})
}

// A retry must send the complete body, also when the earlier attempt has read a
// part of it.
func TestRouterReplaysBody(t *testing.T) {
	for _, c := range []struct {
		name    string
		size    int
		read    int // by the first attempt
		retried bool
	}{
		{"nothing read", 1 << 20, 0, true},
		{"partly read", 1 << 20, maxReplayBytes / 2, true},
		{"completely read", maxReplayBytes, maxReplayBytes, true},
		{"buffer exceeded", 1 << 20, maxReplayBytes + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				want := strings.Repeat("0123456789abcdef", c.size/16)
				var old io.Reader
				fx := newRouterFixture(2, func(n int, r *pollenlatch.Request) (*pollenlatch.Response, error) {
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
					return okResponse(""), nil
				})
				r := newPost("claims", "k")
				r.Body, r.Length = strings.NewReader(want), int64(len(want))
				_, err := fx.router.Handle(t.Context(), r)
				if c.retried {
					require.NoError(t, err)
					return
				}
				requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
				require.Len(t, fx.forwarder.addrs, 1)
			})
		})
	}
	t.Run("earlier attempt still blocks in Read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			pr, pw := io.Pipe()
			body := newReplayBody(pr)
			a := body.rewind()
			late := make(chan int)
			go func() {
				n, _ := a.Read(make([]byte, 8))
				late <- n
			}()
			synctest.Wait()
			b := body.rewind()
			go func() { _, _ = pw.Write([]byte("whole")); _ = pw.Close() }()
			got, err := io.ReadAll(b)
			require.NoError(t, err)
			require.Equal(t, "whole", string(got))
			require.Equal(t, 5, <-late)
		})
	})
}

// No read of the body may be in progress when the handler returns to net/http.
func TestReplayStopWaitsForRead(t *testing.T) {
	src := &blockingBody{readStarted: make(chan struct{}), release: make(chan struct{})}
	r := newReplayBody(src)
	a := r.rewind()
	reading, stopped := make(chan struct{}), make(chan bool)
	go func() { _, _ = a.Read(make([]byte, 8)); close(reading) }()
	<-src.readStarted
	go func() { r.stop(); stopped <- src.readDone.Load() }()
	for range 1000 { // gives a stop that does not wait time to return
		runtime.Gosched()
	}
	close(src.release)
	require.True(t, <-stopped, "stop returned while a read was in progress")
	<-reading
	_, err := a.Read(make([]byte, 1))
	require.ErrorIs(t, err, errSuperseded)
	require.Nil(t, r.rewind())
}

// blockingBody is a body whose only Read blocks until release.
type blockingBody struct {
	readStarted, release chan struct{}
	readDone             atomic.Bool
}

func (b *blockingBody) Read([]byte) (int, error) {
	close(b.readStarted)
	<-b.release
	b.readDone.Store(true)
	return 0, io.ErrUnexpectedEOF
}

// An error that is not a *Failure proves nothing, so the outcome must be
// unknown.
func TestRouterUnexpectedError(t *testing.T) {
	fx := newRouterFixture(2, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) { return nil, errors.New("x") })
	_, err := fx.router.Handle(t.Context(), newPost("claims", "k"))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
}
