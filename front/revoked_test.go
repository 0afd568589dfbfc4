package front

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against requests that go on waiting after a stopping process has given them up:
// their connections would be closed without a response.
func TestRevokedRequestsStopWaiting(t *testing.T) {
	const end = 300 * time.Millisecond
	refuse := func(o pollenlatch.Outcome, reason pollenlatch.Reason) func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
		return func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return nil, failure(o, reason, http.StatusServiceUnavailable)
		}
	}
	routed := func(service string, idempotent bool) func() *pollenlatch.Request {
		return func() *pollenlatch.Request {
			r := newPost(service, "7")
			r.Route, r.Idempotent, r.MaxAttempts = "r", idempotent, 2
			return r
		}
	}
	for _, tt := range []struct {
		name    string
		owner   pollenlatch.InstanceID // 0 is none
		respond func(int, *pollenlatch.Request) (*pollenlatch.Response, error)
		request func() *pollenlatch.Request
		want    pollenlatch.Outcome
	}{
		{"for an endpoint", 0, nil, routed("catalogue", false), pollenlatch.OutcomeNotRun},
		{"for an endpoint, nested in another request", 0, nil, func() *pollenlatch.Request {
			r := routed("catalogue", true)()
			r.Nested = true
			return r
		}, pollenlatch.OutcomeNotRun},
		{"for an owner", 0, nil, routed("listing", false), pollenlatch.OutcomeNotRun},
		{"for the next owner", 2, refuse(pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner), routed("listing", false), pollenlatch.OutcomeNotRun},
		{"for another attempt", 2, refuse(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable), func() *pollenlatch.Request { return newPost("claims", "k") }, pollenlatch.OutcomeNotRun},
		{"for another attempt after one that may have run", 2, refuse(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost), func() *pollenlatch.Request {
			r := newPost("claims", "k")
			r.Kind = "poll"
			return r
		}, pollenlatch.OutcomeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRouterFixture(tt.owner, tt.respond)
				r := tt.request()
				r.Deadline = time.Now().Add(8 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				state := pollenlatch.NewRevocable(cancel)
				start := time.Now()
				state.EndBy(start.Add(end))
				_, err := fx.router.Handle(pollenlatch.WithRevocable(ctx, state), r)
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, tt.want, f.Outcome, f.Detail)
				require.Equal(t, end, time.Since(start))
			})
		})
	}
}
